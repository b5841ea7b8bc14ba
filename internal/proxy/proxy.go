// Package proxy serves requests: it admits them, sends them or their shard
// requests to upstreams, hedges and retries within a budget, and merges the
// replies into one answer.
package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/boot"
	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/quota"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
	"bronzedoor.dev/bronzedoor/internal/stated"
)

// Limits are the limits on the load of upstreams that hold for all daemons of the
// fleet together. Each daemon enforces its own share of them.
type Limits struct {
	BudgetRatio  float64       // retries and hedges per first attempt, of each service
	BudgetSlack  float64       // retries and hedges per window on top of the ratio
	BudgetWindow time.Duration // sliding window over which BudgetRatio and BudgetSlack apply
	ColdFactor   float64       // a cold upstream gets at most ColdFactor times its cold rate
	ColdSlack    float64       // plus this many requests per second
}

// A Proxy serves requests by sending them to upstreams. Set the exported fields,
// then call Start.
type Proxy struct {
	Region     string
	Codec      *client.Codec
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	LimitShare func() float64 // this daemon's share of Limits, from 0 to 1
	// CountedSince returns since when the other daemons count this one when they
	// divide Limits; zero while they may not. If it is nil, they always did.
	CountedSince func() time.Time
	Daemons      func() map[string]int // number of daemons by region; a nil func or map if unknown
	MemoryLimit  int64                 // memory of the process in bytes, which limits the shard requests in flight; 0 means no limit
	MaxConns     int                   // connections to upstreams, beyond one to each; 0 means no limit
	Log          *event.Log
	Metrics      *Metrics       // may be nil
	Startup      *boot.Timeline // records the first request, reply and complete answer; may be nil

	// shareMu is held while this daemon's share of the limits is read and applied,
	// so that an older share never replaces a newer one.
	shareMu sync.Mutex

	mu         sync.Mutex
	limits     Limits
	groups     map[string]*group        // by service
	stats      map[string]*latencyStats // by route
	table      *route.Table
	baseCtx    context.Context // canceled by Stop
	serveCtx   context.Context // of all requests; canceled by Stop, and at the time given to AnswerBy
	started    time.Time       // time of Start
	memory     *quota.Quota    // bytes of long responses; nil for no limit
	extraConns *quota.Quota    // connections to upstreams, beyond one to each; nil for no limit
	splitter   route.Splitter
	inFlight   atomic.Int64 // shard requests in flight
	goroutines kernel.Group

	stated      stated.Set            // what upstreams have said of themselves
	drainTime   atomic.Int64          // set by SetDrainTime, in ns
	cancelServe context.CancelFunc    // cancels serveCtx
	drain       atomic.Pointer[drain] // set by AnswerBy; nil before
}

// longResponseShare is the inverse of the share of MemoryLimit that long responses may
// take while they are read. Their buffers grow by copying, and garbage is collected
// later, so they take a multiple of that.
const longResponseShare = 8

// Start starts background maintenance. It must be called before SetUpstreams and
// Serve. It always returns nil.
func (p *Proxy) Start(ctx context.Context) error {
	p.drainTime.CompareAndSwap(0, int64(roster.DefaultDrainTime))
	p.baseCtx = p.goroutines.Begin(ctx, 1)
	p.serveCtx, p.cancelServe = context.WithCancel(p.baseCtx)
	p.started = time.Now()
	if p.MemoryLimit > 0 {
		p.memory = &quota.Quota{Max: p.MemoryLimit / longResponseShare}
	}
	if p.MaxConns > 0 {
		p.extraConns = &quota.Quota{Max: int64(p.MaxConns)}
	}
	go p.loop(p.baseCtx)
	return nil
}

// Stop cancels all requests in flight and closes all connections.
func (p *Proxy) Stop(context.Context) error {
	p.goroutines.Stop()
	p.SetUpstreams(&roster.View{})
	return nil
}

// maintainInterval is the interval between two calls of maintain.
const maintainInterval = 500 * time.Millisecond

// loop calls maintain periodically until ctx is done.
func (p *Proxy) loop(ctx context.Context) {
	defer p.goroutines.Done()
	for delay.Sleep(ctx, maintainInterval) {
		p.maintain()
	}
}

// maintain applies this daemon's current share of the limits and closes
// connections that have been idle for too long.
func (p *Proxy) maintain() {
	p.UpdateShare()
	now := time.Now()
	for _, g := range p.allGroups() {
		for _, u := range g.list() {
			u.pool.Trim(now)
		}
	}
}

// UpdateShare applies the current value of LimitShare to all services and their
// upstreams. Call it when the share has changed.
func (p *Proxy) UpdateShare() {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	share := p.LimitShare()
	for _, g := range p.allGroups() {
		g.setBudget(p.Limits(), share, p.rampUp())
		g.setUpstreamLimits(p.service(g.name), share)
	}
}

// SetLimits changes the limits. Known services use them from the next UpdateShare,
// which also runs every maintainInterval.
func (p *Proxy) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
}

// Limits returns the limits as last set.
func (p *Proxy) Limits() Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits
}

// SetTable replaces the routing table. Its limits on upstreams apply at once, since
// the upstreams may have become known before the table.
func (p *Proxy) SetTable(t *route.Table) {
	p.replaceTable(t)
	p.UpdateShare()
}

// replaceTable sets the table and drops the latency statistics of routes that it
// does not contain.
func (p *Proxy) replaceTable(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = t
	known := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		known[t.Routes[i].Name] = true
	}
	for name := range p.stats {
		if !known[name] {
			delete(p.stats, name)
		}
	}
}

// service returns what the table says of a service.
func (p *Proxy) service(name string) route.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return route.Service{Name: name}
	}
	return p.table.Service(name)
}

// SetUpstreams replaces the upstreams of all services by those of the view.
func (p *Proxy) SetUpstreams(v *roster.View) {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	share := p.LimitShare()
	for name, infos := range v.Services {
		g := p.group(name)
		g.update(p, infos, p.service(name), share)
	}
	for _, g := range p.allGroups() {
		if len(v.Services[g.name]) == 0 {
			g.update(p, nil, route.Service{}, share)
			p.Metrics.forget(g.name)
		}
	}
}

// group returns the group of a service, creating it if there is none.
func (p *Proxy) group(name string) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups == nil {
		p.groups = make(map[string]*group)
	}
	g := p.groups[name]
	if g == nil {
		g = &group{name: name}
		p.groups[name] = g
		g.setBudget(p.limits, p.LimitShare(), p.rampUp())
	}
	return g
}

// Upstreams returns the upstreams of all services.
func (p *Proxy) Upstreams() []*roster.Upstream {
	var out []*roster.Upstream
	for _, g := range p.allGroups() {
		for _, u := range g.list() {
			out = append(out, u.info)
		}
	}
	return out
}

func (p *Proxy) allGroups() []*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		out = append(out, g)
	}
	return out
}

// rampUp returns how this daemon's part of the limits grows after its start.
func (p *Proxy) rampUp() limit.RampUp {
	r := limit.RampUp{Started: p.started, Counted: p.started}
	if p.CountedSince != nil {
		r.Counted = p.CountedSince()
	}
	return r
}

// daemons returns the number of daemons by region, or nil if that is unknown.
func (p *Proxy) daemons() map[string]int {
	if p.Daemons == nil {
		return nil
	}
	return p.Daemons()
}
