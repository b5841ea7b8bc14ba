// Package intake limits what callers' connections take of a process: memory for requests that
// are being read and served, time, and descriptors. Clients that ignore their limits neither
// end the process nor keep it from serving others.
package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/quota"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// A Table holds the callers' connections of a daemon, and closes those that are idle
// or within a request's header for longer than the configuration in force allows. The
// timeouts of an http.Server can't serve for this, as they can't be changed while the
// server runs. Nor can Shutdown end idle connections: it may close one whose request has
// just been read.
type Table struct {
	Limits  func() route.Limits            // returns the limits in force; nil if heads are not counted
	Refused func(r Refusal, peer net.Addr) // is told of each refusal; may be nil
	Linger  time.Duration                  // for which a request that was served may be held after its answer
	// ConnMemory is the memory in bytes that a connection takes at most, with its request; 0 if
	// requests reserve theirs.
	ConnMemory int64

	memory *quota.Quota // bytes of callers' requests; nil for no limit
	// maxConns is the number of connections above which a new one takes the place of one on
	// which nothing is being served; 0 for no limit.
	maxConns int

	mu           sync.Mutex
	conns        map[*conn]struct{}
	nextMakeRoom time.Time // before which no connection is looked for that holds memory for long
}

// connCheckInterval is the time between two checks for connections to close. One is
// closed at most this much after its timeout, and never before it.
const connCheckInterval = 250 * time.Millisecond

// writeTimeout is how long a caller may take to read an answer. An answer is held in memory
// until then.
const writeTimeout = time.Minute

// Run checks for connections to close until ctx ends.
func (t *Table) Run(ctx context.Context) {
	for delay.Sleep(ctx, connCheckInterval) {
		l := t.Limits()
		t.expire(connIdle, l.IdleTimeout)
		t.expire(connHeader, l.HeaderTimeout)
		t.expireWrites()
	}
}

// expireWrites ends the writing to connections whose callers don't read.
func (t *Table) expireWrites() {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.expireWrite(writeTimeout, now)
	}
}

// expire ends the connections that are in a state for longer than timeout.
func (t *Table) expire(state connState, timeout time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.expire(state, timeout, now)
	}
}

// Size returns the number of open connections.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// ExpireIdle ends the connections on which nothing is being served or read.
func (t *Table) ExpireIdle() {
	t.expire(connIdle, 0)
}

// track records a connection's new state. It is an http.Server's ConnState hook.
func (t *Table) track(nc net.Conn, state http.ConnState) {
	c := connIn(nc)
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

// connIn returns the connection of a table that an http.Server serves, itself or under TLS.
func connIn(nc net.Conn) *conn {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	return nc.(*conn)
}

// Listener returns a listener whose connections are in the table. It limits what the kernel
// holds of them, as far as it can: the error is not nil if it can't.
func (t *Table) Listener(l net.Listener) (net.Listener, error) {
	return &listener{Listener: l, table: t}, limitUnread(l)
}

// A listener is a listener whose connections are in a Table.
type listener struct {
	net.Listener
	table *Table
}

// Accept waits for the next connection and adds it to the table. It closes those for which
// there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, table: l.table, since: time.Now()}
		if l.table.add(c) {
			return c, nil
		}
		l.table.note(refusedConn, c)
		// The connection is discarded in any case, so an error does not matter.
		_ = nc.Close()
	}
}
