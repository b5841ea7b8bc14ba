package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
)

// An idleCloser closes callers' connections that have been idle for longer than
// the configuration in force allows. The IdleTimeout of an http.Server can't
// serve for this, as it can't be changed while the server runs.
type idleCloser struct {
	Timeout func() time.Duration // returns the idle timeout in force; 0 for none

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // start of idleness; idle connections only
}

// idleCheckInterval is the time between two checks for idle connections. A
// connection is closed at most this much after its timeout, and never before it.
const idleCheckInterval = 500 * time.Millisecond

// loop checks for idle connections until ctx ends.
func (d *idleCloser) loop(ctx context.Context) {
	for delay.Sleep(ctx, idleCheckInterval) {
		d.closeIdle(time.Now())
	}
}

// track records a connection's new state. It is an http.Server's ConnState hook.
func (d *idleCloser) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state != http.StateIdle {
		delete(d.idleSince, c)
		return
	}
	if d.idleSince == nil {
		d.idleSince = make(map[net.Conn]time.Time)
	}
	d.idleSince[c] = time.Now()
}

// closeIdle closes the connections that have been idle for longer than the timeout.
func (d *idleCloser) closeIdle(now time.Time) {
	timeout := d.Timeout()
	if timeout <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, since := range d.idleSince {
		if now.Sub(since) > timeout {
			delete(d.idleSince, c)
			// The server's read fails, and it reports StateClosed to track.
			_ = c.Close()
		}
	}
}
