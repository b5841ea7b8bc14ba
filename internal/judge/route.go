package judge

import "slices"

// checkRoute checks ROUTE: no service runs a request that no configuration sent so far allows
// it.
func checkRoute(r *run, c *Check) {
	for _, q := range r.order {
		for _, a := range q.runs() {
			c.Cases++
			if !r.allowed(q, a.arrive.Service, 0, a.run.At) {
				c.add(a.run, "%s %s ran on %s, a service to which no configuration has sent it", q.send.Request, q.send.Path, a.arrive.Service)
			}
		}
	}
}

// allowed reports whether a service may run a request by one of the configurations from a
// version on that were sent before a time.
func (r *run) allowed(q *request, service string, version int, until float64) bool {
	for _, cfg := range r.configs {
		if cfg.Config < version || cfg.Sent > until {
			continue
		}
		if rt := match(cfg, q.send.Host, q.send.Path); rt != nil && slices.Contains(rt.Services, service) {
			return true
		}
	}
	return false
}

const statusNotFound = 404

// checkConfig checks CONFIG: a request that was sent later than ConfigApply after the store
// has acknowledged a version isn't handled as only an older one allows, by daemons in touch:
// run by a service of the older one, or refused although the newer ones have a route.
func checkConfig(r *run, c *Check) {
	for _, q := range r.order {
		version := r.versionInForce(q.send.At)
		if version == 0 {
			continue
		}
		for _, a := range q.runs() {
			if !r.inTouch(a.arrive.Daemon, q.send.At, a.run.At) {
				continue
			}
			c.Cases++
			if !r.allowed(q, a.arrive.Service, version, a.run.At) && r.allowed(q, a.arrive.Service, 0, a.run.At) {
				c.add(a.run, "%s %s ran on %s, which no version from %d on allows", q.send.Request, q.send.Path, a.arrive.Service, version)
			}
		}
		if q.answer == nil || q.answer.Status != statusNotFound || q.answer.Stamp != "" || !r.inTouch(q.send.Daemon, q.send.At, q.answer.At) {
			continue
		}
		c.Cases++
		if r.alwaysRouted(q, version) {
			c.add(q.answer, "%s %s got %d, and all versions from %d on have its route", q.send.Request, q.send.Path, statusNotFound, version)
		}
	}
}

// versionInForce returns the newest version that the store had acknowledged ConfigApply before
// a time, or 0.
func (r *run) versionInForce(at float64) int {
	version := 0
	for _, cfg := range r.configs {
		if cfg.At+r.ConfigApply < at {
			version = max(version, cfg.Config)
		}
	}
	return version
}

// alwaysRouted reports whether all versions from one on, sent before the answer, have a route
// for the request.
func (r *run) alwaysRouted(q *request, version int) bool {
	for _, cfg := range r.configs {
		if cfg.Config >= version && cfg.Sent <= q.answer.At && match(cfg, q.send.Host, q.send.Path) == nil {
			return false
		}
	}
	return true
}

// checkConfigBack checks CONFIG by steps back: once an upstream has run a request as only a
// version and later ones allow, no request sent RollbackSlack later to the same start of the
// daemon runs as only older ones allow.
func checkConfigBack(r *run, c *Check) {
	type sight struct {
		at      float64
		version int
	}
	seen := make(map[string][]sight) // by daemon, since its start
	for _, e := range r.entries {
		if e.Kind == KindStart {
			delete(seen, e.Daemon)
		}
		if e.Kind != KindRun {
			continue
		}
		q := r.requests[e.Request]
		a := q.arrivalOf(e)
		if a == nil {
			continue
		}
		newest := 0
		for _, s := range seen[a.arrive.Daemon] {
			if s.at+r.RollbackSlack < q.send.At {
				newest = max(newest, s.version)
			}
		}
		if newest > 0 {
			c.Cases++
			if !r.allowed(q, a.arrive.Service, newest, e.At) && r.allowed(q, a.arrive.Service, 0, e.At) {
				c.add(e, "%s %s ran on %s, as no version from %d on allows, which %s had shown before", e.Request, q.send.Path, a.arrive.Service, newest, a.arrive.Daemon)
			}
		}
		if v := r.oldestAllowing(q, a.arrive.Service, e.At); v > 0 {
			seen[a.arrive.Daemon] = append(seen[a.arrive.Daemon], sight{at: e.At, version: v})
		}
	}
}

// arrivalOf returns the arrival that an entry of KindRun is about, or nil.
func (q *request) arrivalOf(e *Entry) *arrival {
	if q == nil {
		return nil
	}
	for _, a := range q.arrivals {
		if a.run == e {
			return a
		}
	}
	return nil
}

// oldestAllowing returns the oldest version sent before a time by which a service may run a
// request, or 0.
func (r *run) oldestAllowing(q *request, service string, until float64) int {
	oldest := 0
	for _, cfg := range r.configs {
		if cfg.Sent > until || oldest > 0 && cfg.Config >= oldest {
			continue
		}
		if rt := match(cfg, q.send.Host, q.send.Path); rt != nil && slices.Contains(rt.Services, service) {
			oldest = cfg.Config
		}
	}
	return oldest
}

// checkConfigTimeout checks CONFIG by a route's timeout: of the requests that last longer, fewer
// than eight, or at most a quarter, have no final answer half a second after it, from daemons in
// touch.
func checkConfigTimeout(r *run, c *Check) {
	const (
		slack   = 500 // ms
		allowed = 7
		share   = 0.25
	)
	var late []*request
	for _, q := range r.order {
		rt := r.route(q)
		if rt == nil || rt.Timeout <= 0 || q.answer == nil || q.answer.At < q.send.At+rt.Timeout || !r.inTouch(q.send.Daemon, q.send.At, q.answer.At) {
			continue
		}
		c.Cases++
		if q.answer.At > q.send.At+rt.Timeout+slack {
			late = append(late, q)
		}
	}
	if !exceeds(len(late), allowed, share, c.Cases) {
		return
	}
	for _, q := range late {
		c.add(q.answer, "%s had no answer until %.0f ms after it was sent", q.send.Request, q.answer.At-q.send.At)
	}
}
