package intake

import "time"

// crowdedMargin is the inverse of the share of Table.maxConns by which connections may
// exceed it for a moment, until those whose place was taken are closed.
const crowdedMargin = 8

// add adds a new connection. If there are maxConns already, it takes the place of one on which
// nothing is being served; if there is none, add reports false.
func (t *Table) add(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxConns > 0 && len(t.conns) >= t.maxConns {
		if len(t.conns) > t.maxConns+t.maxConns/crowdedMargin || !t.displace(c.since) {
			return false
		}
	}
	if t.conns == nil {
		t.conns = make(map[*conn]struct{})
	}
	t.conns[c] = struct{}{}
	return true
}

// displace ends the connection that is worth least, and reports whether there was one. The
// mutex is held.
func (t *Table) displace(now time.Time) bool {
	var victim *conn
	var least worth
	for c := range t.conns {
		w, ok := c.worth(now)
		if ok && (victim == nil || w.less(least)) {
			victim, least = c, w
		}
	}
	if victim == nil || !victim.giveWay(now) {
		return false
	}
	if victim.closed() {
		delete(t.conns, victim)
	}
	t.note(refusedConn, victim)
	return true
}

// A worth ranks connections on which nothing is being served. One that has been served
// before is worth more than one that has not; of two, that is worth more which has been
// waiting for a shorter time.
type worth struct {
	served bool
	since  time.Time
}

func (w worth) less(other worth) bool {
	if w.served != other.served {
		return !w.served
	}
	return w.since.Before(other.since)
}

// worth returns what the connection is worth, and whether it may give way to another one: it
// is idle, takes too long for a request, or has been rejected.
func (c *conn) worth(now time.Time) (worth, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return worth{served: c.state == connIdle && c.answered, since: c.since}, c.mayGiveWay(now)
}

// mayGiveWay reports whether the connection may be ended for another one. The mutex is held.
func (c *conn) mayGiveWay(now time.Time) bool {
	return !c.expired && (c.state == connIdle || c.state == connRest || c.tooSlow(now))
}

// giveWay ends the connection if nothing is being served on it still. One whose request was
// rejected is closed at once, as an http.Server keeps it for a while after that.
func (c *conn) giveWay(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayGiveWay(now) {
		return false
	}
	c.cut(now)
	if c.state == connRest {
		// The connection is discarded in any case, so an error does not matter.
		_ = c.Close()
	}
	return true
}

// closed reports whether giveWay has closed the connection.
func (c *conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired && c.state == connRest
}
