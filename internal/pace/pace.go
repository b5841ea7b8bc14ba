// Package pace spreads repeated work over time.
package pace

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a time from half of d to one and a half, so that daemons that
// start together do not stay together. d is above 0.
func Jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// Sleep waits for d, and reports false when ctx ended first.
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
