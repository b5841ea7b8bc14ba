// Package pick chooses the replica that a request goes to. It judges replicas
// by what their own answers show, not by what they say of themselves.
package pick

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Constants of a replica's state.
const (
	slowGain = 0.3                    // weight of the newest latency
	slowHalf = 700 * time.Millisecond // a slow replica's excess halves in this time without news
	badGain  = 0.3                    // weight of the newest outcome
	badHalf  = 1500 * time.Millisecond
	// failCost is what a failed request costs: another try elsewhere while the
	// budget allows one, and the whole answer when it doesn't.
	failCost   = 200 * time.Millisecond
	slowNoise  = 2.0 // latencies below so many typical ones are normal variation
	fullTimes  = 3.0 // an answer that took so many typical latencies has queued
	limitCut   = 0.7 // of the limit is left when requests queue or are turned away
	limitLeast = 2
	limitMost  = 64
	cutEvery   = 50 * time.Millisecond // between two cuts of the limit, at least
	coldTimes  = 1.6                   // a cold replica takes so many times as long
	ageNoise   = 2.5                   // an outstanding request older than so many is a sign of slowness
)

// A Replica is what a daemon knows of one upstream's condition. It is safe for
// concurrent use.
type Replica struct {
	Slots int // requests that it works on at the same time; at least 1

	mu     sync.Mutex
	flight []time.Time // starts of the outstanding requests, oldest first
	slow   float64     // recent latency over the typical one; 0 before the first
	slowAt time.Time
	bad    float64 // recent share of failures, from 0 to 1
	badAt  time.Time
	down   bool // it can't be reached
	moved  bool // another process has its address
	cold   time.Time
	limit  float64   // requests that may be outstanding; 0 before the first answer
	cutAt  time.Time // when limit was last lowered; zero until then
	least  float64   // the limit is not lowered below
}

// Begin counts a request in, unless as many are outstanding as may be. conns
// is the number of connections to the replica, of which each holds one.
func (r *Replica) Begin(now time.Time, conns int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.flight) >= r.room(conns) {
		return false
	}
	r.flight = append(r.flight, now)
	return true
}

// End counts a request out that began at the given time.
func (r *Replica) End(begun time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.flight, begun); i >= 0 {
		r.flight = slices.Delete(r.flight, i, i+1)
	}
}

// Took takes in the latency of a request without the way to the replica, which
// takes far, and the typical latency of such requests.
func (r *Replica) Took(now time.Time, took, typical, far time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Requests on their way hold no slot: a far replica bears more of them.
	r.least = limitLeast * float64(far+typical) / float64(max(typical, time.Millisecond))
	x := float64(took) / float64(max(typical, time.Millisecond))
	if r.slow == 0 {
		r.slow = x
	} else {
		r.slow = (1-slowGain)*r.slowNow(now) + slowGain*x
	}
	r.slowAt = now
	if limit := r.limitNow(); float64(len(r.flight)+1) >= limit {
		step := 1 / limit
		if r.cutAt.IsZero() {
			step = 1
		}
		r.limit = min(limit+step, limitMost)
	}
}

// Shed takes in that the replica turned a request away.
func (r *Replica) Shed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut(now, 0)
}

// cut lowers the limit, once for all answers to requests of the same time.
func (r *Replica) cut(now time.Time, took time.Duration) {
	if now.Sub(r.cutAt) < max(took, cutEvery) {
		return
	}
	r.limit = max(limitCut*r.limitNow(), r.least, limitLeast)
	r.cutAt = now
}

func (r *Replica) limitNow() float64 {
	if r.limit == 0 {
		return float64(max(r.Slots, limitLeast))
	}
	return r.limit
}

// Free reports whether another request may be outstanding: more than the
// replica works off in good time would only queue there.
func (r *Replica) Free(conns int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flight) < r.room(conns)
}

func (r *Replica) room(conns int) int {
	return max(min(int(r.limitNow()), conns), 1)
}

// Good takes in that a request was answered.
func (r *Replica) Good(now time.Time) {
	r.outcome(now, 0)
}

// Bad takes in that a request failed, or was turned away.
func (r *Replica) Bad(now time.Time) {
	r.outcome(now, 1)
}

func (r *Replica) outcome(now time.Time, x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = (1-badGain)*r.badNow(now) + badGain*x
	r.badAt = now
}

// SetDown notes whether the replica can be reached.
func (r *Replica) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// SetMoved notes that another process has the replica's address. That is final.
func (r *Replica) SetMoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = true
}

// SetCold notes until when the replica is cold.
func (r *Replica) SetCold(till time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = till
}

// Cold reports whether the replica is cold.
func (r *Replica) Cold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.cold)
}

// Usable reports whether a request may be sent there at all.
func (r *Replica) Usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && !r.moved
}

// Cost returns what a request is expected to take there, given the way to the
// replica and what such requests typically take.
func (r *Replica) Cost(now time.Time, far, typical time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	slow := r.slowNow(now)
	if slow < slowNoise {
		slow = 1
	}
	if len(r.flight) > 0 {
		age := now.Sub(r.flight[0]) - far
		if x := float64(age) / float64(max(typical, time.Millisecond)); x > ageNoise {
			slow = max(slow, x)
		}
	}
	// A request spends the way there and back at no slot.
	inside := float64(typical) / float64(max(far+typical, 1))
	full := float64(len(r.flight)) * inside / float64(max(r.Slots, 1))
	load := 1 + full*full
	if now.Before(r.cold) {
		load *= coldTimes
	}
	cost := float64(far) + float64(typical)*slow*load
	cost += r.badNow(now) * float64(failCost)
	return time.Duration(cost)
}

// slowNow is the slowness with its excess decayed since the last news.
func (r *Replica) slowNow(now time.Time) float64 {
	if r.slow <= 1 {
		return r.slow
	}
	return 1 + (r.slow-1)*decay(now.Sub(r.slowAt), slowHalf)
}

func (r *Replica) badNow(now time.Time) float64 {
	return r.bad * decay(now.Sub(r.badAt), badHalf)
}

func decay(d, half time.Duration) float64 {
	return math.Exp2(-float64(max(d, 0)) / float64(half))
}
