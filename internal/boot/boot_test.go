package boot

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestTimeline reaches stages, some twice: the first time counts, and the line is
// written once.
func TestTimeline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines []string
		tl := &Timeline{Started: time.Now(), Served: func(detail string) { lines = append(lines, detail) }}
		for _, s := range []Stage{Routes, Members, Routes, Request, Answer, Reply, Answer} {
			time.Sleep(10 * time.Millisecond)
			tl.Reach(s)
		}
		is.Equal(lines, []string{"members 20 ms, routes 10 ms, first request 40 ms, first complete answer 50 ms"})
		is.Equal(tl.String(), lines[0][:len(lines[0])-len("first complete answer 50 ms")]+"first reply 60 ms, first complete answer 50 ms")
		var none *Timeline
		none.Reach(Answer)
	})
}
