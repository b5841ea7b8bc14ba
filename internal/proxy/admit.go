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
	if u.stated.PauseWait(now) > 0 {
		return admission{}, false
	}
	ok, limited := u.stated.Rate.Take(now)
	if !ok {
		return admission{}, false
	}
	a.stated = limited
	if !u.replica.Cold(now) {
		return a, true
	}
	if !u.stated.Cold.Take(now) {
		a.done(time.Time{})
		return admission{}, false
	}
	a.cold = true
	return a, true
}

// done records when the request was sent. The zero time means that it was not sent.
func (a admission) done(sent time.Time) {
	if a.cold {
		a.upstream.stated.Cold.Done(sent)
	}
	if a.stated && sent.IsZero() {
		a.upstream.stated.Rate.Return(time.Now())
	}
}

// admits reports whether admit would admit a request now.
func (u *upstream) admits(now time.Time) bool {
	return u.stated.PauseWait(now) == 0 && u.stated.Rate.Wait(now) == 0 && (!u.replica.Cold(now) || u.stated.Cold.Available(now))
}

// admissionWait returns how long the upstream's rate limits, or its pause, allow no
// request; 0 if they allow one now.
func (u *upstream) admissionWait(now time.Time) time.Duration {
	wait := max(u.stated.PauseWait(now), u.stated.Rate.Wait(now))
	if u.replica.Cold(now) {
		wait = max(wait, u.stated.Cold.Wait(now))
	}
	return wait
}

// wakeWhenAdmitted wakes a waiting request once the rate limits of an upstream that
// may serve it allow one more.
func (g *group) wakeWhenAdmitted(p *Proxy, c *criteria, now time.Time) {
	var first time.Duration
	for _, u := range g.list() {
		if !p.usable(u, c, now) {
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

// pausedInterval is the time between two requests that is assumed of an upstream after its
// pause.
const pausedInterval = 10 * time.Millisecond

// rateLimitWait returns how long a request of the priority has to wait in the queue
// because all upstreams that may serve it state a rate limit or are in a pause. It is 0 if
// one is not.
func (p *Proxy) rateLimitWait(g *group, c *criteria, now time.Time) time.Duration {
	perSecond := 0.0
	first := time.Duration(-1)
	for _, u := range g.list() {
		if !p.usable(u, c, now) {
			continue
		}
		pause, interval := u.stated.PauseWait(now), u.stated.Rate.Interval(now)
		if interval == 0 && pause == 0 {
			return 0
		}
		if interval == 0 {
			interval = pausedInterval
		}
		perSecond += float64(time.Second) / float64(interval)
		if wait := max(pause, u.stated.Rate.Wait(now)); first < 0 || wait < first {
			first = wait
		}
	}
	if first < 0 {
		return 0
	}
	ahead := g.queue.ahead(c.request.Route.Priority)
	return first + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}
