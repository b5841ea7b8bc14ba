package limit

import (
	"slices"
	"sync"
	"time"
)

// A RateLimiter limits the requests that are sent within any second. A request
// counts from its admission until a second after it was sent. If it counted for
// a second from its admission only, others would be admitted while it waits for
// its connection, and would reach the upstream together with it. The zero value
// admits none; call Set to configure it. It is safe for concurrent use.
type RateLimiter struct {
	mu        sync.Mutex
	perSecond float64 // this daemon's share of the limit in requests; negative for no limit
	ramp      RampUp
	pending   int         // requests admitted that may not have been sent yet
	sent      []time.Time // send times within the last second, oldest first
}

// Set changes this daemon's share of the limit, in requests within any second, of
// which it uses what ramp allows. A negative value sets no limit.
func (r *RateLimiter) Set(perSecond float64, ramp RampUp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perSecond = perSecond
	r.ramp = ramp
}

// Take reports whether a request is admitted. If so, Done must be called for it
// once.
func (r *RateLimiter) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.available(now) {
		return false
	}
	r.pending++
	return true
}

// Done records when an admitted request was sent. The zero time means that it
// was not sent.
func (r *RateLimiter) Done(sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if sent.IsZero() {
		return
	}
	i, _ := slices.BinarySearchFunc(r.sent, sent, time.Time.Compare)
	r.sent = slices.Insert(r.sent, i, sent)
}

// Available reports whether Take would admit a request now.
func (r *RateLimiter) Available(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.available(now)
}

// Wait returns how long it takes until Available may report true; 0 if it does so
// now. Requests that were admitted and not sent yet are not waited for.
func (r *RateLimiter) Wait(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.available(now) || len(r.sent) == 0 {
		return 0
	}
	return max(time.Second-now.Sub(r.sent[0]), time.Millisecond)
}

func (r *RateLimiter) available(now time.Time) bool {
	for len(r.sent) > 0 && now.Sub(r.sent[0]) > time.Second {
		r.sent = r.sent[1:]
	}
	return r.perSecond < 0 || float64(r.pending+len(r.sent)+1) <= r.ramp.Fraction(time.Second, now)*r.perSecond
}
