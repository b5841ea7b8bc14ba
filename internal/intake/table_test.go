package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/route"
)

// An httpLoop runs an HTTP server.
type httpLoop struct {
	server   *http.Server
	listener net.Listener
}

func (l *httpLoop) run() {
	// Serve returns an error when the server is closed.
	_ = l.server.Serve(l.listener)
}

// serveTracked serves HTTP on a loopback address. If t is nil, the connections are not
// in a table.
func serveTracked(tb testing.TB, t *Table, h http.HandlerFunc) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &http.Server{Handler: h}
	address = l.Addr().String()
	if t != nil {
		s = t.Server(h)
		l, err = t.Listener(l)
		is.New(tb).NoErr(err)
	}
	tb.Cleanup(func() { _ = s.Close() })
	go (&httpLoop{server: s, listener: l}).run()
	return address
}

// TestExpireIdleUnderLoad guards against a connection that is closed as idle although a
// request on it has just been read: while requests come as fast as they can, each either
// is answered, or its connection was closed before the handler saw it.
func TestExpireIdleUnderLoad(t *testing.T) {
	is := is.New(t)
	table := &Table{Limits: func() route.Limits { return route.Limits{} }}
	var begun atomic.Int64 // requests that the handler has seen
	address := serveTracked(t, table, func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		_, _ = io.WriteString(w, "done")
	})
	expirer := time.NewTicker(time.Millisecond)
	defer expirer.Stop()
	answered, closed := 0, 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		replies := bufio.NewReader(c)
		for err == nil {
			select {
			case <-expirer.C:
				go (&idleExpirer{table}).run()
			default:
			}
			if _, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				break
			}
			var resp *http.Response
			if resp, err = http.ReadResponse(replies, nil); err == nil {
				_, err = io.ReadAll(resp.Body)
				answered++
			}
		}
		closed++
		_ = c.Close()
	}
	t.Logf("%d requests begun, %d answered, %d connections closed", begun.Load(), answered, closed)
	is.Equal(int(begun.Load()), answered) // a request that was read has its answer
	is.True(closed > 10)                  // idle connections were closed
}

// An idleExpirer ends the idle connections of a table once.
type idleExpirer struct {
	table *Table
}

func (e *idleExpirer) run() {
	e.table.expire(connIdle, 0)
}

// BenchmarkKeptConnection compares a request on a connection that is in a Table with
// one that is not.
func BenchmarkKeptConnection(b *testing.B) {
	for _, bb := range []struct {
		name  string
		table *Table
	}{
		{name: "plain"},
		{name: "table", table: &Table{}},
	} {
		b.Run(bb.name, func(b *testing.B) {
			address := serveTracked(b, bb.table, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) })
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			replies := bufio.NewReader(c)
			for b.Loop() {
				if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				if _, err := http.ReadResponse(replies, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
