package limit

import "sync"

// A Budget lets extra requests through in proportion to first ones, so that a
// failing fleet sees no storm of retries. It is safe for concurrent use.
type Budget struct {
	Burst float64 // most extra requests saved up; above 0

	mu    sync.Mutex
	saved float64 // from 0 to Burst
}

// Earn adds share of a request to the budget.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+share, b.Burst)
}

// Spend takes one request from the budget, and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
