package intake

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Memory that a request is estimated to take from its first byte to its answer.
const (
	lineMemory = 256 // bytes for a header line, however short: its entry in the table of lines, with room for that to grow
	textCopies = 3   // copies of a head's text: as received, as parsed, as forwarded
)

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

// A Refusal says why a connection was not served further.
type Refusal struct {
	Reason     string        // also a label of metrics
	Status     int           // that the caller gets; 0 for none
	RetryAfter time.Duration // that the caller gets; 0 for none
}

// RetryAfter is the delay to suggest to a caller whose request found no memory left. By then,
// most requests that are being served have their answers.
const RetryAfter = 500 * time.Millisecond

var (
	refusedHead   = Refusal{Reason: "header too long", Status: http.StatusRequestHeaderFieldsTooLarge}
	refusedMemory = Refusal{Reason: "requests take too much memory", Status: http.StatusServiceUnavailable, RetryAfter: RetryAfter}
	refusedConn   = Refusal{Reason: "too many connections"}
)

// admitHead decides on what has been read of a head, before it is parsed. It returns nil if
// reading may go on.
func (c *conn) admitHead() *Refusal {
	if c.head.bytes > headFactor*c.table.Limits().MaxHeaderBytes+bufferSize {
		return &refusedHead
	}
	if !c.reserve(c.head.memory()) {
		return &refusedMemory
	}
	return nil
}

// refuse answers a request whose head has been read in part. Nothing else is written to the
// connection at that time.
func (c *conn) refuse(r *Refusal) {
	c.table.note(*r, c)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", r.Status, http.StatusText(r.Status))
	if r.RetryAfter > 0 {
		text += fmt.Sprintf("Retry-After: %s\r\n", retryAfterSeconds(r.RetryAfter))
	}
	// An error means that the caller has disconnected.
	_, _ = io.WriteString(c, text+"\r\n")
}

// retryAfterSeconds returns a delay in seconds with fractions.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// note reports that a connection was refused.
func (t *Table) note(r Refusal, c *conn) {
	if t.Refused != nil {
		t.Refused(r, c.RemoteAddr())
	}
}
