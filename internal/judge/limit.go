package judge

import "slices"

// checkLimit checks LIMIT: from the stable window after an upstream has first named its rate,
// it gets in no 4 s more than one and a half times what that allows, and five requests, from
// all daemons together that had passed on such an answer half a second before or earlier. A
// restart, freeze or cut of a daemon excuses that daemon.
func checkLimit(r *run, c *Check) {
	const (
		window = 4000 // ms
		factor = 1.5
		slack  = 5
		notice = 500 // ms until a daemon goes by the rate
	)
	rates := r.statedRates()
	told := r.toldRates()
	counted := make(map[string][]*Entry) // by upstream
	for _, e := range r.entries {
		if e.Kind != KindArrive || len(rates[e.Upstream]) == 0 || e.At < rates[e.Upstream][0].At+r.StableWindow {
			continue
		}
		at, ok := told[daemonUpstream{e.Daemon, e.Upstream}]
		if !ok || at+notice > e.At || r.interrupted(e.Daemon, at, e.At) || e.At > rates[e.Upstream][len(rates[e.Upstream])-1].At {
			continue
		}
		c.Cases++
		n := append(counted[e.Upstream], e)
		n = slices.DeleteFunc(n, func(o *Entry) bool { return o.At <= e.At-window })
		counted[e.Upstream] = n
		if limit := factor*highestRate(rates[e.Upstream], e.At-window, e.At)*window/1000 + slack; float64(len(n)) > limit {
			c.add(e, "%s is request %d to %s in %d ms, which has named a rate that allows %.1f", e.Request, len(n), e.Upstream, window, limit)
		}
	}
}

// A daemonUpstream is a daemon and an upstream that it sends to.
type daemonUpstream struct {
	daemon, upstream string
}

// statedRates returns the replies of each upstream that name a rate.
func (r *run) statedRates() map[string][]*Entry {
	out := make(map[string][]*Entry)
	for _, e := range r.entries {
		if e.Kind == KindReply && e.Rate > 0 {
			out[e.Upstream] = append(out[e.Upstream], e)
		}
	}
	return out
}

// highestRate returns the highest rate in force between two times: it holds from one reply to
// the next.
func highestRate(replies []*Entry, from, to float64) float64 {
	highest := 0.0
	for i, e := range replies {
		if e.At > to {
			break
		}
		if i+1 < len(replies) && replies[i+1].At < from {
			continue
		}
		highest = max(highest, e.Rate)
	}
	return highest
}

// toldRates returns when each daemon has first passed on an answer with a rate.
func (r *run) toldRates() map[daemonUpstream]float64 {
	out := make(map[daemonUpstream]float64)
	for _, q := range r.order {
		for _, a := range q.arrivals {
			if a.reply == nil || a.reply.Rate <= 0 || !passedOn(q, a) {
				continue
			}
			key := daemonUpstream{a.arrive.Daemon, a.arrive.Upstream}
			if at, ok := out[key]; !ok || q.answer.At < at {
				out[key] = q.answer.At
			}
		}
	}
	return out
}
