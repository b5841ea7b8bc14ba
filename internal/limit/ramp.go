// Package limit bounds the work that an upstream and an entry get.
package limit

import "time"

// Bounds of a Ramp.
const (
	Window   = 12               // timely answers for each step of a cold ramp
	FreshFor = 30 * time.Second // how long evidence of warmth lasts
	shedRow  = 8                // sheds in a row that count as a new start
)

// A Ramp is the number of requests that one daemon may have in flight at one
// upstream. An upstream is cold until there is evidence of its warmth: then
// only the daemon with the First right may send, one request at a time. The
// limit grows with timely answers, and falls at once when the upstream sheds
// or shows a new start identity. The zero value with Max set is cold.
type Ramp struct {
	Max   int           // the daemon's permits; 0 lets nothing through
	Bears int           // requests in flight at which the upstream counts as warm; at least 1
	First bool          // the daemon may send to a cold upstream
	Goal  time.Duration // a slower answer does not count as timely

	start string    // start identity last seen
	limit int       // current limit; 0 counts as 1
	good  int       // timely answers since the limit last changed
	warm  bool      // the upstream bears its full load
	last  time.Time // when it last gave evidence of warmth
	sheds int       // in a row
}

// Limit returns the requests that may be in flight at that time, from 0 to Max.
func (r *Ramp) Limit(now time.Time) int {
	if !r.Warm(now) && !r.First {
		return 0
	}
	return min(max(r.limit, 1), r.Max)
}

// Warm reports whether there is fresh evidence that the upstream is warm.
func (r *Ramp) Warm(now time.Time) bool {
	if r.warm && now.Sub(r.last) > FreshFor {
		r.cool()
	}
	return r.warm
}

// Start returns the start identity last seen.
func (r *Ramp) Start() string {
	return r.start
}

// Seen takes in the start identity of a new connection or an answer. It
// reports whether the upstream has restarted.
func (r *Ramp) Seen(start string) bool {
	if start == r.start {
		return false
	}
	known := r.start != ""
	r.start = start
	r.cool()
	return known
}

// cool forgets all evidence.
func (r *Ramp) cool() {
	r.limit = 1
	r.good = 0
	r.sheds = 0
	r.warm = false
}

// Lost takes in that the upstream broke a connection. One that gives a start
// identity tells on the next connection whether it restarted; one that gives
// none is taken for cold.
func (r *Ramp) Lost() {
	if r.start == "" {
		r.cool()
		return
	}
	r.Shed()
}

// Good takes in an answer to a request of the current start. It reports
// whether the upstream has just become warm.
func (r *Ramp) Good(took time.Duration, now time.Time) bool {
	r.sheds = 0
	if r.warm {
		r.last = now
	}
	if r.Goal > 0 && took > r.Goal {
		return false
	}
	r.good++
	if r.good < r.window() {
		return false
	}
	r.good = 0
	r.limit = min(max(r.limit, 1)+1, max(r.Max, 1))
	if r.warm || !r.First || r.limit < min(r.Bears, r.Max) {
		return false
	}
	r.warm = true
	r.last = now
	return true
}

func (r *Ramp) window() int {
	if r.warm {
		return max(r.limit, 1)
	}
	return Window
}

// Shed takes in that the upstream refused for load: the limit is halved, and
// after many sheds in a row the upstream counts as cold.
func (r *Ramp) Shed() {
	r.sheds++
	r.good = 0
	r.limit = max(r.limit/2, 1)
	if r.sheds >= shedRow {
		r.cool()
	}
}

// Told takes in another holder's word that the upstream is warm since start.
// Word of a start that this daemon has not seen is kept with the start.
func (r *Ramp) Told(start string, now time.Time) {
	if r.start != start {
		r.start = start
		r.cool()
	}
	r.warm = true
	r.last = now
}
