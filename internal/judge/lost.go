package judge

import (
	"cmp"
	"math"
)

// checkLostStop checks LOST around SIGTERM: until 1 s after the grace period, a stopping
// daemon ends no connection without a complete answer once it has passed the request on, nor
// later than LossSlack after it has read it. Excused are requests whose upstream broke off,
// whose time was over, or at which the upstream was still at work in the last sixth of the
// grace period, if they were sent no later than 3 s after SIGTERM.
func checkLostStop(r *run, c *Check) {
	const lateSend = 3000 // ms after SIGTERM
	for _, s := range r.signals("TERM") {
		grace := cmp.Or(s.Grace, r.Grace)
		end := s.At + grace + 1000
		for _, q := range r.order {
			if q.answer == nil || q.send.Daemon != s.Daemon || q.answer.At < s.At || q.send.At > end || !r.calm(q.send.At, q.answer.At) {
				continue
			}
			c.Cases++
			if q.answer.At > end || !r.isCut(q) {
				continue
			}
			if q.send.At <= s.At+lateSend && q.atWork(s.At+grace*5/6) {
				continue
			}
			c.add(q.answer, "%s to %s, sent %.0f ms after SIGTERM, passed on %d times, has no whole answer after %.0f ms", q.send.Request, s.Daemon, q.send.At-s.At, len(q.arrivals), q.answer.At-q.send.At)
		}
	}
}

// checkLostReload checks LOST around SIGHUP: the same for requests that were sent up to
// ConfigApply after it, and cut after it. A stop since then is a case of its own.
func checkLostReload(r *run, c *Check) {
	for _, s := range r.signals("HUP") {
		for _, q := range r.order {
			if q.answer == nil || q.send.Daemon != s.Daemon || q.answer.At < s.At || q.send.At > s.At+r.ConfigApply || r.interrupted(s.Daemon, s.At, q.answer.At) || !r.calm(q.send.At, q.answer.At) {
				continue
			}
			c.Cases++
			if r.isCut(q) {
				c.add(q.answer, "%s to %s, sent %.0f ms after SIGHUP, has no whole answer after %.0f ms", q.send.Request, s.Daemon, q.send.At-s.At, q.answer.At-q.send.At)
			}
		}
	}
}

// checkLostConfig checks LOST beside a configuration, from its sending until ConfigApply and
// 1 s after its acknowledgement: a daemon cuts no larger share of its requests then than three
// times that of other times. Requests that have used seven tenths of their time don't count.
func checkLostConfig(r *run, c *Check) {
	type counts struct {
		cut      []*request
		requests int
	}
	beside, other := make(map[string]*counts), make(map[string]*counts)
	for _, q := range r.order {
		if q.answer == nil || !r.calm(q.send.At, q.answer.At) || r.interrupted(q.send.Daemon, q.send.At, q.answer.At) {
			continue
		}
		by := other
		if r.besideConfig(q) {
			by = beside
			c.Cases++
		}
		n := by[q.send.Daemon]
		if n == nil {
			n = &counts{}
			by[q.send.Daemon] = n
		}
		n.requests++
		if r.isCut(q) && (q.send.Left <= 0 || q.answer.At-q.send.At < 0.7*q.send.Left) {
			n.cut = append(n.cut, q)
		}
	}
	for daemon, b := range beside {
		usual := 0.0
		if o := other[daemon]; o != nil {
			usual = float64(len(o.cut)) / float64(o.requests)
		}
		if float64(len(b.cut)) <= 3*usual*float64(b.requests) {
			continue
		}
		for _, q := range b.cut {
			c.add(q.answer, "%s to %s has no whole answer beside a configuration, after %.0f ms", q.send.Request, daemon, q.answer.At-q.send.At)
		}
	}
}

// besideConfig reports whether a request ended while a configuration was put in force.
func (r *run) besideConfig(q *request) bool {
	for _, cfg := range r.configs {
		if q.answer.At >= cfg.Sent && q.answer.At <= cfg.At+r.ConfigApply+1000 {
			return true
		}
	}
	return false
}

// checkLostKept checks LOST at any time: a daemon in touch closes kept connections without an
// answer at most three times after it has passed their request on to a sound upstream.
func checkLostKept(r *run, c *Check) {
	const allowed = 3
	var cut []*request
	for _, q := range r.order {
		if !q.send.Kept || q.answer == nil || !r.inTouch(q.send.Daemon, q.send.At, q.answer.At) {
			continue
		}
		c.Cases++
		if len(q.arrivals) > 0 && r.isCut(q) && r.soundUpstreams(q) {
			cut = append(cut, q)
		}
	}
	if len(cut) <= allowed {
		return
	}
	for _, q := range cut {
		c.add(q.answer, "%s on a kept connection to %s has no answer after %.0f ms", q.send.Request, q.send.Daemon, q.answer.At-q.send.At)
	}
}

// signals returns the entries about a signal.
func (r *run) signals(name string) []*Entry {
	var out []*Entry
	for _, e := range r.entries {
		if e.Kind == KindSignal && e.Signal == name {
			out = append(out, e)
		}
	}
	return out
}

// isCut reports whether the connection has ended without a whole answer although the daemon
// had passed the request on, or had LossSlack to do so, and neither the upstream nor the time
// is the reason.
func (r *run) isCut(q *request) bool {
	if !q.lost() || r.timedOut(q) || brokeOff(q) {
		return false
	}
	return len(q.arrivals) > 0 || q.answer.At > q.send.At+r.LossSlack
}

// timedOut reports whether the caller's time or that of the route was over when the
// connection ended.
func (r *run) timedOut(q *request) bool {
	took := q.answer.At - q.send.At
	if q.send.Left > 0 && took >= q.send.Left {
		return true
	}
	rt := r.route(q)
	return rt != nil && rt.Timeout > 0 && took >= rt.Timeout
}

// brokeOff reports whether an upstream has broken off its reply before the connection ended.
func brokeOff(q *request) bool {
	for _, a := range q.arrivals {
		if a.reply != nil && a.reply.Status == 0 && !a.reply.Canceled && a.reply.At <= q.answer.At {
			return true
		}
	}
	return false
}

// atWork reports whether an upstream was still at work on the request at a time, or would have
// been if its connection hadn't been closed.
func (q *request) atWork(at float64) bool {
	for _, a := range q.runs() {
		if a.worksUntil() >= at {
			return true
		}
	}
	return false
}

// worksUntil returns until when an upstream works on a request that runs, or would work if
// its connection weren't closed.
func (a *arrival) worksUntil() float64 {
	switch {
	case a.reply != nil && !a.reply.Canceled:
		return a.reply.At
	case a.run.Work > 0:
		return a.run.At + a.run.Work
	}
	return math.Inf(1)
}

// soundUpstreams reports whether no upstream that the request was passed on to was disrupted.
func (r *run) soundUpstreams(q *request) bool {
	for _, a := range q.arrivals {
		if r.disrupted(a.arrive.Upstream, q.send.At, q.answer.At) {
			return false
		}
	}
	return true
}
