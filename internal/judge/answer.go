package judge

import "slices"

// checkTwice checks TWICE: a request that isn't idempotent runs once at most.
func checkTwice(r *run, c *Check) {
	for _, q := range r.order {
		if rt := r.route(q); rt == nil || rt.Idempotent {
			continue
		}
		c.Cases++
		if runs := q.runs(); len(runs) > 1 {
			c.add(runs[1].run, "%s ran %d times", q.send.Request, len(runs))
		}
	}
}

// refusals are the statuses that promise that a request hasn't run and never will.
var refusals = []int{408, 421, 429, 503}

// checkRefused checks REFUSED: a request that isn't idempotent and was answered with a status
// that promises that it never runs has not run, and doesn't run later.
func checkRefused(r *run, c *Check) {
	for _, q := range r.order {
		rt := r.route(q)
		if rt == nil || rt.Idempotent || q.answer == nil || !slices.Contains(refusals, q.answer.Status) {
			continue
		}
		c.Cases++
		if runs := q.runs(); len(runs) > 0 {
			c.add(runs[0].run, "%s was answered %d and ran", q.send.Request, q.answer.Status)
		}
	}
}

// checkMixed checks MIXED: a success has the stamp and the whole body of an upstream's success
// to that request, and a failure with a stamp has the upstream's status. A gathered answer has
// the stamps of successes to it, at most one of each service; its parts and the missing ones
// are the services of a configuration, and it has the share that the route asks for.
func checkMixed(r *run, c *Check) {
	for _, q := range r.order {
		if q.answer == nil || q.answer.Status == 0 {
			continue
		}
		c.Cases++
		success := q.answer.Status/100 == 2
		switch rt := r.route(q); {
		case success && rt != nil && rt.Gather:
			r.checkGathered(q, c)
		case success && q.answer.Stamp == "":
			c.add(q.answer, "%s got a success without a stamp", q.send.Request)
		case q.answer.Stamp != "":
			checkStamped(q, c)
		}
	}
}

// checkStamped checks an answer with one upstream's stamp.
func checkStamped(q *request, c *Check) {
	reply := q.stamped(q.answer.Stamp)
	switch {
	case reply == nil:
		c.add(q.answer, "%s got an answer with stamp %s, which isn't of a reply to it", q.send.Request, q.answer.Stamp)
	case reply.Status != q.answer.Status:
		c.add(q.answer, "%s got status %d of a reply with %d", q.send.Request, q.answer.Status, reply.Status)
	case reply.Sum != q.answer.Sum && reply.Status/100 == 2:
		c.add(q.answer, "%s got another body than that of the reply", q.send.Request)
	}
}

// stamped returns the reply to the request that has a stamp, or nil.
func (q *request) stamped(stamp string) *Entry {
	for _, a := range q.arrivals {
		if a.reply != nil && a.reply.Stamp == stamp {
			return a.reply
		}
	}
	return nil
}

// checkGathered checks a gathered answer.
func (r *run) checkGathered(q *request, c *Check) {
	var services []string
	for _, stamp := range q.answer.Parts {
		reply := q.stamped(stamp)
		if reply == nil || reply.Status/100 != 2 {
			c.add(q.answer, "%s got a part with stamp %s, which isn't of a success to it", q.send.Request, stamp)
			return
		}
		if slices.Contains(services, reply.Service) {
			c.add(q.answer, "%s got two parts of %s", q.send.Request, reply.Service)
			return
		}
		services = append(services, reply.Service)
	}
	for _, cfg := range r.configs {
		rt := match(cfg, q.send.Host, q.send.Path)
		if rt == nil || cfg.Sent > q.answer.At || len(services)+q.answer.Missing != len(rt.Services) {
			continue
		}
		if containsAll(rt.Services, services) && float64(len(services)) >= rt.MinRatio*float64(len(rt.Services)) {
			return
		}
	}
	c.add(q.answer, "%s got parts of %q and %d missing, which no configuration allows", q.send.Request, services, q.answer.Missing)
}

func containsAll(all, some []string) bool {
	for _, s := range some {
		if !slices.Contains(all, s) {
			return false
		}
	}
	return true
}

// checkUnasked checks UNASKED: upstreams run only what a caller has sent, with its method,
// path and body.
func checkUnasked(r *run, c *Check) {
	for _, a := range r.unknown {
		if a.run != nil {
			c.Cases++
			c.add(a.run, "%s ran on %s, and no caller has sent it", a.arrive.Request, a.arrive.Upstream)
		}
	}
	for _, q := range r.order {
		for _, a := range q.runs() {
			c.Cases++
			if e := a.arrive; e.Method != q.send.Method || e.Path != q.send.Path || e.Sum != q.send.Sum {
				c.add(a.run, "%s ran as %s %s with body %q, and was sent as %s %s with body %q", e.Request, e.Method, e.Path, e.Sum, q.send.Method, q.send.Path, q.send.Sum)
			}
		}
	}
}
