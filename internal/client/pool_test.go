package client

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

// A scriptedUpstream answers each request on a connection with the next of its
// responses, whatever the request says.
type scriptedUpstream struct {
	responses []string
	closes    bool // closes the connection after the last response
	resets    bool // resets the connection after the last response
	skipsBody bool // responds without reading the request body

	mu       sync.Mutex
	requests []string
	conns    int
}

func (s *scriptedUpstream) run(l net.Listener) {
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

func (s *scriptedUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, response := range s.responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.skipsBody {
			b, _ := io.ReadAll(req.Body)
			s.mu.Lock()
			s.requests = append(s.requests, fmt.Sprintf("%s %s %s %s", req.Method, req.RequestURI, req.Host, b))
			s.mu.Unlock()
		}
		_, _ = io.WriteString(c, response)
	}
	if s.resets {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	if !s.closes {
		time.Sleep(300 * time.Millisecond)
	}
}

// newPool returns a pool of connections to the upstream, which it starts.
func newPool(t *testing.T, upstream *scriptedUpstream) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go (&acceptLoop{upstream: upstream, listener: l}).run()
	t.Cleanup(func() { _ = l.Close() })
	p := &Pool{Address: l.Addr().String(), ID: "i", Dial: Dialer(), Codec: &Codec{
		Header: func(p *Request, id string, _ time.Duration) http.Header {
			return http.Header{"Request": {p.ID}, "Meant": {id}}
		},
		Decode: func(p *Request, resp *http.Response, body []byte) Reply {
			re := Reply{Result: Succeeded, Status: resp.StatusCode, Header: resp.Header, Body: body}
			if resp.Header.Get("Request") != p.ID {
				re.Result = Unknown
			}
			return re
		},
		IdleTimeout: func(http.Header) time.Duration { return 0 },
	}}
	p.SetMaxOpen(4)
	t.Cleanup(p.Close)
	return p
}

type acceptLoop struct {
	upstream *scriptedUpstream
	listener net.Listener
}

func (l *acceptLoop) run() {
	l.upstream.run(l.listener)
}

func getRequest(id string) *Request {
	return &Request{ID: id, Method: http.MethodGet, Target: "/a//b?x=%2f", Host: "h.example"}
}

func send(t *testing.T, p *Pool, req *Request) Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, req, time.Now().Add(time.Second), false)
}

// okResponse returns a complete response to the request with the given ID.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestResponses(t *testing.T) {
	tests := []struct {
		name     string
		upstream *scriptedUpstream
		want     Result
		body     string
		reused   bool // the connection goes back to the pool
	}{
		{name: "complete", upstream: &scriptedUpstream{responses: []string{okResponse("1", "body")}}, want: Succeeded, body: "body", reused: true},
		{name: "chunked", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}}, want: Succeeded, body: "body", reused: true},
		{name: "informational response first", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("1", "body")}}, want: Succeeded, body: "body", reused: true},
		{name: "body ends with the connection", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\nbody"}, closes: true}, want: Succeeded, body: "body"},
		{name: "connection: close", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"}}, want: Succeeded, body: "body"},
		{name: "response to another request", upstream: &scriptedUpstream{responses: []string{okResponse("2", "body")}}, want: Unknown},
		{name: "body too short", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: 9\r\n\r\nbody"}, closes: true}, want: Unknown},
		{name: "reset within the body", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\nbo"}, resets: true}, want: Unknown},
		{name: "closed within the header", upstream: &scriptedUpstream{responses: []string{"HTTP/1.1 200 OK\r\nReq"}, closes: true}, want: Unknown},
		{name: "not HTTP", upstream: &scriptedUpstream{responses: []string{"hello\r\n\r\n"}}, want: Unknown},
		{name: "closed without a response", upstream: &scriptedUpstream{responses: []string{""}, closes: true}, want: Unknown},
		{name: "bytes after the response", upstream: &scriptedUpstream{responses: []string{okResponse("1", "body") + "HTTP/1.1 200 OK\r\n\r\n"}}, want: Succeeded, body: "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(t, tt.upstream)
			re := send(t, p, getRequest("1"))
			is.Equal(re.Result, tt.want)
			if tt.want == Succeeded {
				is.Equal(string(re.Body), tt.body)
			}
			is.Equal(len(p.idle) == 1, tt.reused)
			is.Equal(p.open, len(p.idle))
		})
	}
}

// TestHeadCutAnywhere has the upstream close the connection within the head of its
// response, at each byte: a head without its end must not pass for a response without a
// body, which in turn could reach a caller as a success.
func TestHeadCutAnywhere(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: 14\r\nX-Last: a b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest: 1\r\n\r\n", // the body ends with the connection
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest: 1\r\n\r\n",
	} {
		for n := range len(head) {
			p := newPool(t, &scriptedUpstream{responses: []string{head[:n]}, closes: true})
			re := send(t, p, getRequest("1"))
			is.Equal(re.Result, Unknown)
			is.Equal(p.open, 0)
		}
	}
}

// TestRequestUnchanged checks that target, host and body reach the upstream
// unmodified, and that a body that looks like a request isn't taken for one.
func TestRequestUnchanged(t *testing.T) {
	is := is.New(t)
	s := &scriptedUpstream{responses: []string{okResponse("1", ""), okResponse("2", "")}}
	p := newPool(t, s)
	is.Equal(send(t, p, getRequest("1")).Result, Succeeded)
	is.Equal(send(t, p, &Request{ID: "2", Method: http.MethodPost, Target: "/p", Host: "h", Body: []byte("b\r\n\r\nGET /x HTTP/1.1")}).Result, Succeeded)
	is.Equal(s.requests, []string{"GET /a//b?x=%2f h.example ", "POST /p h b\r\n\r\nGET /x HTTP/1.1"})
	is.Equal(s.conns, 1)
}

// TestIdleConnectionClosed has the upstream close a connection while it is idle:
// the connection carries no further request.
func TestIdleConnectionClosed(t *testing.T) {
	is := is.New(t)
	s := &scriptedUpstream{responses: []string{okResponse("1", "a") + okResponse("1", "b")}}
	s.responses = []string{okResponse("1", "a")}
	p := newPool(t, s)
	is.Equal(send(t, p, getRequest("1")).Result, Succeeded)
	is.Equal(len(p.idle), 1)
	time.Sleep(400 * time.Millisecond) // the upstream has closed it by then
	is.True(!p.idle[0].usable(time.Now(), false))
	c, err := p.get(t.Context(), false)
	is.NoErr(err)
	is.True(c.fresh) // a new connection
	is.Equal(p.open, 1)
	p.put(c, false)
}

// TestEarlyResponse has the upstream respond before it has read a long body: the
// connection is closed, as the rest of the body would be taken for the next request.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	p := newPool(t, &scriptedUpstream{responses: []string{okResponse("1", "no")}, skipsBody: true})
	re := send(t, p, &Request{ID: "1", Method: http.MethodPost, Target: "/p", Host: "h", Body: []byte(strings.Repeat("x", 16<<20))})
	is.Equal(re.Result, Succeeded)
	is.Equal(p.open, 0)
}

// TestConnectionLimit has the upstream reset new connections, as one at its
// connection limit does: the pool opens no further ones for a while.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := &scriptedUpstream{responses: []string{okResponse("1", ""), okResponse("2", "")}}
	p := newPool(t, s)
	is.Equal(send(t, p, getRequest("1")).Result, Succeeded)
	is.Equal(p.MaxInFlight(), 2) // one on the open connection, one on a new one
	p.noteConnLimit()
	is.Equal(p.MaxInFlight(), 1)
	broken := newPool(t, &scriptedUpstream{responses: []string{""}, resets: true})
	re := send(t, broken, getRequest("1"))
	is.Equal(re.Result, Unknown)
	is.True(re.AtConnLimit)
}

func TestSurplusConnectionsClose(t *testing.T) {
	is := is.New(t)
	p := newPool(t, &scriptedUpstream{responses: []string{""}})
	now := time.Now()
	near, far := net.Pipe()
	defer far.Close()
	for range 3 {
		p.open++
		p.idle = append(p.idle, &conn{net: near, lastUsed: now.Add(-2 * time.Second)})
	}
	p.Trim(now)
	is.Equal(len(p.idle), 1)
	is.Equal(p.open, 1)
}

// TestSharedIdle checks that idle connections close sooner where more daemons use
// an upstream than it accepts connections.
func TestSharedIdle(t *testing.T) {
	tests := []struct {
		limit, daemons int
		gap, want      time.Duration // want is 0 where connections are not shared
	}{
		{limit: 0, daemons: 300, gap: time.Second},
		{limit: 40, daemons: 40, gap: time.Second},
		{limit: 8, daemons: 8, gap: time.Second}, // one connection for each daemon, however few there are
		{limit: 40, daemons: 50, gap: time.Second, want: 500 * time.Millisecond},
		{limit: 40, daemons: 50, gap: time.Minute, want: maxSpareIdle},
		{limit: 40, daemons: 250, gap: time.Second, want: 100 * time.Millisecond},
		{limit: 10, daemons: 20, gap: time.Second, want: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		p := &Pool{meanGap: tt.gap}
		p.SetSharing(tt.limit, tt.daemons)
		is.New(t).Equal(p.sharedIdle(), tt.want)
	}
}

func TestMaxInFlight(t *testing.T) {
	tests := []struct{ max, open, dialing, want int }{
		{max: 8, want: 1},
		{max: 8, open: 1, want: 2},
		{max: 8, open: 1, dialing: 1, want: 1},
		{max: 8, open: 4, want: 6},
		{max: 8, open: 8, want: 8},
		{max: 0, open: 0, want: 1},
	}
	for _, tt := range tests {
		p := &Pool{maxOpen: tt.max, open: tt.open, dialing: tt.dialing}
		is.New(t).Equal(p.MaxInFlight(), tt.want)
	}
}

func TestNothingSentAfterCancel(t *testing.T) {
	is := is.New(t)
	s := &scriptedUpstream{responses: []string{okResponse("1", "")}}
	p := newPool(t, s)
	is.NoErr(p.Probe(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(p.Do(ctx, getRequest("1"), time.Now().Add(time.Second), false).Result, Unsent)
	is.Equal(len(s.requests), 0)
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse("1", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		limit := &limitedReader{r: strings.NewReader(string(text))}
		c := &conn{limit: limit, r: bufio.NewReader(limit)}
		resp, body, err := c.read(http.MethodGet, nil)
		if err == nil && resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Fatalf("body has %d bytes, Content-Length is %d", len(body), resp.ContentLength)
		}
	})
}

// TestProbe probes an upstream while its pool is full, closed, or has room.
func TestProbe(t *testing.T) {
	tests := []struct {
		name  string
		idle  int // connections that a probe has opened before
		inUse int // of these, taken for a request
		close bool
		want  error
		open  int // afterwards
	}{
		{name: "room", want: nil, open: 1},
		{name: "full of idle connections", idle: 2, want: nil, open: 2},
		{name: "all in use", idle: 2, inUse: 2, want: ErrBusy, open: 2},
		{name: "closed", close: true, want: ErrBusy, open: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(t, &scriptedUpstream{responses: []string{okResponse("a", "x")}})
			p.SetMaxOpen(2)
			for range tt.idle {
				is.NoErr(p.Probe(t.Context()))
			}
			for range tt.inUse {
				_, err := p.get(t.Context(), false)
				is.NoErr(err)
			}
			if tt.close {
				p.Close()
			}
			is.Equal(p.Probe(t.Context()), tt.want)
			is.Equal(p.open, tt.open)
		})
	}
}

// TestProbedConnectionIsFresh sends the first request on a probed connection to an
// upstream that resets it, as it does with connections beyond its limit.
func TestProbedConnectionIsFresh(t *testing.T) {
	is := is.New(t)
	p := newPool(t, &scriptedUpstream{responses: []string{""}, closes: true})
	is.NoErr(p.Probe(t.Context()))
	re := send(t, p, getRequest("a"))
	is.Equal(re.Result, Unknown)
	is.True(re.AtConnLimit)
}
