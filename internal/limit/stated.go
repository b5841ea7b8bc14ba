package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// statedBurst is how long an unused part of a stated rate can be used later. It
	// bounds the burst of a fleet of which no process has sent for a while.
	statedBurst = time.Second
	// minStatedRate is the lowest rate in requests per second that is used for a
	// limit: without any request the end of the limit would go unnoticed.
	minStatedRate = 0.5
	// maxStatedInterval bounds the time between two requests of one process.
	maxStatedInterval = time.Hour
)

// A StatedRate limits the requests to an upstream that says in its replies how many
// per second it takes from all processes together. Each process keeps to its share of
// that rate. A share may be far below one request per second. So that processes which
// have not sent for long do not all send at once, each has slots at equal intervals,
// which begin at a random time, and a slot expires statedBurst after it began.
//
// The zero value is an upstream that states no limit. Call SetShare before a limit is
// observed. It is safe for concurrent use.
type StatedRate struct {
	// Phase returns where in the time between two slots the first one begins, from 0
	// to 1. It is rand.Float64 if nil.
	Phase func() float64

	mu        sync.Mutex
	limited   bool
	perSecond float64   // of all processes; 0 if not limited
	statedAt  time.Time // when the latest reply that states a limit came; zero if none did
	share     float64   // of this process, from 0 to 1
	ramp      RampUp
	next      time.Time // start of the first unused slot; only if limited
}

// SetShare sets the share of a limit that this process has, of which it uses what ramp
// allows.
func (r *StatedRate) SetShare(share float64, ramp RampUp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = share
	r.ramp = ramp
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
	first := !r.limited
	r.limited = true
	r.perSecond = perSecond
	if first {
		r.next = now.Add(time.Duration(r.phase() * float64(r.interval(now))))
	}
	return true
}

func (r *StatedRate) phase() float64 {
	if r.Phase != nil {
		return r.Phase()
	}
	return rand.Float64()
}

// interval returns the time between two slots, above 0. The mutex is held.
func (r *StatedRate) interval(now time.Time) time.Duration {
	rate := max(r.perSecond, minStatedRate) * r.share * r.ramp.Fraction(time.Second, now)
	if rate <= 1/maxStatedInterval.Seconds() {
		return maxStatedInterval
	}
	return max(time.Duration(float64(time.Second)/rate), 1)
}

// update skips expired slots, and returns the time between two slots. The mutex is
// held.
func (r *StatedRate) update(now time.Time) time.Duration {
	interval := r.interval(now)
	if expired := now.Add(-statedBurst).Sub(r.next); expired > 0 {
		r.next = r.next.Add((expired/interval + 1) * interval)
	}
	// The rate may have risen since the last slot was used.
	if latest := now.Add(interval); r.next.After(latest) {
		r.next = latest
	}
	return interval
}

// Take reports whether a request may be sent now, and whether it uses a slot, which
// Return gives back.
func (r *StatedRate) Take(now time.Time) (ok, limited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return true, false
	}
	interval := r.update(now)
	if r.next.After(now) {
		return false, true
	}
	r.next = r.next.Add(interval)
	return true, true
}

// Return gives back a slot whose request was not sent.
func (r *StatedRate) Return(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limited {
		r.next = r.next.Add(-r.update(now))
	}
}

// Limited reports whether the upstream states a limit.
func (r *StatedRate) Limited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limited
}

// Wait returns how long it takes until Take allows a request; 0 if it does so now.
func (r *StatedRate) Wait(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return 0
	}
	r.update(now)
	return max(r.next.Sub(now), 0)
}

// Interval returns the time between two requests at this process's part of the limit;
// 0 if there is none.
func (r *StatedRate) Interval(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.limited {
		return 0
	}
	return r.interval(now)
}
