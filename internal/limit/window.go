package limit

import (
	"sync"
	"time"
)

// A WindowBudget limits the extra attempts (retries and hedges) sent to a
// service within a sliding window. Each daemon enforces its own share of the
// limit, so the limit of the fleet holds without coordination. It is safe for
// concurrent use.
//
// The zero value allows no extra attempts; call Set to configure it.
type WindowBudget struct {
	mu     sync.Mutex
	ratio  float64       // extra attempts for each first attempt
	slack  float64       // further extra attempts in each window; this daemon's share
	window time.Duration // 0 until Set, and for a budget that allows none
	ramp   RampUp
	slots  [windowSlots]windowSlot

	// origin is the start of interval 0. It has a monotonic clock reading, so
	// a change of the wall clock does not move the window.
	origin time.Time
}

// Set changes the limit of the fleet: in each window, ratio extra attempts for each
// first attempt, plus slack, of which this daemon's share is given. The daemon uses
// SteadyFraction of the ratio, and of the slack what ramp allows. A window of 0 or
// less allows no extra attempts. If the window changes, the extra attempts of the
// old one count as made now.
func (b *WindowBudget) Set(ratio, slack float64, window time.Duration, ramp RampUp) {
	b.mu.Lock()
	defer b.mu.Unlock()
	window = max(window, 0)
	b.ratio = ratio
	b.slack = slack
	b.ramp = ramp
	if window != b.window {
		b.changeWindow(window, time.Now())
	}
}

// changeWindow sets the window, and moves the extra attempts of the old one to the
// interval of now, since the intervals get another length.
func (b *WindowBudget) changeWindow(window time.Duration, now time.Time) {
	_, extra := b.totals(now)
	b.window = window
	b.origin = now.Add(-2 * window)
	clear(b.slots[:])
	b.slotAt(now).extra = extra
}

// windowSlots is the number of intervals that are summed. A window is 20
// intervals long; one more is summed, because the window starts and ends within
// an interval and must not exceed the limit wherever it starts.
const windowSlots = 21

// A windowSlot holds the attempts of one interval.
type windowSlot struct {
	interval int64 // number of the interval, counted from origin
	first    int
	extra    int
}

// CountFirst counts the first attempt of a request, whether or not it can be
// sent.
func (b *WindowBudget) CountFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotAt(now).first++
}

// Take takes one extra attempt from the budget. It reports false if none is
// left.
func (b *WindowBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available(now) < 1 {
		return false
	}
	b.slotAt(now).extra++
	return true
}

// Return gives back an extra attempt that was taken but not sent.
func (b *WindowBudget) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.slotAt(now); s.extra > 0 {
		s.extra--
	}
}

// available returns the extra attempts that are left. It may be negative, because
// the limit falls when first attempts leave the window.
func (b *WindowBudget) available(now time.Time) float64 {
	if b.window <= 0 {
		return 0
	}
	first, extra := b.totals(now)
	return SteadyFraction*b.ratio*float64(first) + b.ramp.Fraction(b.window, now)*b.slack - float64(extra)
}

// totals sums the attempts in the window that ends now. It includes attempts after
// now, as the caller may have read the clock before another one that came first.
func (b *WindowBudget) totals(now time.Time) (first, extra int) {
	newest := b.intervalAt(now)
	for i := range b.slots {
		s := &b.slots[i]
		if s.interval > newest-windowSlots {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

// intervalAt returns the number of the interval that contains now, 0 at least.
func (b *WindowBudget) intervalAt(now time.Time) int64 {
	if b.window <= 0 {
		return 0
	}
	return max(int64(now.Sub(b.origin)/max(b.window/(windowSlots-1), 1)), 0)
}

// slotAt returns the slot for now, cleared if it held an earlier interval.
func (b *WindowBudget) slotAt(now time.Time) *windowSlot {
	interval := b.intervalAt(now)
	s := &b.slots[interval%windowSlots]
	if s.interval != interval {
		*s = windowSlot{interval: interval}
	}
	return s
}
