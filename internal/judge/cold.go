package judge

// checkFailback checks FAILBACK: in no second gets a cold upstream more requests than its cold
// limit, from all daemons together, in touch or not. Counted are requests that were sent and
// arrived inside that second; not those that it rejects as sent to another one.
func checkFailback(r *run, c *Check) {
	const second = 1000 // ms
	for _, s := range r.states {
		if s.Cold <= 0 {
			continue
		}
		var got []*arrival
		for _, q := range r.order {
			for _, a := range q.arrivals {
				e := a.arrive
				if e.Upstream == s.Upstream && e.At >= s.At && e.At < s.At+s.Cold && (a.reply == nil || a.reply.Status != statusMisdirected) {
					got = append(got, a)
				}
			}
		}
		c.Cases += len(got)
		for _, last := range got {
			n := 0
			for _, a := range got {
				e := a.arrive
				if e.At <= last.arrive.At && e.At > last.arrive.At-second && r.requests[e.Request].send.At > last.arrive.At-second {
					n++
				}
			}
			if float64(n) > s.ColdLimit {
				c.add(last.arrive, "%s is request %d to %s in a second, which is cold and may get %.1f", last.arrive.Request, n, s.Upstream, s.ColdLimit)
			}
		}
	}
}
