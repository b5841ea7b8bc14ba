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
	window time.Duration // 0 until Set
	slots  [windowSlots]windowSlot

	// origin is the start of interval 0. It has a monotonic clock reading, so
	// a change of the wall clock does not move the window.
	origin time.Time
}

// Set changes the limit: in each window, ratio extra attempts for each first
// attempt, plus slack.
func (b *WindowBudget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
	b.slack = slack
	b.window = window
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

// Unused returns the fraction of the window's extra attempts that is left, from
// 0 to 1. It is 0 if less than one attempt is allowed.
func (b *WindowBudget) Unused(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, _ := b.totals(now)
	allowed := b.ratio*float64(first) + b.slack
	if allowed < 1 {
		return 0
	}
	return max(b.available(now), 0) / allowed
}

// available returns the extra attempts that are left. It may be negative, because
// the limit falls when first attempts leave the window.
func (b *WindowBudget) available(now time.Time) float64 {
	first, extra := b.totals(now)
	return b.ratio*float64(first) + b.slack - float64(extra)
}

// totals sums the attempts in the window that ends now.
func (b *WindowBudget) totals(now time.Time) (first, extra int) {
	newest := b.intervalAt(now)
	for i := range b.slots {
		s := &b.slots[i]
		if s.interval > newest-windowSlots && s.interval <= newest {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

// intervalAt returns the number of the interval that contains now.
func (b *WindowBudget) intervalAt(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now.Add(-2 * b.window)
	}
	return int64(now.Sub(b.origin) / max(b.window/(windowSlots-1), 1))
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
