package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A script is an upstream that answers each request on a connection with the
// next of its texts, whatever the request says.
type script struct {
	answers []string
	end     bool // the connection ends after the last answer
	reset   bool // with a reset
	early   bool // it answers after the header

	mu       sync.Mutex
	requests []string
	conns    int
}

func (s *script) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		s.serve(c)
	}
}

func (s *script) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, answer := range s.answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.early {
			b, _ := io.ReadAll(req.Body)
			s.mu.Lock()
			s.requests = append(s.requests, fmt.Sprintf("%s %s %s %s", req.Method, req.RequestURI, req.Host, b))
			s.mu.Unlock()
		}
		_, _ = io.WriteString(c, answer)
	}
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	if !s.end {
		time.Sleep(300 * time.Millisecond)
	}
}

// open returns a pool of connections to a script.
func open(t *testing.T, s *script) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go (&loop{script: s, listener: l}).run()
	t.Cleanup(func() { _ = l.Close() })
	p := &Pool{Address: l.Addr().String(), ID: "i", Dial: Dialer(), Codec: &Codec{
		Header: func(p *Payload, id string, _ time.Duration) http.Header {
			return http.Header{"Request": {p.ID}, "Meant": {id}}
		},
		Read: func(p *Payload, resp *http.Response, body []byte) Reply {
			re := Reply{Result: Whole, Status: resp.StatusCode, Header: resp.Header, Body: body}
			if resp.Header.Get("Request") != p.ID {
				re.Result = Unknown
			}
			return re
		},
		Keep: func(http.Header) time.Duration { return 0 },
	}}
	p.SetMax(4)
	t.Cleanup(p.Close)
	return p
}

type loop struct {
	script   *script
	listener net.Listener
}

func (l *loop) run() {
	l.script.run(l.listener)
}

func get(id string) *Payload {
	return &Payload{ID: id, Method: http.MethodGet, Target: "/a//b?x=%2f", Host: "h.example"}
}

func do(t *testing.T, p *Pool, pl *Payload) Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, pl, time.Now().Add(time.Second), false)
}

// answer returns a whole answer to the request with that identity.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		script *script
		want   Result
		body   string
		again  bool // the connection is kept
	}{
		{name: "whole", script: &script{answers: []string{answer("1", "body")}}, want: Whole, body: "body", again: true},
		{name: "chunked", script: &script{answers: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}}, want: Whole, body: "body", again: true},
		{name: "interim first", script: &script{answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "body")}}, want: Whole, body: "body", again: true},
		{name: "ends with the connection", script: &script{answers: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\nbody"}, end: true}, want: Whole, body: "body"},
		{name: "says that it ends", script: &script{answers: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"}}, want: Whole, body: "body"},
		{name: "another request's", script: &script{answers: []string{answer("2", "body")}}, want: Unknown},
		{name: "cut short", script: &script{answers: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: 9\r\n\r\nbody"}, end: true}, want: Unknown},
		{name: "reset in the middle", script: &script{answers: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\nbo"}, reset: true}, want: Unknown},
		{name: "cut in the header", script: &script{answers: []string{"HTTP/1.1 200 OK\r\nReq"}, end: true}, want: Unknown},
		{name: "no answer in the protocol", script: &script{answers: []string{"hello\r\n\r\n"}}, want: Unknown},
		{name: "nothing", script: &script{answers: []string{""}, end: true}, want: Unknown},
		{name: "bytes after the end", script: &script{answers: []string{answer("1", "body") + "HTTP/1.1 200 OK\r\n\r\n"}}, want: Whole, body: "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := open(t, tt.script)
			re := do(t, p, get("1"))
			is.Equal(re.Result, tt.want)
			if tt.want == Whole {
				is.Equal(string(re.Body), tt.body)
			}
			is.Equal(len(p.idle) == 1, tt.again)
			is.Equal(p.open, len(p.idle))
		})
	}
}

// TestUnchanged checks what reaches the upstream, byte for byte where it counts.
func TestUnchanged(t *testing.T) {
	is := is.New(t)
	s := &script{answers: []string{answer("1", ""), answer("2", "")}}
	p := open(t, s)
	is.Equal(do(t, p, get("1")).Result, Whole)
	is.Equal(do(t, p, &Payload{ID: "2", Method: http.MethodPost, Target: "/p", Host: "h", Body: []byte("b\r\n\r\nGET /x HTTP/1.1")}).Result, Whole)
	is.Equal(s.requests, []string{"GET /a//b?x=%2f h.example ", "POST /p h b\r\n\r\nGET /x HTTP/1.1"})
	is.Equal(s.conns, 1)
}

// TestLateStray has an upstream answer a second time, while its connection is
// idle: the connection carries no further request.
func TestLateStray(t *testing.T) {
	is := is.New(t)
	s := &script{answers: []string{answer("1", "a") + answer("1", "b")}}
	s.answers = []string{answer("1", "a")}
	p := open(t, s)
	is.Equal(do(t, p, get("1")).Result, Whole)
	is.Equal(len(p.idle), 1)
	time.Sleep(400 * time.Millisecond) // the upstream has closed it by then
	is.True(!p.idle[0].good(time.Now(), false))
	c, err := p.get(t.Context(), false)
	is.NoErr(err)
	is.True(c.fresh) // another one
	is.Equal(p.open, 1)
	p.put(c, false)
}

// TestEarlyAnswer has an upstream answer before it has read a long body: what is
// left of the body must not be taken for the next request.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	p := open(t, &script{answers: []string{answer("1", "no")}, early: true})
	re := do(t, p, &Payload{ID: "1", Method: http.MethodPost, Target: "/p", Host: "h", Body: []byte(strings.Repeat("x", 16<<20))})
	is.Equal(re.Result, Whole)
	is.Equal(p.open, 0)
}

// TestNewConnectionBrokenOff has an upstream reset new connections, as one does
// that has as many as it accepts: no further ones are opened for a while.
func TestNewConnectionBrokenOff(t *testing.T) {
	is := is.New(t)
	s := &script{answers: []string{answer("1", ""), answer("2", "")}}
	p := open(t, s)
	is.Equal(do(t, p, get("1")).Result, Whole)
	is.Equal(p.Room(), 2) // the one that is open, and a new one
	p.tighten()
	is.Equal(p.Room(), 1)
	broken := open(t, &script{answers: []string{""}, reset: true})
	re := do(t, broken, get("1"))
	is.Equal(re.Result, Unknown)
	is.True(re.Over)
}

func TestSpareConnectionsClose(t *testing.T) {
	is := is.New(t)
	p := open(t, &script{answers: []string{""}})
	now := time.Now()
	near, far := net.Pipe()
	defer far.Close()
	for range 3 {
		p.open++
		p.idle = append(p.idle, &conn{net: near, used: now.Add(-2 * time.Second)})
	}
	p.Trim(now)
	is.Equal(len(p.idle), 1)
	is.Equal(p.open, 1)
}

// TestTurns has connections of a crowded upstream close sooner than others.
func TestTurns(t *testing.T) {
	tests := []struct {
		conns, users int
		gap, want    time.Duration // want is 0 where daemons don't take turns
	}{
		{conns: 0, users: 300, gap: time.Second},
		{conns: 40, users: 40, gap: time.Second},
		{conns: 8, users: 8, gap: time.Second}, // a few connections are enough for as many daemons
		{conns: 40, users: 50, gap: time.Second, want: 500 * time.Millisecond},
		{conns: 40, users: 50, gap: time.Minute, want: idleSpare},
		{conns: 40, users: 250, gap: time.Second, want: 100 * time.Millisecond},
		{conns: 10, users: 20, gap: time.Second, want: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		p := &Pool{gap: tt.gap}
		p.SetUsers(tt.conns, tt.users)
		is.New(t).Equal(p.turn(), tt.want)
	}
}

func TestRoomGrowsWithConnections(t *testing.T) {
	tests := []struct{ max, open, dialing, want int }{
		{max: 8, want: 1},
		{max: 8, open: 1, want: 2},
		{max: 8, open: 1, dialing: 1, want: 1},
		{max: 8, open: 4, want: 6},
		{max: 8, open: 8, want: 8},
		{max: 0, open: 0, want: 1},
	}
	for _, tt := range tests {
		p := &Pool{max: tt.max, open: tt.open, dialing: tt.dialing}
		is.New(t).Equal(p.Room(), tt.want)
	}
}

func TestNothingSentAfterTheEnd(t *testing.T) {
	is := is.New(t)
	s := &script{answers: []string{answer("1", "")}}
	p := open(t, s)
	is.NoErr(p.Probe(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(p.Do(ctx, get("1"), time.Now().Add(time.Second), false).Result, Unsent)
	is.Equal(len(s.requests), 0)
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("1", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &conn{r: bufio.NewReader(strings.NewReader(string(text)))}
		resp, body, err := c.read(http.MethodGet)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Fatalf("%d bytes of %d", len(body), resp.ContentLength)
		}
	})
}
