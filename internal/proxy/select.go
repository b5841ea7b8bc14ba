package proxy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// criteria describes which upstreams may take a request.
type criteria struct {
	request *Request
	stats   *latencyStats
	exclude []*upstream // upstreams already tried
	late    bool        // it can no longer be on time and must leave slots to requests that can
	hedge   bool        // it must leave upstreams that state a rate limit to first attempts and retries
}

// crossRegionFactor is applied to the round-trip time of an upstream in another
// region when its cost is computed, because cross-region traffic is expensive.
const crossRegionFactor = 1.25

// busyWaitFactor is applied to the cost of a busy upstream to allow for the time
// until it has a free slot. A free upstream that costs more than the result is
// not used: waiting for the busy one is expected to be faster.
const busyWaitFactor = 1.5

// acquire returns the upstream with the lowest expected latency, or nil if none
// can take the request now. The request then counts as in flight there, started
// at now: the caller must send it or call End(now) on the upstream's replica.
func (p *Proxy) acquire(g *group, c *criteria, now time.Time) *upstream {
	for {
		u := p.best(g, c, now)
		if u == nil {
			return nil
		}
		if u.replica.Begin(now, u.maxInFlight(c, now)) {
			return u
		}
	}
}

// best returns the upstream with a free slot and the lowest expected latency. It
// returns nil if there is none, or if waiting for a busy upstream is expected to
// be faster. One that is leaving is returned only if no other one has a free slot.
func (p *Proxy) best(g *group, c *criteria, now time.Time) *upstream {
	var best, bestLeaving *upstream
	least, leastLeaving, busy := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, u := range g.list() {
		if !p.usable(u, c, now) || !u.admits(now) || c.hedge && u.stated.Rate.Limited() {
			continue
		}
		cost := p.cost(u, c, now)
		hasRoom, leaving := u.replica.HasRoom(u.maxInFlight(c, now)), u.stated.Leaving()
		switch {
		case leaving && hasRoom && !c.hedge && cost < leastLeaving:
			bestLeaving, leastLeaving = u, cost
		case leaving:
		case !hasRoom:
			busy = min(busy, cost)
		case cost < least:
			best, least = u, cost
		}
	}
	if best == nil {
		return bestLeaving
	}
	if busyWaitFactor*busy < least {
		return nil
	}
	return best
}

// cost returns the expected latency of a request at an upstream, in nanoseconds.
func (p *Proxy) cost(u *upstream, c *criteria, now time.Time) float64 {
	cost := float64(u.replica.Cost(now, u.rtt(), c.stats.typical()))
	if u.info.Region != p.Region {
		cost += (crossRegionFactor - 1) * float64(u.rtt())
	}
	// A random addition of up to 10% spreads load over equally good upstreams.
	return cost * (1 + 0.1*rand.Float64())
}

// usable reports whether the upstream may serve the request, now or once it has
// a free slot.
func (p *Proxy) usable(u *upstream, c *criteria, now time.Time) bool {
	return u.replica.Usable() && !u.hasLeft(now) && c.request.Route.AllowsRegion(u.info.Region) && !slices.Contains(c.exclude, u)
}

// maxInFlight returns how many requests may be in flight to the upstream, counting
// the one to be sent. The number is lower for a late request.
func (u *upstream) maxInFlight(c *criteria, now time.Time) int {
	n := u.stated.MaxInFlight(u.pool.MaxInFlight(), now)
	if c.late {
		n = min(n, int(u.maxLate.Load()))
	}
	return n
}

// availability tells whether it is worth waiting for an upstream of a group.
type availability int

const (
	availNone    availability = iota // no upstream can take the request soon
	availProbing                     // one has just failed, is being probed and may be back shortly
	availBusy                        // one is in rotation but busy
)

// probeWait is how long requests wait for an upstream that has just failed.
const probeWait = 150 * time.Millisecond

// availability tells whether it is worth waiting for an upstream after acquire
// has returned nil.
func (p *Proxy) availability(g *group, c *criteria, now time.Time) availability {
	best := availNone
	for _, u := range g.list() {
		if p.usable(u, c, now) {
			return availBusy
		}
		d := u.probingFor(now)
		if d > 0 && d < probeWait && c.request.Route.AllowsRegion(u.info.Region) && !slices.Contains(c.exclude, u) {
			best = availProbing
		}
	}
	return best
}
