package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// newID returns a new request ID.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// A consumer is one connection to a daemon.
type consumer struct {
	rec  *record
	name string
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a connection.
func dial(rec *record, name, address string) (*consumer, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{rec: rec, name: name, conn: c, r: bufio.NewReader(c)}, nil
}

// An answer is what a consumer got for a request. status is 0 if the connection ended
// without a complete answer.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends a request and reads its answer, waiting as long as limit.
func (c *consumer) send(method, host, path string, body []byte, limit time.Duration) answer {
	id := newID()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, limit.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return c.exchange(id, method, path, b.Bytes(), limit)
}

// exchange sends the bytes of a request and reads its answer.
func (c *consumer) exchange(id, method, path string, data []byte, limit time.Duration) answer {
	start := time.Now()
	a := answer{id: id}
	c.rec.add("consumer %s sends %s %s request %s", c.name, method, path, id)
	_ = c.conn.SetDeadline(start.Add(limit + time.Second))
	resp, err := (*http.Response)(nil), error(nil)
	if _, err = c.conn.Write(data); err == nil {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: method})
	}
	if err == nil {
		a.header = resp.Header
		a.body, err = io.ReadAll(resp.Body)
	}
	a.took = time.Since(start)
	if err != nil {
		a.err = err
		c.rec.add("consumer %s: request %s ends without a complete answer after %d ms: %v", c.name, id, a.took.Milliseconds(), err)
		return a
	}
	a.status = resp.StatusCode
	c.rec.add("consumer %s: request %s gets %d after %d ms, %d bytes", c.name, id, a.status, a.took.Milliseconds(), len(a.body))
	return a
}

func (c *consumer) close() {
	_ = c.conn.Close()
}
