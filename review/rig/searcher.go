package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// A searcher is a stand-in for one searcher of a service. It runs slots requests at a
// time, queues others up to queueLength, and rejects the rest with Not-Executed.
type searcher struct {
	rec     *record
	store   *store
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration // that a request takes
	body    []byte        // of an answer
	address string
	server  *http.Server
	free    chan struct{}
	stopped chan struct{}
	silent  atomic.Bool // it registers no more
	// behave replaces the usual answer of a request that it has begun to run, if it
	// is not nil and returns true.
	behave func(w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	seq     int
	state   string
	runs    map[string]int // times that a request was begun, by ID
	waiting int
}

// queueLength is how many requests wait for a slot of a searcher.
const queueLength = 12

// heartbeat is the time between two registrations of a searcher.
const heartbeat = 1200 * time.Millisecond

// start listens at a free port of ip, serves and registers the searcher.
func (s *searcher) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.free = make(chan struct{}, s.slots)
	s.stopped = make(chan struct{})
	s.runs = make(map[string]int)
	s.state = "ready"
	born := time.Now().UnixMilli()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	s.beat(born)
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				if !s.silent.Load() {
					s.beat(born)
				}
			case <-s.stopped:
				return
			}
		}
	}()
	return nil
}

// beat registers the searcher.
func (s *searcher) beat(born int64) {
	s.mu.Lock()
	s.seq++
	spec := map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1",
		"MaxConcurrency": s.slots, "State": s.state, "ColdLeftMs": 0, "Sequence": s.seq,
	}
	s.mu.Unlock()
	s.store.register(s.id, spec, born)
}

func (s *searcher) stop() {
	close(s.stopped)
	_ = s.server.Close()
}

// ran returns how often the request with an ID was begun.
func (s *searcher) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// stamp returns the signature of an answer to a request.
func (s *searcher) stamp(id string) string {
	sum := sha256.Sum256([]byte(s.service + "/" + s.id + "/" + id))
	return hex.EncodeToString(sum[:12])
}

// enter waits for a slot. It reports whether the request may run.
func (s *searcher) enter(ctx context.Context) bool {
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP serves one request.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if !s.enter(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.free }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.add("searcher %s runs %s %s request %s, Deadline-Ms %d", s.id, r.Method, r.URL.Path, id, ms)
	if s.behave != nil && s.behave(w, r) {
		return
	}
	s.finish(ctx, w, id)
}

// finish works on a request and answers it.
func (s *searcher) finish(ctx context.Context, w http.ResponseWriter, id string) {
	timer := time.NewTimer(s.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		s.rec.add("searcher %s gives up request %s: %v", s.id, id, ctx.Err())
		w.Header().Set("Server-Stamp", s.stamp(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.rec.add("searcher %s answers request %s", s.id, id)
	w.Header().Set("Server-Stamp", s.stamp(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	_, _ = w.Write(s.body)
}
