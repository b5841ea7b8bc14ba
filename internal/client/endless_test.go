package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/quota"
)

// An endlessUpstream answers each request with a beginning, and then repeats a piece
// until the connection is closed.
type endlessUpstream struct {
	begin string
	piece string
	pause time.Duration // between two pieces
}

func (u *endlessUpstream) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go (&endlessConn{endlessUpstream: u, conn: c}).run()
	}
}

// dial returns a connection to the upstream that needs no network: on a busy machine,
// hundreds of TCP connections at once may take longer than dialTimeout.
func (u *endlessUpstream) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go (&endlessConn{endlessUpstream: u, conn: server}).run()
	return client, nil
}

type endlessConn struct {
	*endlessUpstream
	conn net.Conn
}

func (c *endlessConn) run() {
	defer c.conn.Close()
	if _, err := c.conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	_, err := io.WriteString(c.conn, c.begin)
	piece := []byte(c.piece)
	for err == nil {
		_, err = c.conn.Write(piece)
		time.Sleep(c.pause)
	}
}

// endlessTests are responses that never end. With early, the length of what was read
// ends the exchange, and otherwise the deadline does.
var endlessTests = []struct {
	name     string
	upstream endlessUpstream
	early    bool
}{
	{name: "status line", upstream: endlessUpstream{piece: strings.Repeat("x", 4096)}, early: true},
	{name: "header field", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\nA: ", piece: strings.Repeat("x", 4096)}, early: true},
	{name: "header fields", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\n", piece: strings.Repeat("A: b\r\n", 500)}, early: true},
	{name: "interim responses", upstream: endlessUpstream{piece: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)}, early: true},
	{name: "body without length", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\n\r\n", piece: strings.Repeat("x", 64<<10)}, early: true},
	{name: "body longer than announced", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", piece: strings.Repeat("x", 64<<10)}, early: true},
	{name: "chunks", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"}, early: true},
	{name: "bytes of a header, slowly", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\nA: ", piece: "x", pause: 20 * time.Millisecond}},
	{name: "bytes of a body, slowly", upstream: endlessUpstream{begin: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", pause: 20 * time.Millisecond}},
}

// newEndlessPool starts an endless upstream and returns a pool of connections to it.
func newEndlessPool(t *testing.T, u *endlessUpstream) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go u.run(l)
	p := newPool(t, &scriptedUpstream{})
	p.Address = l.Addr().String()
	return p
}

// TestEndlessResponse checks that a response without an end is given up once it is too
// long or the request's time is over, and that its connection is not used again.
func TestEndlessResponse(t *testing.T) {
	for _, tt := range endlessTests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newEndlessPool(t, &tt.upstream)
			timeout := 300 * time.Millisecond
			if tt.early {
				timeout = time.Minute
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			re := p.Do(ctx, getRequest("a"), time.Now().Add(timeout), false)
			is.Equal(re.Result, Unknown)
			is.True(re.Err != nil)
			is.Equal(ctx.Err() == nil, tt.early)
			is.Equal(p.open, 0)
		})
	}
}

// TestChunkExtensionWithoutEnd checks that net/http's own limit on the line of a chunk
// ends the exchange.
func TestChunkExtensionWithoutEnd(t *testing.T) {
	is := is.New(t)
	p := newEndlessPool(t, &endlessUpstream{begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", piece: strings.Repeat("x", 4096)})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	re := p.Do(ctx, getRequest("a"), time.Now().Add(time.Minute), false)
	is.Equal(re.Result, Unknown)
	is.True(re.Err != nil && ctx.Err() == nil)
}

// TestEndlessHeadsMemory reads endless heads from many upstreams at once. All
// together may keep no more than their limit.
func TestEndlessHeadsMemory(t *testing.T) {
	const upstreams = 100
	is := is.New(t)
	u := &endlessUpstream{begin: "HTTP/1.1 200 OK\r\nA: ", piece: strings.Repeat("x", 4096)}
	p := newPool(t, &scriptedUpstream{})
	p.Dial = u.dial
	p.SetMaxOpen(upstreams)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	done := make(chan Reply, upstreams)
	for i := range upstreams {
		go (&endlessCall{pool: p, id: fmt.Sprint(i), done: done}).run(t.Context())
	}
	for range upstreams {
		is.Equal((<-done).Result, Unknown)
	}
	runtime.ReadMemStats(&after)
	// Growing a buffer copies it, which takes a few times its final size.
	is.True(after.TotalAlloc-before.TotalAlloc < 8*upstreams*maxHead)
}

type endlessCall struct {
	pool *Pool
	id   string
	done chan<- Reply
}

func (c *endlessCall) run(ctx context.Context) {
	c.done <- c.pool.Do(ctx, getRequest(c.id), time.Now().Add(time.Minute), false)
}

// TestEndlessBodiesMemory guards against many upstreams at once that send bodies without
// end: each stays within its own limit, but together they would take more memory than a
// small VM has. Meanwhile an ordinary upstream is served as usual.
func TestEndlessBodiesMemory(t *testing.T) {
	const upstreams = 200
	is := is.New(t)
	memory := &quota.Quota{Max: 16 << 20}
	u := &endlessUpstream{begin: "HTTP/1.1 200 OK\r\n\r\n", piece: strings.Repeat("x", 32<<10), pause: time.Millisecond}
	p := newPool(t, &scriptedUpstream{})
	p.Dial = u.dial
	p.Memory = memory
	p.SetMaxOpen(upstreams)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request", r.Header.Get("Request"))
		_, _ = w.Write(make([]byte, shortBody))
	}))
	t.Cleanup(server.Close)
	ordinary := newPool(t, &scriptedUpstream{})
	ordinary.Address = server.Listener.Addr().String()
	ordinary.Memory = memory
	done := make(chan Reply, upstreams)
	for i := range upstreams {
		go (&endlessCall{pool: p, id: fmt.Sprint(i), done: done}).run(t.Context())
	}
	memoryErrors, ended, peak := 0, 0, int64(0)
	for ended < upstreams {
		select {
		case re := <-done:
			ended++
			is.Equal(re.Result, Unknown)
			if errors.Is(re.Err, ErrMemory) {
				memoryErrors++
			}
		default:
			is.Equal(ordinary.Do(t.Context(), getRequest("a"), time.Now().Add(time.Minute), false).Result, Succeeded)
			peak = max(peak, memory.Used())
		}
	}
	t.Logf("%d of %d were given up for want of memory, at most %d KB were used", memoryErrors, upstreams, peak>>10)
	is.True(memoryErrors > 0)
	is.True(peak <= memory.Max)
	is.Equal(memory.Used(), int64(0))
	is.Equal(p.open, 0)
}

// TestAttemptsShareRequest guards against a copy of a long request for each attempt: those at
// all shards of a route are made at the same time.
func TestAttemptsShareRequest(t *testing.T) {
	const attempts, fieldBytes, bodyBytes = 50, 64 << 10, 1 << 20
	is := is.New(t)
	received := make(chan int64, attempts)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body) // the number says whether it was complete
		received <- n + int64(len(r.Header.Get("Long")))
		w.Header().Set("Request", r.Header.Get("Request"))
	}))
	t.Cleanup(server.Close)
	p := newPool(t, &scriptedUpstream{})
	p.Address = server.Listener.Addr().String()
	req := &Request{
		ID: "1", Method: http.MethodPost, Target: "/p", Host: "h",
		Fields: []byte("Long: " + strings.Repeat("x", fieldBytes) + "\r\n"),
		Body:   make([]byte, bodyBytes),
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range attempts {
		is.Equal(p.Do(t.Context(), req, time.Now().Add(time.Minute), false).Result, Succeeded)
		is.Equal(<-received, int64(fieldBytes+bodyBytes))
	}
	runtime.ReadMemStats(&after)
	// The server copies the fields.
	is.True(after.TotalAlloc-before.TotalAlloc < attempts*(bodyBytes/2))
}
