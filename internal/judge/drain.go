package judge

// checkDrainStore checks DRAIN by the store: no request reaches an upstream later than Drain
// after the store, while stable, has acknowledged that the upstream is draining or gone.
// Counted are requests taken and sent on by daemons in touch; not those that the upstream
// rejects as sent to another one.
func checkDrainStore(r *run, c *Check) {
	for _, q := range r.order {
		for _, a := range q.arrivals {
			e := a.arrive
			if a.reply != nil && a.reply.Status == statusMisdirected {
				continue
			}
			left := r.leftAt(e.Upstream, e.At)
			if left == nil || r.disrupted(Store, left.At, left.At) || !r.inTouch(q.send.Daemon, q.send.At, e.At) || r.disrupted(e.Upstream, e.At, e.At) {
				continue
			}
			c.Cases++
			if e.At > left.At+r.Drain {
				c.add(e, "%s reached %s %.0f ms after the store acknowledged that it is %s", e.Request, e.Upstream, e.At-left.At, left.State)
			}
		}
	}
}

// statusMisdirected is the status of a request that was meant for another upstream.
const statusMisdirected = 421

// leftAt returns the entry by which an upstream was draining or gone without a break until a
// time, or nil.
func (r *run) leftAt(upstream string, at float64) *Entry {
	return outSince(r.states, at, func(e *Entry) bool { return e.Upstream == upstream }, func(e *Entry) bool {
		return e.State == StateDraining || e.State == StateGone
	})
}

// outSince returns the first of the latest entries in a row by which the target was out until a
// time, or nil if it wasn't out then. isTarget chooses the target's entries.
func outSince(entries []*Entry, at float64, isTarget, isOut func(e *Entry) bool) *Entry {
	var first *Entry
	for _, e := range entries {
		if e.At > at || !isTarget(e) {
			continue
		}
		switch {
		case !isOut(e):
			first = nil
		case first == nil:
			first = e
		}
	}
	return first
}

// checkDrainLeaving checks DRAIN by what an upstream says: no request that its caller sent
// later than Drain after a daemon had passed on an answer that says so reaches that upstream
// from that daemon. A restart or freeze of the daemon since then excuses it.
func checkDrainLeaving(r *run, c *Check) {
	told := make(map[daemonUpstream]float64) // when the daemon had first passed it on
	for _, q := range r.order {
		for _, a := range q.arrivals {
			if a.reply == nil || !a.reply.Leaving || !passedOn(q, a) {
				continue
			}
			p := daemonUpstream{q.send.Daemon, a.arrive.Upstream}
			if at, ok := told[p]; !ok || q.answer.At < at {
				told[p] = q.answer.At
			}
		}
	}
	for _, q := range r.order {
		for _, a := range q.arrivals {
			at, ok := told[daemonUpstream{a.arrive.Daemon, a.arrive.Upstream}]
			if !ok || q.send.At < at || r.restarted(a.arrive.Daemon, at, a.arrive.At) {
				continue
			}
			c.Cases++
			if q.send.At > at+r.Drain {
				c.add(a.arrive, "%s, sent %.0f ms after %s had passed on that %s is leaving, reached it from there", q.send.Request, q.send.At-at, a.arrive.Daemon, a.arrive.Upstream)
			}
		}
	}
}

// passedOn reports whether the caller's answer is the reply of an arrival, or holds it.
func passedOn(q *request, a *arrival) bool {
	if q.answer == nil || q.answer.Status == 0 || a.reply.Stamp == "" {
		return false
	}
	for _, p := range q.answer.Parts {
		if p == a.reply.Stamp {
			return true
		}
	}
	return q.answer.Stamp == a.reply.Stamp
}
