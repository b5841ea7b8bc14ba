package limit

import "sync"

// A Budget is a token bucket of extra attempts (retries and hedges). It is
// filled in proportion to first attempts, which prevents a storm of retries
// while many upstreams fail. It is safe for concurrent use.
type Budget struct {
	Burst float64 // capacity in tokens; above 0

	mu     sync.Mutex
	tokens float64 // from 0 to Burst
}

// Add adds tokens, which may be a fraction, up to the capacity.
func (b *Budget) Add(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokens, b.Burst)
}

// Take takes one token for one attempt. It reports false if there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
