package world

import (
	"fmt"
	"slices"
	"sync"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Judge compares answers with the searchers' data. It is safe for concurrent
// use.
type Judge struct {
	World *World

	mu     sync.Mutex
	shards map[data][]int // shard of each document
}

// data names a service's data in one layout.
type data struct {
	service string
	shards  int
}

// Check returns what is wrong with an answer, or nil: its hits must be exactly
// the best ones of the shards that it says it covers, at its one snapshot.
func (j *Judge) Check(caller string, r *query.Request, a *query.Answer) error {
	spec, err := j.spec(caller, a.Snapshot.Layout)
	if err != nil {
		return err
	}
	if a.ID != r.ID {
		return fmt.Errorf("answer to %q, asked %q", a.ID, r.ID)
	}
	c := a.Coverage
	if c.Shards != spec.Shards || c.Merged+len(c.Missed) != c.Shards {
		return fmt.Errorf("coverage: %d shards, %d merged, %d missed; the layout has %d", c.Shards, c.Merged, len(c.Missed), spec.Shards)
	}
	want := j.truth(spec, r, a)
	if !slices.Equal(a.Hits, want) {
		return fmt.Errorf("hits of snapshot %+v with %d missed are not the shards' best", a.Snapshot, len(c.Missed))
	}
	return nil
}

func (j *Judge) spec(caller string, layout int) (*Spec, error) {
	n := 0
	for i := range j.World.Specs {
		s := &j.World.Specs[i]
		if s.Caller != caller {
			continue
		}
		n++
		if n == layout {
			return s, nil
		}
	}
	return nil, fmt.Errorf("answer from layout %d, which is none of %s", layout, caller)
}

func (j *Judge) truth(s *Spec, r *query.Request, a *query.Answer) []query.Hit {
	missed := make(map[int]bool)
	for _, m := range a.Coverage.Missed {
		missed[m.Shard] = true
	}
	var ids []int
	for i, shard := range j.shardsOf(s) {
		if !missed[shard] {
			ids = append(ids, i)
		}
	}
	return s.Documents().Top(a.Snapshot.Version, r.Text, r.Top, r.After, ids)
}

func (j *Judge) shardsOf(s *Spec) []int {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := data{service: s.Service, shards: s.Shards}
	if j.shards == nil {
		j.shards = make(map[data][]int)
	}
	if j.shards[k] == nil {
		j.shards[k] = partition(s.Documents(), s.Shards)
	}
	return j.shards[k]
}

func partition(d fakes.Documents, shards int) []int {
	out := make([]int, d.Count)
	for i := range out {
		out[i] = query.ShardOf(d.ID(i), shards)
	}
	return out
}

// Totals sums the searchers' records of a service; "" for all.
func (w *World) Totals(service string) fakes.SearcherStats {
	var t fakes.SearcherStats
	for _, h := range w.Hosts {
		if service != "" && h.Service != service {
			continue
		}
		x := h.Stats()
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
