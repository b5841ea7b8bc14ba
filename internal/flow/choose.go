package flow

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A choice is what a request needs of an upstream.
type choice struct {
	request *Request
	stat    *stat
	avoid   []*target // those that were tried
	waiting bool      // an upstream without a free connection will do
}

// near is the factor by which an upstream outside the region counts as farther
// away than it is: bytes between regions are dear.
const near = 1.25

// choose returns the upstream with the least expected latency, or nil.
func (f *Flow) choose(g *group, c *choice, now time.Time) *target {
	var best *target
	var least float64
	for _, t := range g.list() {
		if !f.fits(t, c, now) {
			continue
		}
		cost := float64(t.rep.Cost(now, t.far(), c.stat.typical()))
		if t.up.Region != f.Region {
			cost += (near - 1) * float64(t.far())
		}
		// Equals share the load.
		cost *= 1 + 0.1*rand.Float64()
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

// fits reports whether the request may be sent to the upstream now.
func (f *Flow) fits(t *target, c *choice, _ time.Time) bool {
	return t.rep.Usable() &&
		c.request.Route.Allows(t.up.Region) &&
		!slices.Contains(c.avoid, t) &&
		(c.waiting || t.pool.Free() && t.rep.Room())
}

// hope says what waiting for an upstream may bring.
type hope int

const (
	none  hope = iota // no upstream can serve the request soon
	soon              // one is being looked at, and may be back in a moment
	later             // one is in use and will be free
)

// probeHope is how long an upstream that has just failed is waited for.
const probeHope = 150 * time.Millisecond

// hope returns what waiting may bring when choose found nothing.
func (f *Flow) hope(g *group, c *choice, now time.Time) hope {
	best := none
	busy := *c
	busy.waiting = true
	for _, t := range g.list() {
		if f.fits(t, &busy, now) {
			return later
		}
		d := t.probed(now)
		if d > 0 && d < probeHope && c.request.Route.Allows(t.up.Region) && !slices.Contains(c.avoid, t) {
			best = soon
		}
	}
	return best
}
