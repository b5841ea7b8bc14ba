// Package health tracks the condition of replicas, to choose the one that a request
// is sent to. It relies on the latency and outcome of requests, not on load that
// a replica reports about itself.
package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of a Replica.
const (
	latencyWeight    = 0.3                     // weight of the newest latency in the moving average
	slowdownHalfLife = 700 * time.Millisecond  // without new latencies, slowdown above 1 halves in this time
	outcomeWeight    = 0.3                     // weight of the newest outcome in the moving average
	failureHalfLife  = 1500 * time.Millisecond // without new outcomes, the failure rate halves in this time
	// failureCost is the cost of a failed request: a retry on another replica if
	// the retry budget allows it, or else the loss of the response.
	failureCost      = 200 * time.Millisecond
	minSlowdown      = 2.0                   // latencies below this multiple of the typical one are normal variation
	decreaseFactor   = 0.7                   // the limit is multiplied by this when the replica is overloaded
	minLimit         = 2                     // requests in flight
	maxLimit         = 64                    // requests in flight
	decreaseInterval = 50 * time.Millisecond // minimum time between two decreases of the limit
	coldFactor       = 1.6                   // a cold replica takes longer by this factor
	minAgeFactor     = 2.5                   // a request in flight for more than this multiple of the typical latency shows slowness
)

// A Replica is the condition of one upstream as one daemon sees it: the requests
// in flight, their adaptive limit, and recent latency and failures. It is safe
// for concurrent use.
type Replica struct {
	Slots int // requests that the upstream processes concurrently; at least 1

	mu          sync.Mutex
	inFlight    []time.Time // start times of the requests in flight, oldest first
	slowdown    float64     // moving average of latency / typical latency; 0 before the first
	slowdownAt  time.Time   // when slowdown was last updated
	failures    float64     // moving average of outcomes, from 0 (all succeed) to 1 (all fail)
	failuresAt  time.Time   // when failures was last updated
	down        bool        // it cannot be reached
	moved       bool        // another process has taken over its address
	coldUntil   time.Time
	limit       float64   // requests that may be in flight; 0 before it is first adjusted
	decreasedAt time.Time // when limit was last decreased; zero if never
	floor       float64   // limit is not decreased below this
}

// Begin counts a request as in flight. It reports false if the limit is reached.
// conns is the number of connections that may be used, each for one request.
func (r *Replica) Begin(now time.Time, conns int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight) >= r.capacity(conns) {
		return false
	}
	r.inFlight = append(r.inFlight, now)
	return true
}

// End stops counting the request that began at start as in flight.
func (r *Replica) End(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.inFlight, start); i >= 0 {
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
	}
}

// RecordLatency records the latency of a request, without the network round trip
// rtt. typical is the typical latency of such requests.
func (r *Replica) RecordLatency(now time.Time, latency, typical, rtt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Requests on the network occupy no slot: more of them may be in flight to a
	// replica with a long round trip.
	r.floor = minLimit * float64(rtt+typical) / float64(max(typical, time.Millisecond))
	ratio := float64(latency) / float64(max(typical, time.Millisecond))
	if r.slowdown == 0 {
		r.slowdown = ratio
	} else {
		r.slowdown = (1-latencyWeight)*r.currentSlowdown(now) + latencyWeight*ratio
	}
	r.slowdownAt = now
	if limit := r.currentLimit(); float64(len(r.inFlight)+1) >= limit {
		step := 1 / limit
		if r.decreasedAt.IsZero() {
			step = 1
		}
		r.limit = min(limit+step, maxLimit)
	}
}

// RecordShed records that the replica rejected a request because of its load.
func (r *Replica) RecordShed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decrease(now, 0)
}

// decrease decreases the limit, at most once per interval and decreaseInterval:
// the rejections of one burst count once.
func (r *Replica) decrease(now time.Time, interval time.Duration) {
	if now.Sub(r.decreasedAt) < max(interval, decreaseInterval) {
		return
	}
	r.limit = max(decreaseFactor*r.currentLimit(), r.floor, minLimit)
	r.decreasedAt = now
}

// currentLimit returns the limit on requests in flight.
func (r *Replica) currentLimit() float64 {
	if r.limit == 0 {
		return float64(max(r.Slots, minLimit))
	}
	return r.limit
}

// HasRoom reports whether another request may be in flight. Requests beyond the
// limit would only queue at the replica. conns is as for Begin.
func (r *Replica) HasRoom(conns int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.inFlight) < r.capacity(conns)
}

// capacity returns how many requests may be in flight; at least 1.
func (r *Replica) capacity(conns int) int {
	return max(min(int(r.currentLimit()), conns), 1)
}

// RecordSuccess records that a request succeeded.
func (r *Replica) RecordSuccess(now time.Time) {
	r.recordOutcome(now, 0)
}

// RecordFailure records that a request failed or was rejected.
func (r *Replica) RecordFailure(now time.Time) {
	r.recordOutcome(now, 1)
}

// recordOutcome records a success (0) or a failure (1).
func (r *Replica) recordOutcome(now time.Time, failed float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = (1-outcomeWeight)*r.failureRate(now) + outcomeWeight*failed
	r.failuresAt = now
}

// SetDown records whether the replica is unreachable.
func (r *Replica) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// SetMoved records that another process has taken over the replica's address. The
// replica is not usable from then on.
func (r *Replica) SetMoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = true
}

// SetCold records until when the replica is cold.
func (r *Replica) SetCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// Cold reports whether the replica is cold.
func (r *Replica) Cold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.coldUntil)
}

// Usable reports whether the replica is reachable and still has its address.
func (r *Replica) Usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down && !r.moved
}

// Cost returns the expected latency of a request to the replica, including the
// round trip rtt and a penalty for recent failures. typical is the typical
// latency of such requests without the round trip.
func (r *Replica) Cost(now time.Time, rtt, typical time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	slowdown := r.currentSlowdown(now)
	if slowdown < minSlowdown {
		slowdown = 1
	}
	if len(r.inFlight) > 0 {
		age := now.Sub(r.inFlight[0]) - rtt
		if ratio := float64(age) / float64(max(typical, time.Millisecond)); ratio > minAgeFactor {
			slowdown = max(slowdown, ratio)
		}
	}
	// A request occupies a slot only for the part of its time outside the network.
	inService := float64(typical) / float64(max(rtt+typical, 1))
	utilization := float64(len(r.inFlight)) * inService / float64(max(r.Slots, 1))
	load := 1 + utilization*utilization
	if now.Before(r.coldUntil) {
		load *= coldFactor
	}
	cost := float64(rtt) + float64(typical)*slowdown*load
	cost += r.failureRate(now) * float64(failureCost)
	return time.Duration(cost)
}

// currentSlowdown returns slowdown, with the excess over 1 decayed since it was
// updated.
func (r *Replica) currentSlowdown(now time.Time) float64 {
	if r.slowdown <= 1 {
		return r.slowdown
	}
	return 1 + (r.slowdown-1)*decay(now.Sub(r.slowdownAt), slowdownHalfLife)
}

// failureRate returns failures, decayed since it was updated.
func (r *Replica) failureRate(now time.Time) float64 {
	return r.failures * decay(now.Sub(r.failuresAt), failureHalfLife)
}

// decay returns the factor by which a value with halfLife falls in age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
