package intake

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// A connState says what a caller's connection is used for.
type connState int

const (
	connIdle   connState = iota // no byte of a request has been read since the last answer
	connHeader                  // a request's header is being read
	connBody                    // a request's body is being read
	connBusy                    // a request is being served
	connRest                    // the rest of a rejected request's body is being read
)

// A conn is a caller's connection. An http.Server reads and writes it, and reports its
// state to the Table that accepted it.
type conn struct {
	net.Conn
	table *Table
	taken atomic.Int64 // bytes of table.memory that are reserved for the current request

	// These are used by one goroutine at a time: that which reads.
	head      headCount
	served    bool // the current request was passed on to the handler
	bodyEnded bool // the body of the current request is complete, or its time is over
	refused   bool // the caller got an answer before its head was complete; nothing more is read

	// mu is held while a deadline is set for an idle connection, and while one that
	// has received bytes leaves that state. So a request that has been read, in whole
	// or in part, is never cut off as idle.
	mu       sync.Mutex
	state    connState
	since    time.Time // start of state
	expired  bool      // the read deadline has been set to end reading
	answered bool      // a request has been answered
	writing  time.Time // start of the write that is under way; zero if none is
}

// Read reads from the connection. The first bytes after an answer begin a request. If its
// head is too long, or there is no memory left for it, the error is os.ErrDeadlineExceeded,
// for which an http.Server closes the connection; the caller has got an answer then.
func (c *conn) Read(b []byte) (int, error) {
	if c.refused {
		// An http.Server reads on after an error within a line.
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	inHead := c.beginHeader()
	if c.table.Limits == nil {
		return n, err
	}
	c.head.add(b, n, inHead)
	if !inHead {
		return n, err
	}
	if r := c.admitHead(); r != nil {
		c.refused = true
		c.refuse(r)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.setWriting(time.Now())
	n, err := c.Conn.Write(b)
	c.setWriting(time.Time{})
	return n, err
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = since
}

// expireWrite ends the writing to the connection if a write has not come to its end within
// timeout.
func (c *conn) expireWrite(timeout time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing.IsZero() || now.Sub(c.writing) < timeout {
		return
	}
	// An error means that the connection is closed.
	_ = c.SetWriteDeadline(now)
}

// beginHeader notes that bytes have come. It reports whether they are of a request's head.
func (c *conn) beginHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle {
		return c.state == connHeader
	}
	c.state, c.since = connHeader, time.Now()
	c.keep()
	return true
}

// keep undoes cut. The mutex is held.
func (c *conn) keep() {
	if c.expired {
		c.expired = false
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *conn) setState(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = state, time.Now()
	c.answered = c.answered || state == connIdle
	c.keep()
}

// expire ends the reading of the connection if it is in the given state for longer
// than timeout. The http.Server then closes it without an answer.
func (c *conn) expire(state connState, timeout time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != state || now.Sub(c.since) < timeout {
		return
	}
	c.cut(now)
}

// cut ends the reading of the connection. The mutex is held.
func (c *conn) cut(now time.Time) {
	c.expired = true
	// An error means that the connection is closed.
	_ = c.SetReadDeadline(now)
}
