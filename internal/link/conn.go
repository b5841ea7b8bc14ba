// Package link carries requests to one upstream over connections of its own.
// A request is written once at most: nothing here sends it a second time.
package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// A Payload is a caller's request as it is passed on. It must not be changed.
type Payload struct {
	ID     string // identity of the caller's request
	Method string
	Target string // path and query as they were sent
	Host   string
	Header http.Header // without the fields that concern one connection
	Body   []byte
}

// A Result says what is known of a request after an exchange.
type Result int

// Results of an exchange.
const (
	Unsent  Result = iota // nothing was sent
	Refused               // the upstream says that it did not run the request
	Moved                 // the upstream is another process than the one asked
	Whole                 // the whole answer of a success
	Failed                // the whole answer of a failure; the request ran
	Unknown               // the request may have run
)

// String returns the result in a word.
func (r Result) String() string {
	return [...]string{"unsent", "refused", "moved", "whole", "failed", "unknown"}[r]
}

// A Reply is what came of an exchange.
type Reply struct {
	Result Result
	Status int           // 0 if there was no answer
	Header http.Header   // of the answer, without the fields that concern one connection
	Body   []byte        // whole
	Proof  string        // the upstream's proof of its answer; may be empty
	Cold   time.Duration // how much longer the upstream says it is cold; 0 if it doesn't
	Over   bool          // a new connection was broken off: the upstream has too many
	Sent   time.Time     // when the request was written; zero if it wasn't
	Err    error         // why there is no answer
}

// A Codec translates between requests and what an upstream speaks.
type Codec struct {
	// Header returns the fields of a request that may take so long.
	Header func(p *Payload, id string, left time.Duration) http.Header
	// Read judges a whole answer.
	Read func(p *Payload, resp *http.Response, body []byte) Reply
	// Keep returns how long the connection may stay idle; 0 if it isn't said.
	Keep func(h http.Header) time.Duration
}

// maxBody bounds the bytes of one answer.
const maxBody = 8 << 20

// smallWrite is the size up to which a request fits the buffers of a
// connection, so that writing it does not wait for the upstream to read.
const smallWrite = 4 << 10

// A conn is one connection. It carries one request at a time.
type conn struct {
	net   net.Conn
	r     *bufio.Reader
	used  time.Time     // when its last answer ended
	keep  time.Duration // how long it may stay idle; 0 is unknown
	fresh bool          // no request has been sent on it
}

// A writer sends a request while its answer may already be coming.
type writer struct {
	conn net.Conn
	data []byte
	done chan error
}

func (w *writer) run() {
	_, err := w.conn.Write(w.data)
	w.done <- err
}

// A breaker ends all waits on a connection when its context ends.
type breaker struct {
	conn net.Conn
}

func (b *breaker) cut() {
	// An error means that the connection is closed already.
	_ = b.conn.SetDeadline(time.Unix(1, 0))
}

// exchange sends a request and reads its answer. It reports whether the
// connection may be used again.
func (c *conn) exchange(ctx context.Context, codec *Codec, p *Payload, id string, left time.Duration) (Reply, bool) {
	if ctx.Err() != nil {
		return Reply{Result: Unsent, Err: ctx.Err()}, true
	}
	stop := context.AfterFunc(ctx, (&breaker{conn: c.net}).cut)
	data := encode(p, codec.Header(p, id, left))
	sent, n, err := c.send(data)
	if err != nil {
		stop()
		re := Reply{Result: Unknown, Err: cause(ctx, err)}
		if n == 0 {
			re.Result = Unsent
		}
		return re, false
	}
	resp, body, err := c.read(p.Method)
	uncut := stop()
	if err != nil {
		return Reply{Result: Unknown, Err: cause(ctx, err)}, false
	}
	written := true
	if sent != nil {
		select {
		case err := <-sent:
			written = err == nil
		default:
			written = false
		}
	}
	re := codec.Read(p, resp, body)
	c.keep = codec.Keep(resp.Header)
	if c.r.Buffered() > 0 {
		return re, false
	}
	return re, uncut && written && !resp.Close && re.Result != Unknown
}

// cause returns why an exchange broke off: the end of its context goes before
// what that did to the connection.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// send writes a request and returns the bytes that left. A long one is written while the answer is awaited:
// then the channel tells when it is out.
func (c *conn) send(data []byte) (sent chan error, n int, err error) {
	if len(data) <= smallWrite {
		n, err = c.net.Write(data)
		return nil, n, err
	}
	w := &writer{conn: c.net, data: data, done: make(chan error, 1)}
	go w.run()
	return w.done, 0, nil
}

// read returns the next final answer and its whole body.
func (c *conn) read(method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		if err != nil {
			return nil, nil, err
		}
		if len(body) > maxBody {
			return nil, nil, fmt.Errorf("answer above %d bytes", maxBody)
		}
		return resp, body, nil
	}
}

// encode returns the bytes of a request.
func encode(p *Payload, h http.Header) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(p.Body))
	b.WriteString(p.Method)
	b.WriteByte(' ')
	b.WriteString(p.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(p.Host)
	b.WriteString("\r\n")
	if len(p.Body) > 0 || p.Method != http.MethodGet && p.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(p.Body)))
		b.WriteString("\r\n")
	}
	// A bytes.Buffer takes all that is written.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(p.Body)
	return b.Bytes()
}
