package judge

// checkGone checks GONE: after a caller has closed its connection to a daemon in touch, at most
// three requests reach an upstream more than half a second later, and no more than a quarter
// of the requests that may be repeated are still worked on half a second later, of those that
// would have lasted so long.
func checkGone(r *run, c *Check) {
	const (
		notice  = 500 // ms
		allowed = 3   // requests that reach an upstream later
	)
	var late, working []*Entry
	lasting := 0
	for _, q := range r.order {
		if q.answer == nil || !q.answer.GaveUp {
			continue
		}
		end := q.answer.At + notice
		if !r.inTouch(q.send.Daemon, q.send.At, end) {
			continue
		}
		c.Cases++
		rt := r.route(q)
		for _, a := range q.arrivals {
			if a.arrive.At > end {
				late = append(late, a.arrive)
				continue
			}
			if a.run == nil || rt == nil || !rt.Idempotent || a.worksUntil() <= end {
				continue
			}
			lasting++
			if a.reply == nil || !a.reply.Canceled || a.reply.At > end {
				working = append(working, a.run)
			}
		}
	}
	if len(late) > allowed {
		for _, e := range late {
			c.add(e, "%s reached %s more than %d ms after its caller had closed the connection", e.Request, e.Upstream, notice)
		}
	}
	if 4*len(working) > lasting {
		for _, e := range working {
			c.add(e, "%s was still worked on %d ms after its caller had closed the connection", e.Request, notice)
		}
	}
}
