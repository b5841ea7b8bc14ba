package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Dose of garble, how "extra late", in floorhire-search: the share of the searchers, the
// share of their answers, and the time.
const (
	extraShare  = 0.6
	extraAnswer = 0.03
	extraTime   = 5 * time.Second
)

// shed is what a searcher sends to reject a request, as "fleetbench wire" prints it. The
// length only ends the response.
const shed = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// A faultySearcher is a stand-in for a searcher. All its responses echo the Request-Id.
// While it is faulty, additional bytes follow some of them, late: at the point where the
// next response is expected.
type faultySearcher struct {
	id        string
	service   string
	zone      string
	work      time.Duration
	sheds     bool // the additional bytes are those of a rejection, otherwise of a part
	faulty    atomic.Bool
	record    *record
	runs      *runCount // nil if runs are not counted
	mayRepeat bool      // requests may run more than once
	address   string
}

// A runCount counts how often each request has run at all searchers.
type runCount struct {
	mu   sync.Mutex
	runs map[string][]string // searchers by request ID
}

// add counts a run, and returns where the request has run.
func (c *runCount) add(id, searcher string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], searcher)
	return c.runs[id]
}

// has reports whether the request has run.
func (c *runCount) has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[id]) > 0
}

// start starts the searcher on a free port and registers it.
func (l *faultySearcher) start(s *store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	s.write("servers", l.id, map[string]any{
		"Service": l.service, "Address": l.address, "Zone": l.zone, "Version": "v1", "MaxConcurrency": 4,
		"State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": time.Now().Add(-time.Minute).UnixMilli(),
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return nil
}

// serve serves one connection.
func (l *faultySearcher) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	owed := "" // additional bytes
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if t := req.Header.Get("Target-Instance"); t != "" && t != l.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", l.id, id)
			continue
		}
		if owed != "" {
			l.record.add("%s sends additional bytes, which belong to no request: %q; %s is next on the connection", l.id, firstLine(owed), id)
			_, _ = io.WriteString(c, owed)
			owed = ""
		}
		l.run(id)
		stamp := id + "." + l.id
		body := partOf(stamp)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, len(body), body); err != nil {
			return
		}
		if l.faulty.Load() && rand.Float64() < extraAnswer {
			owed = shed
			if !l.sheds {
				owed = fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", stamp, len(body), body)
			}
		}
	}
}

// run runs a request.
func (l *faultySearcher) run(id string) {
	l.record.add("%s runs at %s", id, l.id)
	if l.runs != nil {
		if where := l.runs.add(id, l.id); len(where) > 1 && !l.mayRepeat {
			l.record.broken("TWICE: %s has run at %v", id, where)
		}
	}
	time.Sleep(l.work)
}

// firstLine returns the first line of a response and the names of its header.
func firstLine(response string) string {
	head, _, _ := strings.Cut(response, "\r\n\r\n")
	return head
}

// partOf returns a part with one record of 16 bytes.
func partOf(stamp string) string {
	return (stamp + strings.Repeat(".", 16))[:16]
}

// runFaulty runs the fleet with the searchers, of which extraShare are faulty for a time.
func runFaulty(r *record, s *store, searchers []*faultySearcher, method string, trouble bool) error {
	for _, l := range searchers {
		if err := l.start(s); err != nil {
			return err
		}
	}
	f, err := startFleet(s, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wg := startConsumers(ctx, r, f, 60, method, 5*time.Second)
	time.Sleep(8 * time.Second)
	if trouble {
		for _, l := range searchers[:int(extraShare*float64(len(searchers)))] {
			l.faulty.Store(true)
			r.add("%s hands out additional bytes after %v of its answers", l.id, extraAnswer)
		}
	}
	time.Sleep(extraTime)
	for _, l := range searchers {
		l.faulty.Store(false)
	}
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()
	return nil
}

// extraCase has searchers that send the bytes of a rejection after some responses.
// Requests may run once only.
func extraCase(r *record, trouble bool) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.write("config", "main", config("non_idempotent", 5*time.Second))
	runs := &runCount{runs: make(map[string][]string)}
	r.ran = runs.has
	var searchers []*faultySearcher
	for i := range 5 {
		searchers = append(searchers, &faultySearcher{id: fmt.Sprintf("i-%d", i+1), service: "s1", zone: fmt.Sprintf("z%d", i%3+1), work: 20 * time.Millisecond, sheds: true, record: r, runs: runs})
	}
	return runFaulty(r, s, searchers, http.MethodPost, trouble)
}

// foreignCase has searchers of three shards and of a single service that send the bytes of an
// earlier answer after some responses.
func foreignCase(r *record, trouble bool) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.write("config", "main", gatherConfig())
	var searchers []*faultySearcher
	for i := range 12 {
		searchers = append(searchers, &faultySearcher{id: fmt.Sprintf("i-%d", i+1), service: fmt.Sprintf("s%d", i%4+1), zone: fmt.Sprintf("z%d", i/4+1), work: 20 * time.Millisecond, record: r})
	}
	return runFaulty(r, s, searchers, http.MethodGet, trouble)
}
