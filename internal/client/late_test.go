package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A repeatingUpstream answers each request, and sends the answer again after a delay.
type repeatingUpstream struct {
	delay time.Duration // below 0: the copy comes in place of the next answer
}

func (u *repeatingUpstream) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go (&repeatingConn{repeatingUpstream: u, conn: c}).run()
	}
}

type repeatingConn struct {
	*repeatingUpstream
	conn net.Conn
}

func (c *repeatingConn) run() {
	defer c.conn.Close()
	r := bufio.NewReader(c.conn)
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if c.delay < 0 && last != "" {
			_, _ = io.WriteString(c.conn, last)
		}
		last = okResponse(req.Header.Get("Request"), "body of "+req.Header.Get("Request"))
		_, _ = io.WriteString(c.conn, last)
		if c.delay >= 0 {
			time.Sleep(c.delay)
			_, _ = io.WriteString(c.conn, last)
		}
	}
}

// TestLateCopy guards against a second copy of an answer that comes late, on a
// connection that is idle or in use again, and is taken for the answer to the next
// request.
func TestLateCopy(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		lost  int // requests whose answer may be unknown
	}{
		{name: "while the connection is idle", delay: 10 * time.Millisecond},
		{name: "as the answer to the next request", delay: -1, lost: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go (&repeatingUpstream{delay: tt.delay}).run(l)
			p := newPool(t, &scriptedUpstream{})
			p.Address = l.Addr().String()
			lost := 0
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				re := p.Do(t.Context(), getRequest(id), time.Now().Add(time.Minute), false)
				if re.Result == Unknown {
					lost++
					continue
				}
				is.Equal(re.Result, Succeeded)
				is.Equal(string(re.Body), "body of "+id)
				time.Sleep(30 * time.Millisecond) // until a copy has come
			}
			is.Equal(lost, tt.lost) // each closes its connection
		})
	}
}
