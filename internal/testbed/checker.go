package testbed

import (
	"fmt"
	"slices"
	"sync"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Checker compares answers with the upstreams' data. It is safe for concurrent
// use.
type Checker struct {
	System *System

	mu    sync.Mutex
	cache map[dataset][]int // results of docShards
}

// A dataset identifies a service's data in one partitioning.
type dataset struct {
	service string
	shards  int
}

// Check returns an error if the answer a to the request r is wrong. The hits must
// be exactly the best ones, at the answer's snapshot, of the shards that its
// coverage claims.
func (c *Checker) Check(caller string, r *query.Request, a *query.Answer) error {
	spec, err := c.spec(caller, a.Snapshot.Layout)
	if err != nil {
		return err
	}
	if a.ID != r.ID {
		return fmt.Errorf("answer has request ID %q, want %q", a.ID, r.ID)
	}
	cov := a.Coverage
	if cov.Shards != spec.Shards || cov.Merged+len(cov.Missed) != cov.Shards {
		return fmt.Errorf("coverage says %d shards, %d merged, %d missed; the layout has %d shards", cov.Shards, cov.Merged, len(cov.Missed), spec.Shards)
	}
	want := c.expected(spec, r, a)
	if !slices.Equal(a.Hits, want) {
		return fmt.Errorf("hits at snapshot %+v with %d missed shards are not the best of the merged shards", a.Snapshot, len(cov.Missed))
	}
	return nil
}

// spec returns the Spec of the layout of the service that a caller class queries.
func (c *Checker) spec(caller string, layout int) (*Spec, error) {
	n := 0
	for i := range c.System.Specs {
		s := &c.System.Specs[i]
		if s.Caller != caller {
			continue
		}
		n++
		if n == layout {
			return s, nil
		}
	}
	return nil, fmt.Errorf("answer from layout %d, which caller class %s doesn't have", layout, caller)
}

// expected returns the best hits of all shards but those that a says it missed.
func (c *Checker) expected(s *Spec, r *query.Request, a *query.Answer) []query.Hit {
	missed := make(map[int]bool)
	for _, m := range a.Coverage.Missed {
		missed[m.Shard] = true
	}
	var ids []int
	for i, shard := range c.docShards(s) {
		if !missed[shard] {
			ids = append(ids, i)
		}
	}
	return s.Documents().Top(a.Snapshot.Version, r.Text, r.Top, r.After, ids)
}

// docShards returns the shard of each document, by the document's number.
func (c *Checker) docShards(s *Spec) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := dataset{service: s.Service, shards: s.Shards}
	if c.cache == nil {
		c.cache = make(map[dataset][]int)
	}
	if c.cache[k] == nil {
		c.cache[k] = assignShards(s.Documents(), s.Shards)
	}
	return c.cache[k]
}

// assignShards computes the shard of each document.
func assignShards(d fakes.Documents, shards int) []int {
	out := make([]int, d.Count)
	for i := range out {
		out[i] = query.ShardOf(d.ID(i), shards)
	}
	return out
}

// Totals returns the sums of the counters of a service's upstreams, and of all
// upstreams for "". PeakInFlight and LastArrival are maxima; PeakConns and BookedKeys
// are not set.
func (sys *System) Totals(service string) fakes.SearcherStats {
	var t fakes.SearcherStats
	for _, u := range sys.Upstreams {
		if service != "" && u.Service != service {
			continue
		}
		x := u.Stats()
		t.Executed += x.Executed
		t.Rejected += x.Rejected
		t.ColdOverloads += x.ColdOverloads
		t.ConnsRejected += x.ConnsRejected
		t.ConnsOpened += x.ConnsOpened
		t.PeakInFlight = max(t.PeakInFlight, x.PeakInFlight)
		if x.LastArrival.After(t.LastArrival) {
			t.LastArrival = x.LastArrival
		}
	}
	return t
}
