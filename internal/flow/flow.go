// Package flow serves requests: it admits them, sends them or their parts to
// replicas, hedges and retries within limits, and makes one answer.
package flow

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/pick"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// Bounds are the limits that all daemons keep together.
type Bounds struct {
	Ratio     float64       // extra requests for each first one, of each service
	Slack     float64       // extra requests on top in each window
	Window    time.Duration // of Ratio and Slack
	ColdTimes float64       // a cold upstream gets at most so many times its rate,
	ColdSlack float64       // and so many requests a second on top
}

// A Request is what a caller asks.
type Request struct {
	Payload *link.Payload
	Table   *route.Table
	Route   *route.Route
	Arrived time.Time
	Due     time.Time // the caller's deadline or the route's timeout, whichever is sooner
}

// pressing returns when a late request presses: it may fail if it went on
// waiting behind all that can be in time.
func (q *Request) pressing() time.Time {
	return q.Arrived.Add(time.Duration(pressShare * float64(q.Due.Sub(q.Arrived))))
}

// A Kind says what an Answer is.
type Kind int

// Kinds of answers.
const (
	Served  Kind = iota // a success
	Relayed             // an upstream's failure, to be passed on unchanged
	Refused             // the request has not run and never will
	Lost                // the request may have run, and there is no answer
	Late                // the deadline came first
	Gone                // the caller left
)

// String returns the kind in a word.
func (k Kind) String() string {
	return [...]string{"served", "relayed", "refused", "lost", "late", "gone"}[k]
}

// An Answer is what the caller gets.
type Answer struct {
	Kind   Kind
	Status int // of a served or relayed answer
	Header http.Header
	Body   []byte
	Proofs []string      // of the parts of a gathered answer
	Missed int           // shards that are left out of a gathered answer
	Again  time.Duration // when a refused caller is best back
	Reason string        // why it is not a whole success
}

// A Flow serves requests. Set the exported fields, then Start.
type Flow struct {
	Domain  string // failure domain of this daemon
	Region  string
	Codec   *link.Codec
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Share   func() float64        // this daemon's part of the limits that all share, from 0 to 1
	Daemons func() map[string]int // daemons by region; nil if that is unknown
	Memory  int64                 // bytes that the process may use; 0 sets no bound
	Log     *event.Log
	Meter   *Meter // may be nil

	mu     sync.Mutex
	bounds Bounds
	groups map[string]*group // by service
	stats  map[string]*stat  // by route
	table  *route.Table
	base   context.Context // ends when the flow stops
	born   time.Time       // when it started
	split  route.Splitter
	legs   atomic.Int64 // parts of requests in work
	duties kern.Duties
}

// A group is the upstreams of one service.
type group struct {
	name  string
	extra limit.WindowBudget

	mu      sync.Mutex
	targets []*target
	line    line
}

// Start makes the flow ready to serve.
func (f *Flow) Start(ctx context.Context) error {
	f.base = f.duties.Begin(ctx, 1)
	f.born = time.Now()
	go f.loop(f.base)
	return nil
}

// Stop ends all work and closes all connections.
func (f *Flow) Stop(context.Context) error {
	f.duties.End()
	f.Update(&roster.View{})
	return nil
}

// tidyEvery is the time between two looks at idle connections.
const tidyEvery = 500 * time.Millisecond

// loop closes connections that have been idle for too long, until ctx ends.
func (f *Flow) loop(ctx context.Context) {
	defer f.duties.Done()
	t := time.NewTicker(tidyEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.tidy()
		}
	}
}

func (f *Flow) tidy() {
	f.Reshare()
	now := time.Now()
	for _, g := range f.all() {
		for _, t := range g.list() {
			t.pool.Trim(now)
		}
	}
}

// Reshare takes in that this daemon's part of the shared limits has changed.
func (f *Flow) Reshare() {
	share := f.Share()
	for _, g := range f.all() {
		g.share(f.limits(), share)
		g.spread(f.service(g.name), share)
	}
}

// Limit changes the bounds.
func (f *Flow) Limit(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds = b
}

func (f *Flow) limits() Bounds {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bounds
}

// Configure takes in a new table. What it says of upstreams holds at once: they
// may be known already, without their limits.
func (f *Flow) Configure(t *route.Table) {
	f.adopt(t)
	f.Reshare()
}

func (f *Flow) adopt(t *route.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
	known := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		known[t.Routes[i].Name] = true
	}
	for name := range f.stats {
		if !known[name] {
			delete(f.stats, name)
		}
	}
}

func (f *Flow) service(name string) route.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return route.Service{Name: name}
	}
	return f.table.Service(name)
}

// Update takes in a new view of the upstreams.
func (f *Flow) Update(v *roster.View) {
	share := f.Share()
	for name, ups := range v.Services {
		g := f.group(name)
		g.update(f, ups, f.service(name), share)
	}
	for _, g := range f.all() {
		if len(v.Services[g.name]) == 0 {
			g.update(f, nil, route.Service{}, share)
			f.Meter.forget(g.name)
		}
	}
}

// group returns the group of a service, made if need be.
func (f *Flow) group(name string) *group {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.groups == nil {
		f.groups = make(map[string]*group)
	}
	g := f.groups[name]
	if g == nil {
		g = &group{name: name}
		f.groups[name] = g
		g.share(f.bounds, f.Share())
	}
	return g
}

func (f *Flow) all() []*group {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*group, 0, len(f.groups))
	for _, g := range f.groups {
		out = append(out, g)
	}
	return out
}

// spare is the part of a shared limit that is used: what a daemon counts when a
// request leaves is counted by others when it arrives.
const spare = 0.85

// coldWindow is the time in which the requests to a cold upstream are bounded.
const coldWindow = time.Second

// coldPart returns the part of a cold upstream's rate that all daemons use. One
// that has just started can't know what it sent before it was killed: until
// that no longer counts, it uses what was left over.
func (f *Flow) coldPart(now time.Time) float64 {
	if now.Sub(f.born) < coldWindow {
		return 1 - spare
	}
	return spare
}

// share sets this daemon's part of the service's extra requests.
func (g *group) share(b Bounds, share float64) {
	g.extra.Set(spare*b.Ratio, spare*b.Slack*share, b.Window)
}

// spread sets this daemon's part of the limits of each upstream.
func (g *group) spread(s route.Service, share float64) {
	all := g.list()
	if len(all) == 0 {
		return
	}
	near := users(all, all[0].flow.daemons())
	for _, t := range all {
		t.share(s, share, near[t.up.Region])
	}
}

// users returns how many daemons use the upstreams of each region: its own
// ones, and those of regions that have none, which may come to any.
func users(all []*target, daemons map[string]int) map[string]int {
	out := make(map[string]int)
	for _, t := range all {
		out[t.up.Region] = daemons[t.up.Region]
	}
	strangers := 0
	for region, n := range daemons {
		if _, ok := out[region]; !ok {
			strangers += n
		}
	}
	for region := range out {
		out[region] += strangers
	}
	return out
}

// daemons returns the number of daemons by region.
func (f *Flow) daemons() map[string]int {
	if f.Daemons == nil {
		return nil
	}
	return f.Daemons()
}

func (g *group) list() []*target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targets
}

// update takes in the upstreams of the service.
func (g *group) update(f *Flow, ups []*roster.Upstream, s route.Service, share float64) {
	g.mu.Lock()
	next := make([]*target, 0, len(ups))
	for _, u := range ups {
		t := g.find(u)
		if t == nil {
			t = newTarget(f, g, u)
		}
		t.rep.SetCold(u.ColdUntil)
		next = append(next, t)
	}
	var gone []*target
	for _, t := range g.targets {
		if !contains(next, t) {
			gone = append(gone, t)
		}
	}
	g.targets = next
	g.mu.Unlock()
	g.spread(s, share)
	for _, t := range gone {
		t.close()
	}
	g.line.wakeAll()
}

// find returns the target of an upstream. One that started anew under its old
// ID is another one: nothing known of it holds any more.
func (g *group) find(u *roster.Upstream) *target {
	for _, t := range g.targets {
		if t.up.ID == u.ID && t.up.Address == u.Address && t.up.StartMs == u.StartMs {
			return t
		}
	}
	return nil
}

func contains(all []*target, t *target) bool {
	for _, o := range all {
		if o == t {
			return true
		}
	}
	return false
}

func newTarget(f *Flow, g *group, u *roster.Upstream) *target {
	t := &target{
		up:    u,
		flow:  f,
		group: g,
		rep:   &pick.Replica{Slots: u.Slots},
		pool:  &link.Pool{Address: u.Address, ID: u.ID, Codec: f.Codec, Dial: f.Dial},
	}
	t.ctx, t.cancel = context.WithCancel(f.base)
	return t
}
