// Package limit has the limiters for work that a daemon accepts and sends on:
// concurrency, rate and retry budgets, and the queue of waiting requests.
package limit

import "time"

// Parameters of Adaptive.
const (
	StepSuccesses = 12               // timely responses that raise the limit of a cold upstream by 1
	WarmTTL       = 30 * time.Second // an upstream counts as warm for this long after the last evidence
	coldSheds     = 8                // after so many consecutive sheds the upstream counts as cold, as after a restart
)

// An Adaptive is a limit on the requests that one daemon has in flight at one
// upstream. An upstream is cold until there is evidence that it is warm. Only
// the one daemon with AllowCold set may send to a cold upstream, beginning with
// one request at a time. The limit grows with timely responses. It falls at
// once when the upstream sheds load, or has a new start ID, which means that it
// restarted. The zero value with Max set is cold. It is not safe for concurrent
// use.
type Adaptive struct {
	Max           int           // permits of this daemon for the upstream; 0 allows no requests
	WarmAt        int           // limit at which the upstream counts as warm; at least 1
	AllowCold     bool          // this daemon may send to the upstream while it is cold
	LatencyTarget time.Duration // a slower response does not count as timely; 0 sets no target

	startID      string    // start ID of the upstream process last seen
	limit        int       // current limit; 0 counts as 1
	successes    int       // timely responses since the limit last changed
	warm         bool      // the upstream can take its full load
	lastEvidence time.Time // when there was last evidence that it is warm
	sheds        int       // consecutive
}

// Limit returns how many requests may be in flight at time now, from 0 to Max.
func (a *Adaptive) Limit(now time.Time) int {
	if !a.Warm(now) && !a.AllowCold {
		return 0
	}
	return min(max(a.limit, 1), a.Max)
}

// Warm reports whether there is evidence from the last WarmTTL that the upstream
// is warm.
func (a *Adaptive) Warm(now time.Time) bool {
	if a.warm && now.Sub(a.lastEvidence) > WarmTTL {
		a.reset()
	}
	return a.warm
}

// StartID returns the upstream's start ID last seen, or "".
func (a *Adaptive) StartID() string {
	return a.startID
}

// RecordStart records the start ID that a new connection or a response carries.
// It reports whether the upstream has restarted.
func (a *Adaptive) RecordStart(startID string) bool {
	if startID == a.startID {
		return false
	}
	known := a.startID != ""
	a.startID = startID
	a.reset()
	return known
}

// reset makes the upstream count as cold.
func (a *Adaptive) reset() {
	a.limit = 1
	a.successes = 0
	a.sheds = 0
	a.warm = false
}

// RecordDisconnect records that the upstream broke a connection. If the upstream
// sends start IDs, the next connection shows whether it restarted, and the break
// counts as a shed. Otherwise the upstream counts as cold.
func (a *Adaptive) RecordDisconnect() {
	if a.startID == "" {
		a.reset()
		return
	}
	a.RecordShed()
}

// RecordSuccess records a response from the process with the current start ID.
// It reports whether the upstream has just become warm.
func (a *Adaptive) RecordSuccess(latency time.Duration, now time.Time) bool {
	a.sheds = 0
	if a.warm {
		a.lastEvidence = now
	}
	if a.LatencyTarget > 0 && latency > a.LatencyTarget {
		return false
	}
	a.successes++
	if a.successes < a.stepSize() {
		return false
	}
	a.successes = 0
	a.limit = min(max(a.limit, 1)+1, max(a.Max, 1))
	if a.warm || !a.AllowCold || a.limit < min(a.WarmAt, a.Max) {
		return false
	}
	a.warm = true
	a.lastEvidence = now
	return true
}

// stepSize returns the timely responses after which the limit grows by 1.
func (a *Adaptive) stepSize() int {
	if a.warm {
		return max(a.limit, 1)
	}
	return StepSuccesses
}

// RecordShed records that the upstream rejected a request because of its load.
// The limit is halved, and after coldSheds consecutive sheds the upstream counts
// as cold.
func (a *Adaptive) RecordShed() {
	a.sheds++
	a.successes = 0
	a.limit = max(a.limit/2, 1)
	if a.sheds >= coldSheds {
		a.reset()
	}
}

// RecordWarm records another daemon's report that the upstream process with
// startID is warm. A start ID that this daemon has not seen yet replaces the
// current one.
func (a *Adaptive) RecordWarm(startID string, now time.Time) {
	if a.startID != startID {
		a.startID = startID
		a.reset()
	}
	a.warm = true
	a.lastEvidence = now
}
