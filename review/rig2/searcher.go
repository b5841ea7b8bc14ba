package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// coldTime is how long a searcher is cold after its start (ColdStartS).
const coldTime = 3 * time.Second

// A searcher is a stand-in for a searcher. It has MaxConcurrency slots, and rejects what
// finds none free for too long.
type searcher struct {
	id       string
	service  string
	zone     string
	slots    int
	coldRate float64 // ColdPerS; 0 for none
	work     time.Duration
	store    *store
	record   *record
	address  string
	hang     atomic.Bool // requests that run get no answer

	mu        sync.Mutex
	server    *http.Server
	born      time.Time
	coldUntil time.Time
	boot      int
	free      chan struct{}
	arrivals  []time.Time // of this boot, without those that were rejected with 421
	stop      chan struct{}
}

// start starts the searcher at the address that it had, or at a free one. cold says that it
// starts during traffic.
func (s *searcher) start(cold bool) error {
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.born, s.arrivals, s.stop = time.Now(), nil, make(chan struct{})
	if cold {
		s.coldUntil = s.born.Add(coldTime)
	}
	s.boot++
	s.free = make(chan struct{}, s.slots)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	go s.register(s.stop)
	go s.beat(s.stop)
	return nil
}

// heartbeat is the time between two writes of a registration (HeartbeatMs).
const heartbeat = 1200 * time.Millisecond

// beat writes the registration at each heartbeat. The store makes no change of a write that
// has nothing new.
func (s *searcher) beat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
			s.write()
		}
	}
}

// chill makes the searcher cold again, which its registration says at once.
func (s *searcher) chill() {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(coldTime)
	s.arrivals = nil
	s.mu.Unlock()
	s.record.add("%s is cold again", s.id)
	s.write()
}

// register writes the registration at the start. What fails is repeated soon.
func (s *searcher) register(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if s.write() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// write writes the registration, and reports false if the store is down.
func (s *searcher) write() bool {
	s.mu.Lock()
	left := max(time.Until(s.coldUntil), 0)
	born := s.born.UnixMilli()
	s.mu.Unlock()
	return s.store.write("servers", s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "MaxConcurrency": s.slots,
		"State": "ready", "ColdLeftMs": left.Milliseconds(), "Sequence": 1, "born": born,
	})
}

// crash ends the searcher: its connections are reset or closed, and nobody is told.
func (s *searcher) crash(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	server := s.server
	close(s.stop)
	s.server = nil
	s.record.crash(s, reason)
	go func() { _ = server.Close() }()
}

// overload is how often the bound a cold searcher gets in a second when it crashes, and
// restartTime is how long it is then down.
const (
	overload    = 2
	restartTime = time.Second
)

// overloaded crashes the searcher in the given boot, and starts it again.
func (s *searcher) overloaded(boot int) {
	s.mu.Lock()
	current := s.boot == boot && s.server != nil
	s.mu.Unlock()
	if !current {
		return
	}
	s.crash("too many requests while cold")
	time.Sleep(restartTime)
	if err := s.start(true); err != nil {
		s.record.add("%s can't start: %v", s.id, err)
	}
}

// isCold reports whether the searcher is cold.
func (s *searcher) isCold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// arrive counts a request, and returns how many came in the last second if the searcher is
// cold.
func (s *searcher) arrive(now time.Time) (inSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	if s.coldRate == 0 || !s.isCold(now) {
		return 0
	}
	for i := len(s.arrivals) - 1; i >= 0 && now.Sub(s.arrivals[i]) < coldWindow; i-- {
		inSecond++
	}
	return inSecond
}

// ServeHTTP serves one request.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	boot, free, stop := s.boot, s.free, s.stop
	left := max(time.Until(s.coldUntil), 0)
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t := r.Header.Get("Target-Instance"); t != "" && t != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	inWindow := s.arrive(time.Now())
	s.record.arrival(s, boot, r, inWindow)
	if inWindow > overload*s.coldBound() {
		go s.overloaded(boot)
		return
	}
	select {
	case free <- struct{}{}:
		defer func() { <-free }()
	case <-time.After(s.work * 4):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	var done <-chan time.Time
	if !s.hang.Load() {
		done = time.After(s.work)
	}
	select {
	case <-done:
	case <-stop:
		return
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s.%d", id, s.id, boot))
	_, _ = fmt.Fprintf(w, "%s %d bytes\n", id, len(body))
}
