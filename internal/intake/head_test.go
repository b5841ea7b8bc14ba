package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/quota"
	"bronzedoor.dev/bronzedoor/internal/route"
)

const testHeaderBytes = 16 << 10

// newIntakeTable returns a table with the given quota in bytes.
func newIntakeTable(memory int64) *Table {
	return &Table{
		Limits: func() route.Limits { return route.Limits{MaxHeaderBytes: testHeaderBytes} },
		Linger: 10 * time.Millisecond,
		memory: &quota.Quota{Max: memory},
	}
}

// exchangeHead sends a GET request with more header lines, and returns its answer, without
// the body, or nil if there is none.
func exchangeHead(t *testing.T, address, lines string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	defer conn.Close()
	// An error means that the server has closed the connection.
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return resp
}

// TestHeadAdmission guards against heads that take more memory than there is, and against
// ordinary ones that are refused for it.
func TestHeadAdmission(t *testing.T) {
	manyLines := strings.Repeat("x:\n", 3000)
	tests := []struct {
		name  string
		used  int64 // of 1 MB
		lines string
		want  int
	}{
		{name: "ordinary", lines: "a: b\r\n", want: http.StatusOK},
		{name: "ordinary, no memory left", used: 1 << 20, lines: "a: b\r\n", want: http.StatusOK},
		{name: "many lines", lines: manyLines, want: http.StatusOK},
		{name: "many lines, no memory left", used: 1 << 20, lines: manyLines, want: http.StatusServiceUnavailable},
		{name: "too many lines for one request", lines: strings.Repeat("x:\n", 5000), want: http.StatusServiceUnavailable},
		{name: "far too long", lines: strings.Repeat("x: yyyyyyyy\n", 5000), want: http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newIntakeTable(1 << 20)
			is.True(table.memory.Take(tt.used))
			address := serveTracked(t, table, func(http.ResponseWriter, *http.Request) {})
			resp := exchangeHead(t, address, tt.lines)
			is.True(resp != nil)
			is.Equal(resp.StatusCode, tt.want)
			is.Equal(resp.Close, tt.want != http.StatusOK)
			is.Equal(resp.Header.Get("Retry-After") != "", tt.want == http.StatusServiceUnavailable)
			for table.Size() > 0 {
				time.Sleep(time.Millisecond)
			}
			for range 1000 {
				if table.memory.Used() == tt.used {
					break
				}
				time.Sleep(table.Linger)
			}
			is.Equal(table.memory.Used(), tt.used)
		})
	}
}

// A pieceWriter writes texts one after the other.
type pieceWriter struct {
	conn  net.Conn
	texts []string
}

func (w *pieceWriter) run() {
	for _, text := range w.texts {
		// An error means that the connection is closed.
		_, _ = io.WriteString(w.conn, text)
	}
}

// TestRefusalIsFinal guards against a request that is served although its caller was told that
// it has not run: an http.Server drops an error within a line and reads on.
func TestRefusalIsFinal(t *testing.T) {
	is := is.New(t)
	table := newIntakeTable(1 << 20)
	is.True(table.memory.Take(1 << 20))
	in, out := net.Pipe()
	c := &conn{Conn: in, table: table, since: time.Now()}
	go (&pieceWriter{conn: out, texts: []string{strings.Repeat("x:\n", 1000) + "y", ": z\r\n\r\n"}}).run()
	go (&answerReader{conn: out}).run()
	b := make([]byte, bufferSize)
	_, err := c.Read(b)
	is.Equal(err, os.ErrDeadlineExceeded)
	table.memory.Return(1 << 20) // from now on there is memory
	n, err := c.Read(b)
	is.Equal(n, 0)
	is.Equal(err, os.ErrDeadlineExceeded)
	is.NoErr(in.Close())
}

// An answerReader reads what the server writes.
type answerReader struct {
	conn net.Conn
}

func (r *answerReader) run() {
	_, _ = io.Copy(io.Discard, r.conn) // until the connection is closed
}

// TestHeadCount checks what a head counts that was read together with what came before it.
func TestHeadCount(t *testing.T) {
	type read struct {
		size   int // of the buffer
		text   string
		inHead bool
	}
	tests := []struct {
		name  string
		reads []read // before the head that counts
		want  int    // lines at its beginning
	}{
		{name: "first"},
		{name: "after a head", reads: []read{{bufferSize, "G\r\nH\r\n\r\n", true}}, want: 3},
		{name: "after a short body", reads: []read{{bufferSize, "G\r\n\r\n", true}, {bufferSize, "b\na:\nb:\n", false}}, want: 3},
		{name: "after a long body", reads: []read{{bufferSize, "G\r\n\r\n", true}, {2 * bufferSize, "b\n\n\n", false}}},
		{name: "after a look whether the caller is there", reads: []read{{bufferSize, "a\nb\n", true}, {1, "\n", false}}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h headCount
			for _, r := range tt.reads {
				b := make([]byte, r.size)
				h.add(b, copy(b, r.text), r.inHead)
			}
			h.reset()
			is.Equal(h.lines, tt.want)
			is.Equal(h.bytes, 0)
		})
	}
}

// TestMakeRoom checks which requests have to give up their memory.
func TestMakeRoom(t *testing.T) {
	tests := []struct {
		name  string
		state connState
		age   time.Duration
		taken int64
		want  bool
	}{
		{name: "oldest", state: connHeader, age: 9 * time.Second, taken: 60, want: true},
		{name: "second", state: connHeader, age: 8 * time.Second, taken: 60, want: true},
		{name: "third, body", state: connBody, age: 7500 * time.Millisecond, taken: 60, want: true},
		{name: "fourth, not needed", state: connHeader, age: 7 * time.Second, taken: 60},
		{name: "young", state: connHeader, age: readPatience / 2, taken: 60},
		{name: "without memory", state: connHeader, age: time.Minute},
		{name: "complete", state: connBusy, age: time.Minute, taken: 60},
		{name: "idle", state: connIdle, age: time.Minute},
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newIntakeTable(300)
		is.True(table.memory.Take(300))
		table.conns = make(map[*conn]struct{})
		var conns []*conn
		for _, tt := range tests {
			c := &conn{table: table, state: tt.state, since: time.Now().Add(-tt.age)}
			c.Conn, _ = net.Pipe()
			c.taken.Store(tt.taken)
			table.conns[c] = struct{}{}
			conns = append(conns, c)
		}
		needy := &conn{table: table}
		is.True(!needy.reserve(shortRequest + 150))
		for i, tt := range tests {
			if conns[i].expired != tt.want {
				t.Errorf("%s: ended is %t", tt.name, conns[i].expired)
			}
		}
		is.True(!needy.reserve(shortRequest + 300)) // too soon to look again
		is.True(!conns[3].expired)
		time.Sleep(2 * makeRoomInterval)
		is.True(!needy.reserve(shortRequest + 300))
		is.True(conns[3].expired)
	})
}
