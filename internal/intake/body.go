package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/body"
)

// Errors of ReadBody, besides *body.TooLongError and those of the connection.
var (
	// ErrTimeout says that a body was not complete in time.
	ErrTimeout = errors.New("body not complete in time")
	// ErrMemory says that there is no memory left for a body, or that its caller took so
	// long that others got its memory. RetryAfter is the delay to suggest.
	ErrMemory = errors.New("requests take too much memory")
)

// ReadBody reads the body of a request to the table's server, which has limit bytes at most and
// is to be complete by the deadline.
func (t *Table) ReadBody(r *http.Request, limit int, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > int64(limit) {
		return nil, &body.TooLongError{Max: int64(limit)}
	}
	c := connOf(r)
	c.beginBody(deadline)
	b, err := c.readBody(r, limit)
	evicted := c.endBody(err)
	if err == nil {
		return b, nil
	}
	c.served = false // nothing holds what has been read
	c.release()
	switch {
	case evicted:
		return nil, ErrMemory
	case errors.Is(err, ErrMemory):
		t.note(refusedMemory, c)
	case isTimeout(err):
		return nil, ErrTimeout
	}
	return nil, err
}

// isTimeout reports whether err is due to the deadline of a connection.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// beginBody notes that a body is being read, which ends at the deadline.
func (c *conn) beginBody(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = connBody, time.Now()
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(deadline)
}

// endBody notes that a body has been read, as a whole or up to an error. It reports whether
// reading was ended for want of memory. If the body is complete, that no longer matters.
func (c *conn) endBody(err error) (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evicted = c.expired
	c.state, c.since = connBusy, time.Now()
	c.bodyEnded = err == nil || isTimeout(err)
	if err == nil {
		c.expired = false
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(time.Time{})
	}
	return evicted
}

// Sizes in bytes of the buffer for a body. It grows with what has come, as a caller may
// announce a long body and send nothing.
const (
	firstBuffer  = 4 << 10
	bufferGrowth = 4 // factor
)

// readBody reads a body of at most limit bytes. It reserves the memory of its buffer.
func (c *conn) readBody(r *http.Request, limit int) ([]byte, error) {
	// The buffer has room for one more byte, which shows that the body is too long.
	most := limit + 1
	if r.ContentLength > 0 {
		most = int(r.ContentLength) + 1
	}
	b := make([]byte, 0, min(firstBuffer, most))
	for {
		if len(b) == cap(b) {
			if len(b) > limit {
				return nil, &body.TooLongError{Max: int64(limit)}
			}
			size := min(bufferGrowth*cap(b), most)
			if !c.reserve(c.head.memory() + int64(cap(b)+size)) {
				return nil, ErrMemory
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// discardTimeout is how long a connection is kept for the rest of a body that nobody reads,
// so that the caller gets its answer.
const discardTimeout = 500 * time.Millisecond

// leaveBody limits the time for which the http.Server reads on in a body that the handler has
// left unread, in whole or in part.
func (c *conn) leaveBody() {
	if c.bodyEnded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = connRest, time.Now()
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
}
