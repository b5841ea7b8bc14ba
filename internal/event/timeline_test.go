package event

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `other text
edge-2 {"class":"s4","detail":"i-9: connection reset by peer","event":812,"msg":"upstream out of use","peer":"10.0.0.9:80","time":"2026-01-01T00:00:02Z"}
edge-1 {"class":"r1","detail":"lost (unknown) after 3 ms of 800, version 4: 0:i-7=unknown/0@3","event":800,"msg":"request failed","request":"q1","time":"2026-01-01T00:00:03Z"}
edge-1 {"class":"s1","detail":"i-7: connection reset by peer","event":812,"msg":"upstream out of use","peer":"10.0.0.7:80","time":"2026-01-01T00:00:01Z"}
edge-1 {"class":"r1","detail":"late","event":800,"msg":"request failed","request":"q2","time":"2026-01-01T00:00:04Z"}
`

func TestWriteTimeline(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	n, err := WriteTimeline(&out, strings.NewReader(logs), "q1")
	is.NoErr(err)
	is.Equal(n, 2)
	is.Equal(out.String(), `2026-01-01T00:00:01Z | edge-1 | 812 | upstream out of use | s1 | 10.0.0.7:80 | i-7: connection reset by peer
2026-01-01T00:00:03Z | edge-1 | 800 | request failed | r1 | lost (unknown) after 3 ms of 800, version 4: 0:i-7=unknown/0@3
`)
	n, err = WriteTimeline(&out, strings.NewReader(logs), "q3")
	is.NoErr(err)
	is.Equal(n, 0)
}
