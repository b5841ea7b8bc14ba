package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times and sizes of the depart case.
const (
	drainBound    = 4 * time.Second // DrainMs
	departSettle  = 8 * time.Second
	departFreeze  = 4 * time.Second // for_s of node_freeze at hbit-plates
	departObserve = 6 * time.Second // for which the searchers that leave go on serving
	departWorkers = 6
)

// departZones are the zones of the searchers; those of the last one leave.
var departZones = []string{"zone-1", "zone-2", "zone-3"}

// A departure is the set of searchers that leave, and when the store acknowledged it.
type departure struct {
	searchers []*searcher
	mu        sync.Mutex
	at        time.Time
	late      int
	latest    time.Duration
}

// observe judges one request that reaches a searcher that leaves.
func (d *departure) observe(s *scene, r *searcher, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at.IsZero() {
		return
	}
	after := time.Since(d.at)
	d.latest = max(d.latest, after)
	if after > drainBound {
		d.late++
		s.rec.add("DRAIN: request %s reaches searcher %s %v after the store acknowledged that it is gone", id, r.id, after.Round(time.Millisecond))
	}
}

func newLedgerSearcher(s *scene, i int, zone string) *searcher {
	return &searcher{rec: s.rec, store: s.store, id: fmt.Sprintf("i-ledger-%d", i), service: ledgerService, zone: zone, slots: 3, work: 5 * time.Millisecond, body: []byte("ledger entry")}
}

// startDepart starts the store, the searchers and two daemons, each with an address of
// the store of its own.
func startDepart(s *scene, gone *departure) ([]*daemon, error) {
	st, err := newStore(s.rec, "127.0.0.1")
	if err != nil {
		return nil, err
	}
	s.store = st
	s.atEnd(st.stop)
	st.put("config", "main", ledgerConfig(7), nil)
	for i := range 9 {
		r := newLedgerSearcher(s, i, departZones[i%3])
		if i%3 == 2 {
			gone.searchers = append(gone.searchers, r)
			r.behave = func(_ http.ResponseWriter, req *http.Request) bool {
				gone.observe(s, r, req.Header.Get("Request-Id"))
				return false
			}
		}
		if err := r.start("127.0.0.1"); err != nil {
			return nil, err
		}
		s.atEnd(r.stop)
	}
	daemons := make([]*daemon, 0, 2)
	for i := range 2 {
		address, err := st.alias("127.0.0.1")
		if err != nil {
			return nil, err
		}
		d, err := newDaemon(s.rec, s.dir, fmt.Sprintf("edge-%d", i+1), "zone-1", address)
		if err != nil {
			return nil, err
		}
		d.store = address
		if err := d.start(); err != nil {
			return nil, err
		}
		s.atEnd(d.kill)
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return daemons, nil
}

// awaitList waits until a daemon has just listed the searchers, and returns it.
func awaitList(s *scene, daemons []*daemon) (*daemon, error) {
	start := time.Now()
	for time.Since(start) < 5*time.Second {
		for _, d := range daemons {
			if s.store.lastListed(d.store).After(start) {
				return d, nil
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil, errors.New("no daemon lists the searchers")
}

// runDepart takes the searchers of a zone away by removing their entries, just after the
// daemon that reads the store for the other one has frozen. The rule DRAIN is broken if
// the other one, which is in touch, sends them requests more than DrainMs later.
func runDepart(s *scene) (bool, error) {
	gone := &departure{}
	daemons, err := startDepart(s, gone)
	if err != nil {
		return false, err
	}
	time.Sleep(departSettle)
	reader, err := awaitList(s, daemons)
	if err != nil {
		return false, err
	}
	other := daemons[0]
	if other == reader {
		other = daemons[1]
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range departWorkers {
		wg.Go(func() { sendSteadily(ctx, s, other, i) })
	}
	time.Sleep(touchWindow)
	if err := removeAfterRead(s, gone, reader); err != nil {
		return false, err
	}
	time.Sleep(departObserve)
	cancel()
	wg.Wait()
	gone.mu.Lock()
	defer gone.mu.Unlock()
	s.rec.add("the last request to them came %v after that; %d came after DrainMs", gone.latest.Round(time.Millisecond), gone.late)
	return gone.late > 0, nil
}

// removeAfterRead removes the entries of the searchers that leave, just after the daemon
// that reads the store has read them, has passed them on and has frozen.
func removeAfterRead(s *scene, gone *departure, reader *daemon) error {
	// Once more, for the moment after a read.
	if _, err := awaitList(s, []*daemon{reader}); err != nil {
		return err
	}
	// The daemon has applied what it read.
	time.Sleep(30 * time.Millisecond)
	// Searchers that take the place of those that leave register first.
	for i := range gone.searchers {
		r := newLedgerSearcher(s, 9+i, "zone-1")
		if err := r.start("127.0.0.1"); err != nil {
			return err
		}
		s.atEnd(r.stop)
	}
	time.Sleep(50 * time.Millisecond)
	if s.trouble {
		reader.signal(syscall.SIGSTOP)
		time.AfterFunc(departFreeze, func() { reader.signal(syscall.SIGCONT) })
	}
	names := make([]string, 0, len(gone.searchers))
	for _, r := range gone.searchers {
		r.silent.Store(true)
		names = append(names, r.id)
	}
	s.store.remove("servers", names...)
	gone.mu.Lock()
	gone.at = time.Now()
	gone.mu.Unlock()
	s.rec.add("the store has acknowledged that %v are gone; they go on serving", names)
	return nil
}

// sendSteadily sends one request after another to a daemon until ctx ends.
func sendSteadily(ctx context.Context, s *scene, d *daemon, n int) {
	c, err := dial(s.rec, fmt.Sprint(n), d.front)
	if err != nil {
		return
	}
	defer c.close()
	for ctx.Err() == nil {
		if a := c.send(http.MethodGet, ledgerHost, "/read/entry", nil, 5*time.Second); a.status == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
