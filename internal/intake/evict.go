package intake

import "time"

// evictMargin is the inverse of the share of Table.maxConns by which connections may
// exceed it for a moment, until those whose place was taken are closed.
const evictMargin = 8

// add adds a new connection. If there are maxConns already, it takes the place of one on which
// nothing is being served; if there is none, add reports false.
func (t *Table) add(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxConns > 0 && len(t.conns) >= t.maxConns {
		if len(t.conns) > t.maxConns+t.maxConns/evictMargin || !t.evictOne(c.since) {
			return false
		}
	}
	if t.conns == nil {
		t.conns = make(map[*conn]struct{})
	}
	t.conns[c] = struct{}{}
	return true
}

// evictOne ends the evictable connection of the lowest rank, and reports whether there was one.
// The mutex is held.
func (t *Table) evictOne(now time.Time) bool {
	var victim *conn
	var lowest rank
	for c := range t.conns {
		r, ok := c.rank(now)
		if ok && (victim == nil || r.less(lowest)) {
			victim, lowest = c, r
		}
	}
	if victim == nil || !victim.evict(now) {
		return false
	}
	if victim.closed() {
		delete(t.conns, victim)
	}
	t.note(refusedConn, victim)
	return true
}

// A rank orders connections on which nothing is being served. One that is idle after an answer
// ranks above the others; of two, that one ranks higher which has been waiting for less time.
type rank struct {
	answered bool
	since    time.Time
}

func (r rank) less(other rank) bool {
	if r.answered != other.answered {
		return !r.answered
	}
	return r.since.Before(other.since)
}

// rank returns the connection's rank, and whether it may be evicted.
func (c *conn) rank(now time.Time) (rank, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rank{answered: c.state == connIdle && c.answered, since: c.since}, c.evictable(now)
}

// evictable reports whether the connection may be ended for another one: it is idle, takes too
// long for a request, or its request has been rejected. The mutex is held.
func (c *conn) evictable(now time.Time) bool {
	return !c.expired && (c.state == connIdle || c.state == connRest || c.tooSlow(now))
}

// evict ends the connection if nothing is being served on it still. One whose request was
// rejected is closed at once, as an http.Server keeps it for a while after that.
func (c *conn) evict(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evictable(now) {
		return false
	}
	c.cut(now)
	if c.state == connRest {
		// The connection is discarded in any case, so an error does not matter.
		_ = c.Close()
	}
	return true
}

// closed reports whether evict has closed the connection.
func (c *conn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired && c.state == connRest
}
