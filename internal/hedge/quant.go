// Package hedge decides when a second request is worth sending.
package hedge

import (
	"math"
	"slices"
	"sync"
	"time"
)

// samples is the number of recent latencies that a Quant keeps.
const samples = 128

// refresh is the number of new latencies after which the quantile is redrawn.
const refresh = 16

// A Quant is a quantile of recent latencies. It is safe for concurrent use.
type Quant struct {
	Share float64       // which quantile, from 0 to 1
	First time.Duration // value before there are latencies
	Least time.Duration // lowest value
	Times float64       // lowest value, in medians of the latencies
	Most  float64       // highest value, in medians; 0 for none

	mu     sync.Mutex
	recent [samples]time.Duration
	n      int // latencies ever added
	value  time.Duration
}

// Add takes in a latency.
func (q *Quant) Add(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recent[q.n%samples] = d
	q.n++
	if q.n%refresh == 0 {
		q.redraw()
	}
}

func (q *Quant) redraw() {
	held := q.recent
	s := held[:min(q.n, samples)]
	slices.Sort(s)
	i := int(math.Ceil(q.Share*float64(len(s)))) - 1
	median := float64(s[len(s)/2])
	q.value = max(s[min(max(i, 0), len(s)-1)], time.Duration(q.Times*median))
	if q.Most > 0 {
		// A replica that is slow throughout must not raise the quantile to
		// its own latency.
		q.value = min(q.value, time.Duration(q.Most*median))
	}
}

// Value returns the quantile, at least Least.
func (q *Quant) Value() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.value == 0 {
		return max(q.First, q.Least)
	}
	return max(q.value, q.Least)
}
