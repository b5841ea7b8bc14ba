package proxy

import "time"

// An admission is the permission to send one request to an upstream under its rate
// limits. done must be called for it once.
type admission struct {
	upstream *upstream
	cold     bool // it counts against the rate of a cold upstream
	stated   bool // it uses a slot of the rate that the upstream states
}

// admit admits a request to the upstream, or reports false if its rate limits allow
// none now.
func (u *upstream) admit(now time.Time) (admission, bool) {
	a := admission{upstream: u}
	ok, limited := u.rate.Take(now)
	if !ok {
		return admission{}, false
	}
	a.stated = limited
	if !u.replica.Cold(now) {
		return a, true
	}
	if !u.coldRate.Take(now) {
		a.done(time.Time{})
		return admission{}, false
	}
	a.cold = true
	return a, true
}

// done records when the request was sent. The zero time means that it was not sent.
func (a admission) done(sent time.Time) {
	if a.cold {
		a.upstream.coldRate.Done(sent)
	}
	if a.stated && sent.IsZero() {
		a.upstream.rate.Return(time.Now())
	}
}

// admits reports whether admit would admit a request now.
func (u *upstream) admits(now time.Time) bool {
	return u.rate.Wait(now) == 0 && (!u.replica.Cold(now) || u.coldRate.Available(now))
}

// admissionWait returns how long the upstream's rate limits allow no request; 0 if
// they allow one now.
func (u *upstream) admissionWait(now time.Time) time.Duration {
	wait := u.rate.Wait(now)
	if u.replica.Cold(now) {
		wait = max(wait, u.coldRate.Wait(now))
	}
	return wait
}

// wakeWhenAdmitted wakes a waiting request once the rate limits of an upstream that
// may serve it allow one more.
func (g *group) wakeWhenAdmitted(p *Proxy, c *criteria, now time.Time) {
	var first time.Duration
	for _, u := range g.list() {
		if !p.usable(u, c) {
			continue
		}
		if wait := u.admissionWait(now); wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
	}
	if first == 0 {
		return
	}
	at := now.Add(first)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.wakeAt) && !at.Before(g.wakeAt) {
		return
	}
	g.wakeAt = at
	time.AfterFunc(first, g.queue.wake)
}

// rateLimitWait returns how long a request of the priority has to wait in the queue
// because all upstreams that may serve it state a rate limit. It is 0 if one does not.
func (p *Proxy) rateLimitWait(g *group, c *criteria, now time.Time) time.Duration {
	perSecond := 0.0
	first := time.Duration(-1)
	for _, u := range g.list() {
		if !p.usable(u, c) {
			continue
		}
		interval := u.rate.Interval(now)
		if interval == 0 {
			return 0
		}
		perSecond += float64(time.Second) / float64(interval)
		if wait := u.rate.Wait(now); first < 0 || wait < first {
			first = wait
		}
	}
	if first < 0 {
		return 0
	}
	ahead := g.queue.ahead(c.request.Route.Priority)
	return first + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}
