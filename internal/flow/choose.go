package flow

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A choice is what a request needs of an upstream.
type choice struct {
	request *Request
	stat    *stat
	avoid   []*target // those that were tried
	late    bool      // it can't be in time, and must not hold up those that can
}

// near is the factor by which an upstream outside the region counts as farther
// away than it is: bytes between regions are dear.
const near = 1.25

// busyTimes is how much longer than its own latency a request may take that
// waits for a busy upstream.
const busyTimes = 1.5

// choose returns the upstream with the least expected latency, with the request
// counted in at the time now, or nil.
func (f *Flow) choose(g *group, c *choice, now time.Time) *target {
	for {
		t := f.best(g, c, now)
		if t == nil {
			return nil
		}
		if t.rep.Begin(now, t.room(c)) {
			return t
		}
	}
}

// best returns the upstream with the least expected latency, or nil. One that
// is worse than waiting for a busy one is not returned.
func (f *Flow) best(g *group, c *choice, now time.Time) *target {
	var best *target
	least, busy := math.Inf(1), math.Inf(1)
	for _, t := range g.list() {
		if !f.usable(t, c) || t.rep.Cold(now) && !t.cold.Available(now) {
			continue
		}
		cost := f.cost(t, c, now)
		switch {
		case !t.rep.HasRoom(t.room(c)):
			busy = min(busy, cost)
		case cost < least:
			best, least = t, cost
		}
	}
	if busyTimes*busy < least {
		return nil
	}
	return best
}

// cost returns what a request is expected to take at an upstream, in ns.
func (f *Flow) cost(t *target, c *choice, now time.Time) float64 {
	cost := float64(t.rep.Cost(now, t.far(), c.stat.typical()))
	if t.up.Region != f.Region {
		cost += (near - 1) * float64(t.far())
	}
	// Equals share the load.
	return cost * (1 + 0.1*rand.Float64())
}

// usable reports whether the request may be sent to the upstream, if not now.
func (f *Flow) usable(t *target, c *choice) bool {
	return t.rep.Usable() && c.request.Route.AllowsRegion(t.up.Region) && !slices.Contains(c.avoid, t)
}

// room returns how many requests may be outstanding at the upstream for another
// one to be sent.
func (t *target) room(c *choice) int {
	room := t.pool.Room()
	if c.late {
		room = min(room, int(t.lateRoom.Load()))
	}
	return room
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
	for _, t := range g.list() {
		if f.usable(t, c) {
			return later
		}
		d := t.probed(now)
		if d > 0 && d < probeHope && c.request.Route.AllowsRegion(t.up.Region) && !slices.Contains(c.avoid, t) {
			best = soon
		}
	}
	return best
}
