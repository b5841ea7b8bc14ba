package limit

import (
	"sync"
	"time"
)

// A StatedRate is the rate of requests that an upstream says in its replies that it
// takes from all processes together. The zero value is an upstream that states none.
// It is safe for concurrent use.
type StatedRate struct {
	mu        sync.Mutex
	limited   bool
	perSecond float64   // of all processes; 0 if not limited
	statedAt  time.Time // when the latest reply that states a limit came; zero if none did
}

// Observe records a reply that states the limit perSecond, or none if limited is
// false. sent is when its request was sent, now when the reply came. A reply
// without a limit ends one only if its request was sent after the limit was last
// stated: before, the reply may have been overtaken. Observe reports whether the
// limit has changed.
func (r *StatedRate) Observe(limited bool, perSecond float64, sent, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !limited {
		if !r.limited || !sent.After(r.statedAt) {
			return false
		}
		r.limited = false
		r.perSecond = 0
		return true
	}
	r.statedAt = now
	if r.limited && r.perSecond == perSecond {
		return false
	}
	r.limited = true
	r.perSecond = perSecond
	return true
}
