// Package client is an HTTP/1.1 client with a connection pool for one upstream.
// A request is written at most once: the package never retries.
package client

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/body"
	"bronzedoor.dev/bronzedoor/internal/quota"
)

// A Request is a caller's request as it is forwarded to an upstream. It is shared
// by all attempts and must not be modified.
type Request struct {
	ID     string // request ID that the caller sent
	Method string
	Target string // path and query, unmodified
	Host   string
	Fields []byte // header lines, without hop-by-hop fields and those of Codec.Header
	Body   []byte

	encodeHead sync.Once
	head       []byte // set by encodeHead
}

// sharedHead returns the beginning of the request's head, which is the same for all
// attempts: everything but the fields of Codec.Header and the empty line at the end. It is
// encoded once, as a request may have very many long header lines, and attempts at all
// shards at the same time.
func (r *Request) sharedHead() []byte {
	r.encodeHead.Do(func() {
		var b bytes.Buffer
		b.Grow(512 + len(r.Target) + len(r.Fields))
		b.WriteString(r.Method)
		b.WriteByte(' ')
		b.WriteString(r.Target)
		b.WriteString(" HTTP/1.1\r\nHost: ")
		b.WriteString(r.Host)
		b.WriteString("\r\n")
		if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
			b.WriteString("Content-Length: ")
			b.WriteString(strconv.Itoa(len(r.Body)))
			b.WriteString("\r\n")
		}
		b.Write(r.Fields)
		r.head = b.Bytes()
	})
	return r.head
}

// A Result says what is known about a request after an attempt to send it.
type Result int

// Results of an attempt.
const (
	Unsent    Result = iota // no byte of the request was sent
	Refused                 // the upstream states that it did not run the request
	Moved                   // another process than the one addressed has the upstream's address now
	Succeeded               // a complete success response was received
	Failed                  // a complete failure response was received; the request ran
	Unknown                 // the request may have run
)

// String returns the name of the result in logs and metrics, which is "whole" for
// Succeeded.
func (r Result) String() string {
	return [...]string{"unsent", "refused", "moved", "whole", "failed", "unknown"}[r]
}

// A Reply is the outcome of one attempt.
type Reply struct {
	Result      Result
	Status      int           // HTTP status; 0 if there was no response
	Header      http.Header   // of the response, without hop-by-hop fields
	Body        []byte        // complete
	Proof       string        // the upstream's proof of its response; may be empty
	ColdFor     time.Duration // how much longer the upstream says it stays cold; 0 if it doesn't say
	RateLimit   RateLimit
	Leaving     bool          // the upstream says that it is leaving
	Pause       time.Duration // for which the upstream wants no requests; 0 if it doesn't say
	BadPause    string        // what the upstream says of a pause, if that can't be read
	AtConnLimit bool          // the first request on a new connection had an unknown outcome: the upstream is taken to be at its connection limit
	SentAt      time.Time     // when the request was written; zero if it wasn't
	Err         error         // why there is no response
}

// A RateLimit is what a reply says about the rate of requests that the upstream takes
// from all daemons together. The zero value says nothing.
type RateLimit struct {
	Known     bool    // the reply says whether there is a limit
	Limited   bool    // there is one; only if Known
	PerSecond float64 // the limit in requests per second, finite and not negative; 0 unless Limited
}

// A Codec defines the headers that are exchanged with an upstream.
type Codec struct {
	// Header returns the header fields of one attempt, at the upstream process with the
	// given ID; remaining is the time until the request's deadline.
	Header func(req *Request, id string, remaining time.Duration) http.Header
	// Decode classifies a complete response.
	Decode func(req *Request, resp *http.Response, body []byte) Reply
	// IdleTimeout returns how long the upstream keeps an idle connection open,
	// by its response header; 0 if the header doesn't say.
	IdleTimeout func(h http.Header) time.Duration
}

// Maximum sizes of a response in bytes.
const (
	maxHead    = 64 << 10 // status line and header, with all informational responses before
	maxBody    = 8 << 20
	maxFraming = 1 << 20 // chunk sizes, their extensions and the trailer, on top of maxBody
)

// maxSyncWrite is the size in bytes up to which a request fits the socket buffers,
// so that writing it does not block until the upstream reads.
const maxSyncWrite = 4 << 10

// A conn is one connection. It carries one request at a time.
type conn struct {
	net         net.Conn
	limit       *limitedReader
	r           *bufio.Reader // reads from limit
	lastUsed    time.Time     // when it was opened or last returned to the pool
	idleTimeout time.Duration // after which the upstream closes it when idle; 0 if unknown
	fresh       bool          // newly opened and without a request so far
}

func newConn(nc net.Conn) *conn {
	limit := &limitedReader{r: nc}
	return &conn{net: nc, limit: limit, r: bufio.NewReaderSize(limit, 2<<10), lastUsed: time.Now(), fresh: true}
}

// A limitedReader reads from a connection until its limit is used up. An upstream in
// trouble may send bytes without end in any part of a response.
type limitedReader struct {
	r    io.Reader
	left int64 // bytes that may still be read
	max  int64 // left as it was last set
}

// allow sets how many bytes may be read from now on.
func (r *limitedReader) allow(n int64) {
	r.left = n
	r.max = n
}

// Read reads from the connection. The error is a *body.TooLongError once the limit is
// used up.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &body.TooLongError{Max: r.max}
	}
	n, err := r.r.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// A writer writes a request in the background while the response is being read.
type writer struct {
	conn  net.Conn
	parts [][]byte
	done  chan error
}

func (w *writer) run() {
	w.done <- w.write()
}

func (w *writer) write() error {
	for _, part := range w.parts {
		if len(part) == 0 {
			continue
		}
		if _, err := w.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// An aborter interrupts blocked reads and writes on a connection when the
// request's context ends.
type aborter struct {
	conn net.Conn
}

func (b *aborter) abort() {
	// An error means that the connection is already closed.
	_ = b.conn.SetDeadline(time.Unix(1, 0))
}

// exchange sends a request to the upstream of p and reads its response. It reports
// whether the connection can be reused.
func (c *conn) exchange(ctx context.Context, p *Pool, req *Request, remaining time.Duration) (Reply, bool) {
	if ctx.Err() != nil {
		return Reply{Result: Unsent, Err: ctx.Err()}, true
	}
	stop := context.AfterFunc(ctx, (&aborter{conn: c.net}).abort)
	written, n, err := c.send(req, p.Codec.Header(req, p.ID, remaining))
	if err != nil {
		stop()
		re := Reply{Result: Unknown, Err: cause(ctx, err)}
		if n == 0 {
			re.Result = Unsent
		}
		return re, false
	}
	resp, respBody, err := c.read(req.Method, p.Memory)
	stopped := stop()
	if err != nil {
		return Reply{Result: Unknown, Err: cause(ctx, err)}, false
	}
	complete := true
	if written != nil {
		select {
		case err := <-written:
			complete = err == nil
		default:
			complete = false
		}
	}
	re := p.Codec.Decode(req, resp, respBody)
	c.idleTimeout = p.Codec.IdleTimeout(resp.Header)
	if c.r.Buffered() > 0 {
		return re, false
	}
	return re, stopped && complete && !resp.Close && re.Result != Unknown
}

// cause returns why an exchange failed: the context's error if the context has
// ended, since err is then only a consequence, or else err.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// send writes a request, with the fields of this attempt, and returns the number of bytes
// written. A request above maxSyncWrite is written in the background, as the upstream may
// respond before it has read all: the channel then delivers the result of the write, and n
// is 0. What attempts have in common is not copied then.
func (c *conn) send(req *Request, fields http.Header) (written chan error, n int, err error) {
	head := req.sharedHead()
	var b bytes.Buffer
	short := len(head)+len(req.Body) <= maxSyncWrite
	if short {
		b.Grow(len(head) + attemptFieldsSize + len(req.Body))
		b.Write(head)
	}
	// Writing to a bytes.Buffer never fails.
	_ = fields.Write(&b)
	b.WriteString("\r\n")
	if short {
		b.Write(req.Body)
		n, err = c.net.Write(b.Bytes())
		return nil, n, err
	}
	w := &writer{conn: c.net, parts: [][]byte{head, b.Bytes(), req.Body}, done: make(chan error, 1)}
	go w.run()
	return w.done, 0, nil
}

// attemptFieldsSize is the usual size in bytes of the fields of one attempt.
const attemptFieldsSize = 128

// A StatusError says that a response has no valid status, so that it is none.
type StatusError struct {
	Status int
}

// Error returns the status as text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response with the invalid status %03d", e.Status)
}

// Range of valid statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// read returns the next final response and its complete body. It skips
// informational (1xx) responses. memory limits long bodies.
func (c *conn) read(method string, memory *quota.Quota) (*http.Response, []byte, error) {
	c.limit.allow(maxHead)
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			return nil, nil, &StatusError{Status: resp.StatusCode}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		c.limit.allow(maxBody + maxFraming)
		r := &memoryReader{r: resp.Body, memory: memory}
		defer r.release()
		b, err := body.Read(r, maxBody)
		return resp, b, err
	}
}
