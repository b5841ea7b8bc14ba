package plan

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/peer"
)

// Constants for choosing between holders.
const (
	latencyWeight = 0.2                    // weight of a new sample in the moving average of latencies
	latencyDecay  = 500 * time.Millisecond // age at which an average counts half
	avoidTime     = 500 * time.Millisecond // time for which a holder is avoided after a failed request
)

// A Balancer chooses between the daemons that hold permits of a cell, its holders.
// The zero value knows no holders and is ready to use. It is safe for concurrent
// use.
type Balancer struct {
	mu        sync.Mutex
	holders   map[string][]string // identities by cell name
	noNewWork map[string]bool     // identities of members that are leaving or down
	loads     map[string]*load    // by identity
}

// load is the load and latency of one holder, as seen by this daemon.
type load struct {
	inFlight   int
	latency    time.Duration // moving average of successful requests
	sampledAt  time.Time     // time of the newest sample
	avoidUntil time.Time     // after a failed request, a fallback until then
}

// SetMembers sets the members of the fleet, from which the holders of the cells
// follow. It discards the loads of daemons that are no longer members.
func (b *Balancer) SetMembers(members []peer.Member) {
	holders := make(map[string][]string)
	noNewWork := make(map[string]bool)
	known := make(map[string]bool)
	for _, m := range members {
		known[m.Identity] = true
		if m.Leaving || m.Down {
			noNewWork[m.Identity] = true
		}
		if m.Down {
			continue
		}
		for _, block := range m.Blocks {
			if !slices.Contains(holders[block.Cell], m.Identity) {
				holders[block.Cell] = append(holders[block.Cell], m.Identity)
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders = holders
	b.noNewWork = noNewWork
	if b.loads == nil {
		b.loads = make(map[string]*load)
	}
	for id := range b.loads {
		if !known[id] {
			delete(b.loads, id)
		}
	}
}

// Pick returns the holder of a cell to send the next request to, leaving out those
// in tried, or "" if there is none. The candidates are the members that report a
// block of the cell or, if there are none, the owners in its stored record.
// Candidates that are leaving, down or failed recently come last. If tried is
// empty, self comes first among equals; otherwise the better of two random
// candidates is returned.
func (b *Balancer) Pick(c *conf.Cell, self string, tried []string, now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var preferred, fallback []string
	for _, id := range b.candidates(c) {
		switch {
		case slices.Contains(tried, id):
		case b.noNewWork[id] || now.Before(b.load(id).avoidUntil):
			fallback = append(fallback, id)
		default:
			preferred = append(preferred, id)
		}
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	if len(preferred) == 0 {
		return ""
	}
	if slices.Contains(preferred, self) && len(tried) == 0 {
		return self
	}
	one, other := preferred[rand.IntN(len(preferred))], preferred[rand.IntN(len(preferred))]
	if b.cost(other, now) < b.cost(one, now) {
		return other
	}
	return one
}

// candidates returns the members that report a block of the cell or, if there are
// none, the owners in its stored record.
func (b *Balancer) candidates(c *conf.Cell) []string {
	out := b.holders[c.Name]
	if len(out) > 0 {
		return out
	}
	for _, block := range c.Blocks {
		if !slices.Contains(out, block.Owner) {
			out = append(out, block.Owner)
		}
	}
	return out
}

func (b *Balancer) load(id string) *load {
	if b.loads == nil {
		b.loads = make(map[string]*load)
	}
	l := b.loads[id]
	if l == nil {
		l = &load{}
		b.loads[id] = l
	}
	return l
}

// cost estimates the latency of a request to a holder: the average latency times
// the number of requests in flight, this one included. The older the average, the
// less it counts.
func (b *Balancer) cost(id string, now time.Time) float64 {
	l := b.load(id)
	age := float64(now.Sub(l.sampledAt)) / float64(latencyDecay)
	return float64(l.latency) / (1 + age) * float64(l.inFlight+1)
}

// Begin counts a request to a holder as in flight. Each call must be followed by
// one of End.
func (b *Balancer) Begin(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).inFlight++
}

// End records the outcome of a request to a holder and how long it took. A holder
// whose request failed is avoided for a short time.
func (b *Balancer) End(id string, took time.Duration, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.inFlight--
	if !ok {
		l.avoidUntil = now.Add(avoidTime)
		return
	}
	l.latency += time.Duration(latencyWeight * float64(took-l.latency))
	l.sampledAt = now
	l.avoidUntil = time.Time{}
}
