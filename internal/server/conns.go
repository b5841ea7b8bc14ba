package server

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/quota"
	"bronzedoor.dev/bronzedoor/internal/route"
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
// state to the connTable that accepted it.
type conn struct {
	net.Conn
	table *connTable
	taken atomic.Int64 // bytes of table.Memory that are reserved for the current request

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

// A connTable holds the callers' connections of a daemon, and closes those that are idle
// or within a request's header for longer than the configuration in force allows. The
// timeouts of an http.Server can't serve for this, as they can't be changed while the
// server runs. Nor can Shutdown end idle connections: it may close one whose request has
// just been read.
type connTable struct {
	Limits  func() route.Limits // returns the limits in force
	Memory  *quota.Quota        // bytes of callers' requests; nil for no limit
	Refused func(r refusal, peer string)
	// MaxConns is the number of connections above which a new one takes the place of one on
	// which nothing is being served; 0 for no limit.
	MaxConns int

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// connCheckInterval is the time between two checks for connections to close. One is
// closed at most this much after its timeout, and never before it.
const connCheckInterval = 250 * time.Millisecond

// writeTimeout is how long a caller may take to read an answer. An answer is held in memory
// until then.
const writeTimeout = time.Minute

// loop checks for connections to close until ctx ends.
func (t *connTable) loop(ctx context.Context) {
	for delay.Sleep(ctx, connCheckInterval) {
		l := t.Limits()
		t.expire(connIdle, l.IdleTimeout)
		t.expire(connHeader, l.HeaderTimeout)
		t.expireWrites()
	}
}

// expireWrites ends the writing to connections whose callers don't read.
func (t *connTable) expireWrites() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.expireWrite(writeTimeout, now)
	}
}

// expire ends the connections that are in a state for longer than timeout.
func (t *connTable) expire(state connState, timeout time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.expire(state, timeout, now)
	}
}

// size returns the number of open connections.
func (t *connTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// track records a connection's new state. It is an http.Server's ConnState hook.
func (t *connTable) track(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	switch state {
	case http.StateActive:
		c.setState(connBusy)
	case http.StateIdle:
		c.release()
		c.head.reset()
		c.served, c.bodyEnded = false, false
		c.setState(connIdle)
	case http.StateHijacked, http.StateClosed:
		c.release()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c)
	case http.StateNew:
	}
}

// A connListener is a listener whose connections are in a connTable.
type connListener struct {
	net.Listener
	table *connTable
}

// Accept waits for the next connection and adds it to the table. It closes those for which
// there is no room.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, table: l.table, since: time.Now()}
		if l.table.add(c) {
			return c, nil
		}
		l.table.noteRefused(refusedConn, c)
		// The connection is discarded in any case, so an error does not matter.
		_ = nc.Close()
	}
}
