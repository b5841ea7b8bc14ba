// Package stated keeps what an upstream process has said of itself in its replies: that it
// is leaving, that it wants no requests for some time, and at which rate it takes them.
package stated

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/limit"
)

// MaxPause bounds the time for which an upstream gets no requests because it asked for a
// pause. An upstream that means a longer one is leaving.
const MaxPause = time.Hour

// Requests come back after a pause as a rise: one in flight at its end, and one more with
// each rampStep, for rampTime.
const (
	rampStep = 100 * time.Millisecond
	rampTime = 2 * time.Second
)

// The end of a pause is put off by a random time, so that the processes of a fleet don't
// come back at once: by up to pauseJitter of the pause, and maxPauseJitter.
const (
	pauseJitter    = 0.1
	maxPauseJitter = 500 * time.Millisecond
)

// A Process is what one upstream process has said of itself. The zero value is one that
// has said nothing. It is safe for concurrent use.
type Process struct {
	Rate limit.StatedRate  // of requests, by its replies
	Cold limit.RateLimiter // of requests while it is cold

	// spoken is set once it has said that it is leaving or asked for a pause. Nearly all
	// processes never do, and each selection of an upstream asks.
	spoken atomic.Bool

	mu           sync.Mutex
	leavingSince time.Time // when the first reply said that it is leaving; zero if none did
	pauseEnd     time.Time // until when it gets no requests; zero if it never asked for a pause
	reportedAt   time.Time // when a value that can't be read was last reported
}

// ObserveLeaving records a reply which says that the process is leaving, and reports
// whether it is the first one.
func (p *Process) ObserveLeaving(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leavingSince.IsZero() {
		return false
	}
	p.spoken.Store(true)
	p.leavingSince = now
	return true
}

// Leaving reports whether the process has said that it is leaving.
func (p *Process) Leaving() bool {
	if !p.spoken.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.leavingSince.IsZero()
}

// LeavingFor returns how long ago the process said first that it is leaving; 0 if it has
// not.
func (p *Process) LeavingFor(now time.Time) time.Duration {
	if !p.spoken.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leavingSince.IsZero() {
		return 0
	}
	return now.Sub(p.leavingSince)
}

// ObservePause records a reply by which the process wants no requests for the time d. It
// reports whether a pause begins.
func (p *Process) ObservePause(d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	d = min(d, MaxPause)
	jitter := min(time.Duration(pauseJitter*float64(d)), maxPauseJitter)
	end := now.Add(d + time.Duration(rand.Float64()*float64(jitter)))
	p.mu.Lock()
	defer p.mu.Unlock()
	begins := !now.Before(p.pauseEnd)
	if end.After(p.pauseEnd) {
		p.pauseEnd = end
	}
	p.spoken.Store(true)
	return begins
}

// PauseWait returns how long the process gets no requests; 0 if it may get one now.
func (p *Process) PauseWait(now time.Time) time.Duration {
	if !p.spoken.Load() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.pauseEnd.Sub(now), 0)
}

// MaxInFlight returns how many requests may be in flight to the process, at most n. It is
// lower in a pause, and for some time after it.
func (p *Process) MaxInFlight(n int, now time.Time) int {
	if !p.spoken.Load() {
		return n
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now.Sub(p.pauseEnd)
	if p.pauseEnd.IsZero() || since >= rampTime {
		return n
	}
	return min(n, max(1+int(since/rampStep), 1))
}

// reportInterval is the time between two reports of values that can't be read.
const reportInterval = time.Minute

// ShouldReport reports whether a reply with a value that can't be read is to be logged:
// once a minute.
func (p *Process) ShouldReport(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < reportInterval {
		return false
	}
	p.reportedAt = now
	return true
}
