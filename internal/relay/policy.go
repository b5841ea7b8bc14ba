package relay

import (
	"sync"

	"bronzedoor.dev/bronzedoor/internal/limit"
)

// Budgets for extra attempts.
const (
	retriesPerRequest = 0.2 // retries that each shard request adds to the budget
	retryBurst        = 64  // most retries in the budget, for a burst of failures
	hedgeBurst        = 8   // most hedges in the budget
)

// A Policy says how a relay chooses replicas and when it sends extra attempts. A
// daemon uses the zero value; the fields exist for experiments that compare.
type Policy struct {
	RandomReplica    bool // choose a random replica, not the better of two random ones
	NoHedge          bool // send no hedges
	CancelSlower     bool // cancel the slower of two attempts, which closes its connection
	UnlimitedRetries bool // send retries regardless of the budget

	mu      sync.Mutex
	budgets map[string]*budgets // by caller class
}

// budgets are the budgets for extra attempts of one caller class.
type budgets struct {
	hedge limit.Budget
	retry limit.Budget
}

// forClass returns the budgets of a caller class, new ones at its first use. A
// new budget of retries is full.
func (p *Policy) forClass(class string) *budgets {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budgets == nil {
		p.budgets = make(map[string]*budgets)
	}
	b := p.budgets[class]
	if b == nil {
		b = &budgets{
			hedge: limit.Budget{Burst: hedgeBurst},
			retry: limit.Budget{Burst: retryBurst},
		}
		b.retry.Add(retryBurst)
		p.budgets[class] = b
	}
	return b
}

// add adds to the budgets for one shard request. hedgePercent is the share of the
// class's shard requests that may be hedged.
func (b *budgets) add(hedgePercent int) {
	b.hedge.Add(float64(hedgePercent) / 100)
	b.retry.Add(retriesPerRequest)
}
