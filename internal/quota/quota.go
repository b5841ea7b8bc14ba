// Package quota limits quantities that many goroutines use at the same time, like bytes of
// memory or open connections.
package quota

import "sync/atomic"

// A Quota limits a quantity. It is safe for concurrent use; a nil *Quota sets no limit.
type Quota struct {
	Max int64 // most that may be in use

	used atomic.Int64 // in use; at most Max
}

// Take reserves n, or reports false if that is not left.
func (q *Quota) Take(n int64) bool {
	if q == nil {
		return true
	}
	for {
		used := q.used.Load()
		if used+n > q.Max {
			return false
		}
		if q.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Return gives back n of what was reserved.
func (q *Quota) Return(n int64) {
	if q != nil {
		q.used.Add(-n)
	}
}

// Full reports whether nothing is left.
func (q *Quota) Full() bool {
	return q != nil && q.used.Load() >= q.Max
}

// Used returns how much is reserved.
func (q *Quota) Used() int64 {
	if q == nil {
		return 0
	}
	return q.used.Load()
}
