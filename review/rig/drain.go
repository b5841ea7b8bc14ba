package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment.
const (
	ledgerHost    = "ledger.example"
	ledgerService = "ledger"
	bookService   = "deposits"
)

// ledgerConfig returns a desired state with one route that may be repeated and one that
// may not, each to a service of its own.
func ledgerConfig(version int) map[string]any {
	route := func(name, prefix, service, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": ledgerHost, "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": 8000,
			"SloMs": 800, "Priority": 2, "Service": service, "Attempts": 2, "AllowedRegions": []string{},
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 0.0}
	}
	return map[string]any{
		"Version":  version,
		"Routes":   []any{route("read", "/read/", ledgerService, "idempotent"), route("book", "/book/", bookService, "non_idempotent")},
		"Services": []any{service(ledgerService), service(bookService)},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// startLedger starts the store, six searchers of each service and a daemon.
func startLedger(s *scene, work time.Duration, config map[string]any) (*daemon, []*searcher, error) {
	st, err := newStore(s.rec, "127.0.0.1")
	if err != nil {
		return nil, nil, err
	}
	s.store = st
	s.atEnd(st.stop)
	st.put("config", "main", config, nil)
	var all []*searcher
	for _, service := range []string{ledgerService, bookService} {
		for i := range 6 {
			r := &searcher{rec: s.rec, store: st, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: "zone-1", slots: 4, work: work, body: []byte("ledger entry")}
			if err := r.start("127.0.0.1"); err != nil {
				return nil, nil, err
			}
			s.atEnd(r.stop)
			all = append(all, r)
		}
	}
	d, err := newDaemon(s.rec, s.dir, "edge-1", "zone-1", st.address)
	if err != nil {
		return nil, nil, err
	}
	if err := d.start(); err != nil {
		return nil, nil, err
	}
	s.atEnd(d.kill)
	return d, all, d.awaitReady(10 * time.Second)
}

// Times of the drain case. Requests are sent more than 3 s after SIGTERM, the time up to
// which the rule excuses those that are still worked on in the last sixth of GraceS.
// Each of them could be answered within GraceS.
const (
	drainGrace  = 6 * time.Second
	drainWork   = 1500 * time.Millisecond
	drainSettle = 3 * time.Second // with the first requests, StableWindowMs before SIGTERM and more
)

// drainSendTimes are when requests are sent, counted from SIGTERM.
var drainSendTimes = []time.Duration{
	1000 * time.Millisecond, 3500 * time.Millisecond, 3950 * time.Millisecond, 4000 * time.Millisecond, 4050 * time.Millisecond, 4100 * time.Millisecond,
}

// runDrain stops a daemon with SIGTERM while consumers use kept connections. The rule
// LOST is broken if a request that was read and passed on ends without an answer.
func runDrain(s *scene) (bool, error) {
	d, searchers, err := startLedger(s, drainWork, ledgerConfig(7))
	if err != nil {
		return false, err
	}
	time.Sleep(drainSettle)
	kept, err := openKept(s, d, 2*len(drainSendTimes))
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	start := time.Now()
	if s.trouble {
		d.signal(syscall.SIGTERM)
	}
	answers := make([]answer, len(kept))
	var wg sync.WaitGroup
	for i, c := range kept {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(drainSendTimes[i/2])))
			if i%2 == 0 {
				answers[i] = c.send(http.MethodGet, ledgerHost, "/read/entry", nil, 8*time.Second)
			} else {
				answers[i] = c.send(http.MethodPost, ledgerHost, "/book/deposit", []byte("amount=100"), 8*time.Second)
			}
		})
	}
	wg.Wait()
	return judgeLost(s, searchers, answers, drainSendTimes, drainGrace), nil
}

// openKept opens n connections of consumers with one request each, and keeps them.
func openKept(s *scene, d *daemon, n int) ([]*consumer, error) {
	kept := make([]*consumer, n)
	errs := make([]error, len(kept))
	var wg sync.WaitGroup
	for i := range kept {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			c, err := dial(s.rec, fmt.Sprint(i), d.front)
			if err != nil {
				errs[i] = err
				return
			}
			kept[i] = c
			s.atEnd(c.close)
			if a := c.send(http.MethodGet, ledgerHost, "/read/first", nil, 8*time.Second); a.status != http.StatusOK {
				errs[i] = fmt.Errorf("first request of consumer %d: status %d, %v", i, a.status, a.err)
			}
		})
	}
	wg.Wait()
	return kept, errors.Join(errs...)
}

// judgeLost reports whether a request that was sent over 3 s after SIGTERM and was passed
// on to a searcher ended without an answer. Two requests were sent at each time.
func judgeLost(s *scene, searchers []*searcher, answers []answer, sent []time.Duration, grace time.Duration) bool {
	lost := 0
	for i, a := range answers {
		ran := 0
		for _, r := range searchers {
			ran += r.ran(a.id)
		}
		if a.status != 0 || ran == 0 || sent[i/2] <= 3*time.Second {
			continue
		}
		lost++
		s.rec.add("LOST: request %s, sent %v after SIGTERM, was begun %d times by a searcher and its connection ended without an answer %v after SIGTERM, with GraceS at %v",
			a.id, sent[i/2], ran, (sent[i/2] + a.took).Round(time.Millisecond), grace)
	}
	s.rec.add("%d requests lost of %d", lost, len(answers))
	return lost > 0
}
