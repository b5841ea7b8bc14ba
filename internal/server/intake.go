package server

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bronzedoor.dev/bronzedoor/internal/proxy"
)

// Memory that a request is estimated to take from its first byte to its answer.
const (
	lineMemory = 256 // bytes for a header line, however short: its entry in the table of lines, with room for that to grow
	textCopies = 3   // copies of a head's text: as received, as parsed, as forwarded
)

// shortRequest is the memory in bytes up to which a request needs no reservation, so that
// ordinary requests are read while others have used up connTable.Memory.
const shortRequest = 16 << 10

// Inverse of the shares of a process's limits. One connection to each upstream, those to other
// daemons and the store, and the log have what is left of its descriptors.
const (
	requestShareOfMemory = 4 // for reserved memory of callers' requests
	callerShareOfMemory  = 4 // for callers' connections, each with a short request
	callerShareOfFiles   = 2 // for callers' connections
	upstreamShareOfFiles = 4 // for connections to upstreams, beyond one to each
)

// connMemory is the memory in bytes that a caller's connection takes besides its request: two
// goroutines' stacks and the buffers of an http.Server.
const connMemory = 32 << 10

// maxCallers returns how many connections callers may have; 0 for no limit.
func (s *Settings) maxCallers() int {
	n := s.MaxFiles / callerShareOfFiles
	if s.MemoryLimit > 0 {
		byMemory := int(s.MemoryLimit / callerShareOfMemory / (connMemory + shortRequest))
		if n == 0 || byMemory < n {
			n = max(byMemory, 1)
		}
	}
	return n
}

// bufferSize is the size in bytes of the buffer through which an http.Server reads a
// connection.
const bufferSize = 4 << 10

// headFactor is how often a head may be longer on the connection than the limit on headers
// counts, which leaves out separators.
const headFactor = 2

// A headCount counts what has been read of a request's head. An http.Server builds a table
// of the lines while it reads them.
type headCount struct {
	bytes int
	lines int
	ahead int // lines in what was read last, which may be the beginning of the next head
}

// add counts the n bytes that were read into b.
func (h *headCount) add(b []byte, n int, inHead bool) {
	lines := bytes.Count(b[:n], []byte{'\n'})
	switch {
	case len(b) > bufferSize:
		h.ahead = 0 // a part of a body was read, and nothing else
	case len(b) > 1:
		h.ahead = lines
	default: // the http.Server looks whether the caller is there, and leaves its buffer alone
	}
	if inHead {
		h.bytes += n
		h.lines += lines
	}
}

// reset prepares for the next head, whose beginning may have been read already.
func (h *headCount) reset() {
	h.bytes, h.lines = 0, h.ahead
}

// memory returns the estimated memory of the request so far, in bytes.
func (h *headCount) memory() int64 {
	return int64(h.lines*lineMemory + h.bytes*textCopies)
}

// A refusal says why a connection was not served further.
type refusal struct {
	Reason     string        // also a label of metrics
	Status     int           // that the caller gets; 0 for none
	RetryAfter time.Duration // that the caller gets; 0 for none
}

// retryAfterMemory is the delay to suggest to a caller whose request found no memory left. By
// then, most requests that are being served have their answers.
const retryAfterMemory = 500 * time.Millisecond

var (
	refusedHead   = refusal{Reason: "header too long", Status: http.StatusRequestHeaderFieldsTooLarge}
	refusedMemory = refusal{Reason: "requests take too much memory", Status: http.StatusServiceUnavailable, RetryAfter: retryAfterMemory}
	refusedConn   = refusal{Reason: "too many connections"}
)

// admitHead decides on what has been read of a head, before it is parsed. It returns nil if
// reading may go on.
func (c *conn) admitHead() *refusal {
	if c.head.bytes > headFactor*c.table.Limits().MaxHeaderBytes+bufferSize {
		return &refusedHead
	}
	if !c.reserve(c.head.memory()) {
		return &refusedMemory
	}
	return nil
}

// reserve reserves memory for the current request, which takes n bytes altogether, or
// reports false if that is not left.
func (c *conn) reserve(n int64) bool {
	more := n - shortRequest - c.taken.Load()
	if more <= 0 {
		return true
	}
	if !c.table.Memory.Take(more) {
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
		time.AfterFunc(proxy.Linger, func() { c.table.Memory.Return(n) })
		return
	}
	c.table.Memory.Return(n)
}

// refuse answers a request whose head has been read in part. Nothing else is written to the
// connection at that time.
func (c *conn) refuse(r *refusal) {
	c.table.noteRefused(*r, c)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", r.Status, http.StatusText(r.Status))
	if r.RetryAfter > 0 {
		text += fmt.Sprintf("Retry-After: %s\r\n", retryAfterSeconds(r.RetryAfter))
	}
	// An error means that the caller has disconnected.
	_, _ = io.WriteString(c.Conn, text+"\r\n")
}

// retryAfterSeconds returns a delay in seconds with fractions.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func (t *connTable) noteRefused(r refusal, c *conn) {
	if t.Refused != nil {
		t.Refused(r, c.RemoteAddr().String())
	}
}

// readPatience is how long a caller may take for a request that holds reserved memory,
// before others may have it.
const readPatience = time.Second

// makeRoom ends the reading of requests for which callers take too long, the oldest first,
// until they have held n bytes of memory.
func (t *connTable) makeRoom(n int64) {
	now := time.Now()
	for _, s := range t.slowReaders(now) {
		if n <= 0 {
			return
		}
		if s.conn.expireSlow(now) {
			t.noteRefused(refusedMemory, s.conn)
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

// slowReaders returns those that have had more than readPatience, the oldest first.
func (t *connTable) slowReaders(now time.Time) []slowReader {
	t.mu.Lock()
	defer t.mu.Unlock()
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
