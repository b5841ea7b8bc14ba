package intake

import (
	"slices"
	"time"
)

// shortRequest is the memory in bytes up to which a request needs no reservation, so that
// ordinary requests are read while others have used up Table.memory.
const shortRequest = 16 << 10

// reserve reserves memory for the current request, which takes n bytes altogether, or
// reports false if that is not left.
func (c *conn) reserve(n int64) bool {
	more := n - shortRequest - c.taken.Load()
	if more <= 0 {
		return true
	}
	if !c.table.memory.Take(more) {
		c.table.makeRoom(more)
		return false
	}
	c.taken.Add(more)
	return true
}

// release gives back the memory of a request. Attempts at upstreams may hold that of one that
// was served for a while after its answer.
func (c *conn) release() {
	n := c.taken.Swap(0)
	if n == 0 {
		return
	}
	if c.served {
		time.AfterFunc(c.table.Linger, func() { c.table.memory.Return(n) })
		return
	}
	c.table.memory.Return(n)
}

// readPatience is how long a caller may take for a request that holds reserved memory,
// before others may have it.
const readPatience = time.Second

// All connections are looked through to make room, so that is done at intervals and for more
// than one request: a crowd that is refused mustn't take the processor's time.
const (
	makeRoomInterval = 50 * time.Millisecond
	makeRoomShare    = 8 // inverse of the share of Table.memory that is freed at least
)

// makeRoom ends the reading of requests for which callers take too long, the oldest first,
// until they have held n bytes of memory, or more.
func (t *Table) makeRoom(n int64) {
	now := time.Now()
	n = max(n, t.memory.Max/makeRoomShare)
	for _, s := range t.slowReaders(now) {
		if n <= 0 {
			return
		}
		if s.conn.expireSlow(now) {
			t.note(refusedMemory, s.conn)
			n -= s.taken
		}
	}
}

// A slowReader is a connection whose request is not complete yet and holds memory.
type slowReader struct {
	conn  *conn
	since time.Time
	taken int64
}

// slowReaders returns those that have had more than readPatience, the oldest first. It returns
// none within makeRoomInterval of the last time.
func (t *Table) slowReaders(now time.Time) []slowReader {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextMakeRoom) {
		return nil
	}
	t.nextMakeRoom = now.Add(makeRoomInterval)
	var slow []slowReader
	for c := range t.conns {
		taken := c.taken.Load()
		if taken == 0 {
			continue
		}
		if since, ok := c.readingSince(now); ok {
			slow = append(slow, slowReader{c, since, taken})
		}
	}
	slices.SortFunc(slow, func(a, b slowReader) int { return a.since.Compare(b.since) })
	return slow
}

// readingSince returns since when the connection's request is being read, and whether that
// has taken too long.
func (c *conn) readingSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.tooSlow(now)
}

// tooSlow reports whether reading a request has taken too long. The mutex is held.
func (c *conn) tooSlow(now time.Time) bool {
	reading := c.state == connHeader || c.state == connBody
	return reading && !c.expired && now.Sub(c.since) >= readPatience
}

// expireSlow ends the reading of a request if it still takes too long.
func (c *conn) expireSlow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tooSlow(now) {
		return false
	}
	c.cut(now)
	return true
}
