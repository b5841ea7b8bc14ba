package limit

import (
	"sync"
	"time"
)

// An Extra bounds the requests that are sent beyond the first of each one to a
// service, over a sliding window. Every daemon keeps to its own part, so the
// sum holds without any news of the others. It is safe for concurrent use.
//
// The zero value allows none; Set gives it its bounds.
type Extra struct {
	mu     sync.Mutex
	ratio  float64       // extra requests for each first one
	slack  float64       // extra requests on top in each window; this daemon's part
	window time.Duration // 0 until Set
	slots  [extraSlots]extraSlot

	// origin is what pieces of time are counted from. It holds a monotonic
	// reading, so that a jump of the time of day moves no window.
	origin time.Time
}

// Set changes the bounds: ratio extra requests for each first one, and slack
// on top, in each window.
func (e *Extra) Set(ratio, slack float64, window time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ratio = ratio
	e.slack = slack
	e.window = window
}

// extraSlots is the number of pieces that a window is counted in. One more
// piece is kept, so that no window of any phase holds more than allowed.
const extraSlots = 21

// An extraSlot counts one piece of time.
type extraSlot struct {
	piece int64 // number of the piece since the origin
	first int
	extra int
}

// First counts a request that is sent, or would be, for the first time.
func (e *Extra) First(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slot(now).first++
}

// Take takes one extra request, and reports whether there was one.
func (e *Extra) Take(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left(now) < 1 {
		return false
	}
	e.slot(now).extra++
	return true
}

// Give returns an extra request that was taken and not sent.
func (e *Extra) Give(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.slot(now); s.extra > 0 {
		s.extra--
	}
}

// Left returns the share of the window's extra requests that is unused, from 0
// to 1.
func (e *Extra) Left(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	first, _ := e.sums(now)
	all := e.ratio*float64(first) + e.slack
	if all < 1 {
		return 0
	}
	return max(e.left(now), 0) / all
}

func (e *Extra) left(now time.Time) float64 {
	first, extra := e.sums(now)
	return e.ratio*float64(first) + e.slack - float64(extra)
}

// sums counts the window that ends now.
func (e *Extra) sums(now time.Time) (first, extra int) {
	newest := e.piece(now)
	for i := range e.slots {
		s := &e.slots[i]
		if s.piece > newest-extraSlots && s.piece <= newest {
			first += s.first
			extra += s.extra
		}
	}
	return first, extra
}

func (e *Extra) piece(now time.Time) int64 {
	if e.origin.IsZero() {
		e.origin = now.Add(-2 * e.window)
	}
	return int64(now.Sub(e.origin) / max(e.window/(extraSlots-1), 1))
}

func (e *Extra) slot(now time.Time) *extraSlot {
	p := e.piece(now)
	s := &e.slots[p%extraSlots]
	if s.piece != p {
		*s = extraSlot{piece: p}
	}
	return s
}
