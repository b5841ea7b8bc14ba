package relay

import (
	"sync"

	"bronzedoor.dev/bronzedoor/internal/limit"
)

// Constants of the budgets of extra requests.
const (
	retryShare = 0.2 // retries earned by each part
	retryBurst = 64  // retries saved up for a burst of failures
	hedgeBurst = 8   // hedges saved up
)

// A Policy is how a relay spends extra requests. The zero value is the policy
// of a daemon; the fields are for comparison by experiment.
type Policy struct {
	Random  bool // choose replicas at random instead of by two choices
	NoHedge bool // never send a second request for a slow one
	Cancel  bool // cancel the slower of two requests, which costs its connection
	NoLimit bool // spend retries without a budget

	mu      sync.Mutex
	budgets map[string]*budgets // by caller class
}

// budgets are what one caller class may spend.
type budgets struct {
	hedge limit.Budget
	retry limit.Budget
}

// of returns the budgets of a caller class.
func (p *Policy) of(class string) *budgets {
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

// earn takes in one part of a class that may hedge so many percent.
func (b *budgets) earn(percent int) {
	b.hedge.Add(float64(percent) / 100)
	b.retry.Add(retryShare)
}
