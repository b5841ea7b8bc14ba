package hold

import (
	"context"
	"math/rand/v2"
	"time"
)

// jitter returns a time from half of d to one and a half, so that daemons that
// start together do not stay together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for d, and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
