// Package delay has delays for periodic work.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration in [0.5 d, 1.5 d), so that daemons that start at
// the same time do not act in lockstep. It panics if d <= 0.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// Sleep waits for d. It reports false, at once, if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
