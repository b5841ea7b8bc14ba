// Package hedge computes quantiles of recent latencies, after which a hedge, a
// second attempt at a slow request, is worth sending.
package hedge

import (
	"math"
	"slices"
	"sync"
	"time"
)

// windowSize is the number of recent latencies that a Quantile keeps.
const windowSize = 128

// recomputeEvery is the number of new latencies after which the value is recomputed.
const recomputeEvery = 16

// A Quantile estimates a quantile of recent latencies, within bounds. It is safe
// for concurrent use.
type Quantile struct {
	Level      float64       // which quantile, from 0 to 1
	Initial    time.Duration // value before there are enough latencies
	Min        time.Duration // lower bound
	MinMedians float64       // lower bound, as a multiple of the median
	MaxMedians float64       // upper bound, as a multiple of the median; 0 for none

	mu     sync.Mutex
	recent [windowSize]time.Duration // ring buffer
	added  int                       // number of latencies added so far
	value  time.Duration             // 0 before it is first computed
}

// Add adds a latency.
func (q *Quantile) Add(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recent[q.added%windowSize] = d
	q.added++
	if q.added%recomputeEvery == 0 {
		q.recompute()
	}
}

// recompute sets value from the recent latencies.
func (q *Quantile) recompute() {
	buf := q.recent
	sorted := buf[:min(q.added, windowSize)]
	slices.Sort(sorted)
	i := int(math.Ceil(q.Level*float64(len(sorted)))) - 1
	median := float64(sorted[len(sorted)/2])
	q.value = max(sorted[min(max(i, 0), len(sorted)-1)], time.Duration(q.MinMedians*median))
	if q.MaxMedians > 0 {
		// A replica that is always slow must not raise the quantile to its own
		// latency.
		q.value = min(q.value, time.Duration(q.MaxMedians*median))
	}
}

// Value returns the quantile, as of the last recomputation, and at least Min.
func (q *Quantile) Value() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.value == 0 {
		return max(q.Initial, q.Min)
	}
	return max(q.value, q.Min)
}
