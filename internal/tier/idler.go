package tier

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/pace"
)

// An idler closes callers' connections that have been idle for longer than the
// configuration in force allows. An http.Server's own limit can't change while
// it serves.
type idler struct {
	Limit func() time.Duration // the longest idle time now; 0 sets none

	mu    sync.Mutex
	since map[net.Conn]time.Time // of the idle connections
}

// idleEvery is the time between two looks for idle connections. A connection
// stays open for up to so much longer than its limit, and never shorter.
const idleEvery = 500 * time.Millisecond

// loop looks for such connections until ctx ends.
func (d *idler) loop(ctx context.Context) {
	for pace.Sleep(ctx, idleEvery) {
		d.close(time.Now())
	}
}

// note takes in a connection's new state. It is an http.Server's ConnState.
func (d *idler) note(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state != http.StateIdle {
		delete(d.since, c)
		return
	}
	if d.since == nil {
		d.since = make(map[net.Conn]time.Time)
	}
	d.since[c] = time.Now()
}

// close closes what has been idle for too long.
func (d *idler) close(now time.Time) {
	most := d.Limit()
	if most <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, since := range d.since {
		if now.Sub(since) > most {
			delete(d.since, c)
			// The server notices the end, and says so itself.
			_ = c.Close()
		}
	}
}
