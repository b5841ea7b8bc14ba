package plan

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/peer"
)

// Constants of the choice between holders.
const (
	latencyGain = 0.2                    // weight of the newest latency in the mean
	latencyAge  = 500 * time.Millisecond // age after which a mean is worth half
	avoidFor    = 500 * time.Millisecond // after a holder did not answer
)

// Routes is what an entry knows of the holders of each cell. The zero value
// knows none. It is safe for concurrent use.
type Routes struct {
	mu      sync.Mutex
	holders map[string][]string // identities by the cell's name
	leaving map[string]bool     // identities that get no new work
	loads   map[string]*load    // by identity
}

// load is what an entry knows of one holder.
type load struct {
	flight  int
	latency time.Duration
	sampled time.Time
	avoid   time.Time // until then
}

// Update takes in the members of the fleet.
func (r *Routes) Update(members []peer.Member) {
	holders := make(map[string][]string)
	leaving := make(map[string]bool)
	known := make(map[string]bool)
	for _, m := range members {
		known[m.Identity] = true
		if m.Leaving || m.Down {
			leaving[m.Identity] = true
		}
		if m.Down {
			continue
		}
		for _, b := range m.Blocks {
			if !slices.Contains(holders[b.Cell], m.Identity) {
				holders[b.Cell] = append(holders[b.Cell], m.Identity)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders = holders
	r.leaving = leaving
	if r.loads == nil {
		r.loads = make(map[string]*load)
	}
	for id := range r.loads {
		if !known[id] {
			delete(r.loads, id)
		}
	}
}

// Pick returns the holder of a cell to ask next, except those tried. Members
// that say they hold it go before those that the record names; one that leaves
// or did not answer lately comes last. self is preferred to an equal. It
// returns "" when there is none.
func (r *Routes) Pick(c *conf.Cell, self string, tried []string, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var good, poor []string
	for _, id := range r.names(c) {
		switch {
		case slices.Contains(tried, id):
		case r.leaving[id] || now.Before(r.load(id).avoid):
			poor = append(poor, id)
		default:
			good = append(good, id)
		}
	}
	if len(good) == 0 {
		good = poor
	}
	if len(good) == 0 {
		return ""
	}
	if slices.Contains(good, self) && len(tried) == 0 {
		return self
	}
	a, b := good[rand.IntN(len(good))], good[rand.IntN(len(good))]
	if r.cost(b, now) < r.cost(a, now) {
		return b
	}
	return a
}

func (r *Routes) names(c *conf.Cell) []string {
	out := r.holders[c.Name]
	if len(out) > 0 {
		return out
	}
	for _, b := range c.Blocks {
		if !slices.Contains(out, b.Owner) {
			out = append(out, b.Owner)
		}
	}
	return out
}

func (r *Routes) load(id string) *load {
	if r.loads == nil {
		r.loads = make(map[string]*load)
	}
	l := r.loads[id]
	if l == nil {
		l = &load{}
		r.loads[id] = l
	}
	return l
}

func (r *Routes) cost(id string, now time.Time) float64 {
	l := r.load(id)
	age := float64(now.Sub(l.sampled)) / float64(latencyAge)
	return float64(l.latency) / (1 + age) * float64(l.flight+1)
}

// Begin counts a request to a holder.
func (r *Routes) Begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load(id).flight++
}

// End takes in how a request to a holder went.
func (r *Routes) End(id string, took time.Duration, ok bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.load(id)
	l.flight--
	if !ok {
		l.avoid = now.Add(avoidFor)
		return
	}
	l.latency += time.Duration(latencyGain * float64(took-l.latency))
	l.sampled = now
	l.avoid = time.Time{}
}
