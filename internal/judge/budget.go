package judge

import (
	"slices"
	"sort"
)

// checkBudgetPause checks BUDGET by Retry-After: at most two requests reach an upstream from a
// daemon between half a second after it has rejected one with a pause and the end of that
// pause. A restart, freeze or cut of the daemon excuses it.
func checkBudgetPause(r *run, c *Check) {
	const (
		allowed = 2
		notice  = 500 // ms until the daemon goes by the pause
	)
	arrivals := make(map[daemonUpstream][]*Entry)
	for _, e := range r.entries {
		if e.Kind == KindArrive {
			p := daemonUpstream{e.Daemon, e.Upstream}
			arrivals[p] = append(arrivals[p], e)
		}
	}
	for _, a := range r.allArrivals() {
		if a.reply == nil || a.reply.Status != statusUnavailable || a.reply.Pause <= 0 {
			continue
		}
		c.Cases++
		from, to := a.reply.At+notice, a.reply.At+a.reply.Pause
		n := 0
		for _, e := range arrivals[daemonUpstream{a.arrive.Daemon, a.arrive.Upstream}] {
			if e.At < from || e.At >= to || r.interrupted(e.Daemon, a.reply.At, e.At) {
				continue
			}
			if n++; n == allowed+1 {
				c.add(e, "%s is request %d from %s to %s in a pause of %.0f ms that began %.0f ms before", e.Request, n, e.Daemon, e.Upstream, a.reply.Pause, e.At-a.reply.At)
			}
		}
	}
}

const statusUnavailable = 503

// allArrivals returns the arrivals of all requests.
func (r *run) allArrivals() []*arrival {
	out := slices.Clone(r.unknown)
	for _, q := range r.order {
		out = append(out, q.arrivals...)
	}
	return out
}

// checkBudgetAttempts checks BUDGET by a route's attempts: at most three requests run on more
// upstreams of a service than the route allows. Upstreams that were disrupted meanwhile don't
// count.
func checkBudgetAttempts(r *run, c *Check) {
	const allowed = 3
	var over []*Entry
	for _, q := range r.order {
		rt := r.route(q)
		if rt == nil || rt.Attempts <= 0 {
			continue
		}
		c.Cases++
		ran := make(map[string][]string) // upstreams by service
		for _, a := range q.runs() {
			e := a.arrive
			if !slices.Contains(ran[e.Service], e.Upstream) && !r.disrupted(e.Upstream, q.send.At, a.run.At) {
				ran[e.Service] = append(ran[e.Service], e.Upstream)
			}
			if len(ran[e.Service]) == rt.Attempts+1 {
				over = append(over, a.run)
			}
		}
	}
	if len(over) <= allowed {
		return
	}
	for _, e := range over {
		c.add(e, "%s ran on more upstreams than its route's attempts", e.Request)
	}
}

// checkBudgetExtra checks BUDGET by repeats: in no window has a service more arrivals beyond
// the first of each request than BudgetRatio for each request for it, and BudgetSlack on top.
// The requests are those of that window, of the one before it or of the one half a window
// before it, whichever has most.
func checkBudgetExtra(r *run, c *Check) {
	requests := make(map[string][]float64) // when requests for a service were sent
	extra := make(map[string][]*Entry)     // arrivals beyond the first of each request
	for _, q := range r.order {
		rt := r.route(q)
		if rt == nil {
			continue
		}
		for _, s := range rt.Services {
			requests[s] = append(requests[s], q.send.At)
		}
		seen := make(map[string]bool)
		for _, a := range q.arrivals {
			if s := a.arrive.Service; seen[s] {
				extra[s] = append(extra[s], a.arrive)
			} else {
				seen[s] = true
			}
		}
	}
	for service, entries := range extra {
		slices.SortFunc(entries, func(a, b *Entry) int { return a.line - b.line })
		first := 0
		for i, e := range entries {
			c.Cases++
			for entries[first].At <= e.At-r.BudgetWindow {
				first++
			}
			n := max(
				countWithin(requests[service], e.At-r.BudgetWindow, e.At),
				countWithin(requests[service], e.At-1.5*r.BudgetWindow, e.At-0.5*r.BudgetWindow),
				countWithin(requests[service], e.At-2*r.BudgetWindow, e.At-r.BudgetWindow))
			if limit := r.BudgetRatio*float64(n) + r.BudgetSlack; float64(i-first+1) > limit {
				c.add(e, "%s is repeat %d to %s in %.0f ms, of %.1f allowed by %d requests", e.Request, i-first+1, service, r.BudgetWindow, limit, n)
			}
		}
	}
}

// countWithin returns how many of the sorted times are after begin and not after end.
func countWithin(times []float64, begin, end float64) int {
	after := func(t float64) int { return sort.Search(len(times), func(i int) bool { return times[i] > t }) }
	return after(end) - after(begin)
}

// checkBudgetTime checks BUDGET by the time that upstreams are handed by daemons in touch: at
// most 20 requests, or a fifth of them, are handed none, or over half a second more than the
// caller still waits; or, sent once more over half a second later, an end that is over half a
// second after that of the first and of the caller.
func checkBudgetTime(r *run, c *Check) {
	const (
		slack   = 500 // ms
		allowed = 20
		share   = 0.2
	)
	var over []*Entry
	for _, q := range r.order {
		if q.send.Left <= 0 {
			continue
		}
		for i, a := range q.arrivals {
			e := a.arrive
			if !r.inTouch(e.Daemon, q.send.At, e.At) {
				continue
			}
			c.Cases++
			first := q.arrivals[0].arrive
			end := max(first.At+first.Left, q.send.At+q.send.Left) + slack
			if e.Left <= 0 || e.Left > q.send.Left+slack || i > 0 && e.At > first.At+slack && e.At+e.Left > end {
				over = append(over, e)
			}
		}
	}
	if !exceeds(len(over), allowed, share, c.Cases) {
		return
	}
	for _, e := range over {
		c.add(e, "%s was handed to %s with %.0f ms", e.Request, e.Upstream, e.Left)
	}
}

// exceeds reports whether n of the cases are more than a number and more than a share of them.
func exceeds(n, allowed int, share float64, cases int) bool {
	return n > allowed && float64(n) > share*float64(cases)
}
