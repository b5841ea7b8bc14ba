package judge

// checkEvac checks EVAC: no request reaches an upstream in a failure domain later than
// Evacuate after the store has acknowledged the domain's evacuation, from a daemon in touch,
// until it is taken back. Those that the upstream rejects as sent to another one don't count.
func checkEvac(r *run, c *Check) {
	for _, q := range r.order {
		for _, a := range q.arrivals {
			e := a.arrive
			evacuated := r.evacuatedAt(e.Zone, e.At)
			if evacuated == nil || !r.inTouch(e.Daemon, q.send.At, e.At) || a.reply != nil && a.reply.Status == statusMisdirected {
				continue
			}
			c.Cases++
			if e.At > evacuated.At+r.Evacuate {
				c.add(e, "%s reached %s in %s %.0f ms after its evacuation was acknowledged", e.Request, e.Upstream, e.Zone, e.At-evacuated.At)
			}
		}
	}
}

// evacuatedAt returns the entry by which a failure domain was evacuated without a break until a
// time, or nil.
func (r *run) evacuatedAt(zone string, at float64) *Entry {
	return outSince(r.zones, at, func(e *Entry) bool { return e.Zone == zone }, func(e *Entry) bool {
		return e.State == StateEvacuated
	})
}
