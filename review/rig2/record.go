package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// coldWindow is the time in which requests to a cold searcher are counted. The rule counts
// those that were sent and arrived inside one second; what arrives within this time was
// sent within a second, as a request on a loopback address takes far less than the rest.
const coldWindow = 900 * time.Millisecond

// Bounds of the settings file for cold searchers.
const (
	coldOverage = 1.5
	coldSlack   = 5
)

// A record is what the stand-ins have seen. It is written to a file as it grows.
type record struct {
	mu       sync.Mutex
	started  time.Time
	file     *os.File
	arrivals map[string]int       // by request ID
	breaks   []string             // of the rule
	most     map[string]int       // most requests in coldWindow, by searcher and boot
	statuses map[int]int          // answers by status; 0 for none
	crashes  map[string]int       // of searchers, by reason
	ran      func(id string) bool // whether a request that may run once only has run; nil if all may be repeated
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, arrivals: make(map[string]int), most: make(map[string]int), statuses: make(map[int]int), crashes: make(map[string]int)}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line is add with the mutex held.
func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// arrival records a request that arrives at a searcher, of which inWindow have arrived in
// coldWindow while it is cold.
func (r *record) arrival(s *searcher, boot int, req *http.Request, inWindow int) {
	r.mu.Lock()
	id := req.Header.Get("Request-Id")
	r.arrivals[id]++
	cold := ""
	if inWindow > 0 {
		cold = fmt.Sprintf(", cold, %d in %v", inWindow, coldWindow)
	}
	r.line("%s boot %d of %s runs or queues it%s", id, boot, s.id, cold)
	key := fmt.Sprintf("%s boot %d", s.id, boot)
	first := inWindow > s.coldBound() && r.most[key] <= s.coldBound()
	r.most[key] = max(r.most[key], inWindow)
	r.mu.Unlock()
	if first {
		r.broken("%s is cold and gets %d requests in %v, the bound is %d in 1 s", key, inWindow, coldWindow, s.coldBound())
	}
}

// coldBound is the most requests that the searcher may get in a second while it is cold.
func (s *searcher) coldBound() int {
	return int(s.coldRate*coldOverage + coldSlack)
}

// broken records that the rule was broken.
func (r *record) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakWith(format, args...)
}

// breakWith is broken with the mutex held.
func (r *record) breakWith(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.breaks = append(r.breaks, text)
	r.line("BROKEN: %s", text)
	fmt.Println("BROKEN:", text)
}

// answer records the answer to a request; status 0 stands for none.
func (r *record) answer(id string, status int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
	r.line("%s answered with %d after %d ms", id, status, took.Milliseconds())
	if r.ran != nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && r.ran(id) {
		r.breakWith("REFUSED: %s was answered with %d and has run", id, status)
	}
}

// checkStamps checks that a success, or all its parts, are answers to its request.
func (r *record) checkStamps(id string, status int, h http.Header) {
	if status/100 != 2 {
		return
	}
	for _, stamp := range strings.Split(strings.Join(h.Values("Part-Stamps"), ","), ",") {
		if stamp = strings.TrimSpace(stamp); stamp != "" && !strings.HasPrefix(stamp, id+".") {
			r.broken("MIXED: the answer to %s has the part with the MAC %s, of another request", id, stamp)
		}
	}
	if stamp := h.Get("Server-Stamp"); stamp != "" && !strings.HasPrefix(stamp, id+".") {
		r.broken("MIXED: the answer to %s is the one with the MAC %s, to another request", id, stamp)
	}
}

// crash records the end of a searcher.
func (r *record) crash(s *searcher, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes[reason]++
	r.line("%s crashes: %s", s.id, reason)
}

// end writes the counts.
func (r *record) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("answers by status (0: none): %v", r.statuses)
	r.line("searchers' crashes: %v", r.crashes)
	fmt.Printf("answers by status (0: none): %v; searchers' crashes: %v\n", r.statuses, r.crashes)
	for key, n := range r.most {
		if n > 0 {
			r.line("most requests in %v while cold: %s: %d", coldWindow, key, n)
			fmt.Printf("most requests in %v while cold: %s: %d\n", coldWindow, key, n)
		}
	}
	_ = r.file.Close()
}
