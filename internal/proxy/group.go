package proxy

import (
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// A group holds the upstreams of one service, its budget for retries and hedges,
// and the requests that wait for an upstream.
type group struct {
	name   string
	budget limit.WindowBudget

	mu        sync.Mutex
	upstreams []*upstream
	queue     waitQueue
	wakeAt    time.Time // when a waiting request is woken next because a rate limit allows it; may be in the past
}

// setBudget sets this daemon's share of the service's budget for retries and hedges.
func (g *group) setBudget(l Limits, share float64, ramp limit.RampUp) {
	g.budget.Set(l.BudgetRatio, l.BudgetSlack*share, l.BudgetWindow, ramp)
}

// setUpstreamLimits sets this daemon's share of the limits of each upstream.
func (g *group) setUpstreamLimits(s route.Service, share float64) {
	all := g.list()
	if len(all) == 0 {
		return
	}
	users := usersByRegion(all, all[0].proxy.daemons())
	for _, u := range all {
		u.setLimits(s, share, users[u.info.Region])
	}
}

// usersByRegion returns how many daemons use the upstreams of each region: the
// daemons of that region, and those of all regions without upstreams, which may
// use any upstream.
func usersByRegion(all []*upstream, daemons map[string]int) map[string]int {
	out := make(map[string]int)
	for _, u := range all {
		out[u.info.Region] = daemons[u.info.Region]
	}
	unattached := 0
	for region, n := range daemons {
		if _, ok := out[region]; !ok {
			unattached += n
		}
	}
	for region := range out {
		out[region] += unattached
	}
	return out
}

// list returns the current upstreams. The slice must not be changed.
func (g *group) list() []*upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreams
}

// update replaces the upstreams of the service. Those that remain keep their state,
// and those that are gone are closed.
func (g *group) update(p *Proxy, infos []*roster.Upstream, s route.Service, share float64) {
	g.mu.Lock()
	next := make([]*upstream, 0, len(infos))
	for _, info := range infos {
		u := g.find(info)
		if u == nil {
			u = newUpstream(p, g, info)
		}
		u.replica.SetCold(info.ColdUntil)
		next = append(next, u)
	}
	var gone []*upstream
	for _, u := range g.upstreams {
		if !slices.Contains(next, u) {
			gone = append(gone, u)
		}
	}
	g.upstreams = next
	g.mu.Unlock()
	g.setUpstreamLimits(s, share)
	for _, u := range gone {
		u.close()
		if !slices.ContainsFunc(next, func(o *upstream) bool { return o.stated == u.stated }) {
			p.stated.Remove(processKey(u.info), time.Now())
		}
	}
	g.queue.wakeAll()
}

// find returns the known upstream for a roster entry, or nil. A process that has
// restarted under its old ID is a new upstream, since nothing learned about the
// old process applies to it. The caller must hold g.mu.
func (g *group) find(info *roster.Upstream) *upstream {
	for _, u := range g.upstreams {
		if u.info.ID == info.ID && u.info.Address == info.Address && u.info.StartMs == info.StartMs && u.info.Region == info.Region {
			return u
		}
	}
	return nil
}
