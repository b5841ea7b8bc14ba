// Package relay sends shard requests to upstreams, on behalf of the daemons that
// callers talk to (entries). It serves cells. A cell is a group of consecutive
// shards with all their replicas. The connections that the cell's upstreams
// accept, called permits, are split into blocks, and a daemon uses only its share:
// that of the blocks that it owns.
package relay

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// probeInterval is the time between two checks for upstreams that need a probe.
const probeInterval = 500 * time.Millisecond

// A Relay serves the shards of the cells of which its daemon owns blocks. Set the
// exported fields before Start. Its methods are safe for concurrent use.
type Relay struct {
	Policy  Policy
	Config  *conf.Config                           // configuration, for the callers' selectors
	Dial    search.Dialer                          // opens connections to upstreams
	OnWarm  func(cell string, warm []*wire.Warmth) // called when an upstream has become warm, with its shard locked; may be nil
	Observe func(o Outcome)                        // called after each shard request; may be nil

	mu         sync.Mutex
	cells      map[string]*cell
	owned      []permit.Block // without the blocks that are to be transferred
	view       *conf.View
	wg         waitGroup // attempts and probes in flight
	goroutines kernel.Group
}

// An Outcome is the result of one shard request.
type Outcome struct {
	Class   string
	Service string
	Cause   search.Cause // empty if it succeeded
	Took    time.Duration
	Sent    int // attempts, with retries and hedges
}

// A cell is the state of one cell.
type cell struct {
	name    string
	service string
	layout  int
	group   int
	first   int // number of the first shard
	blocks  int // number of blocks that the cell's permits are split into
	shards  []*shard
}

// Start starts to probe upstreams in the background. It always returns nil.
func (r *Relay) Start(ctx context.Context) error {
	ctx = r.goroutines.Begin(ctx, 1)
	go r.loop(ctx)
	return nil
}

// Stop ends the probes, waits until no attempt is in flight or ctx ends, and
// closes all connections; those in use are closed after their request. It returns
// ctx.Err().
func (r *Relay) Stop(ctx context.Context) error {
	r.goroutines.Stop()
	drained := &drainWaiter{wg: &r.wg, done: make(chan struct{})}
	go drained.run()
	select {
	case <-drained.done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cells {
		c.close()
	}
	r.cells = nil
	return ctx.Err()
}

// A drainWaiter waits until wg is empty, and then closes done.
type drainWaiter struct {
	wg   *waitGroup
	done chan struct{}
}

func (w *drainWaiter) run() {
	w.wg.Wait()
	close(w.done)
}

// loop probes upstreams until ctx ends.
func (r *Relay) loop(ctx context.Context) {
	defer r.goroutines.Done()
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		r.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Update sets the configuration and the owned blocks. Blocks in outgoing are
// still owned but are to be transferred, so no new attempt may use them.
func (r *Relay) Update(view *conf.View, owned []permit.Block, outgoing []permit.BlockID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view
	r.owned = exclude(owned, outgoing)
	if r.cells == nil {
		r.cells = make(map[string]*cell)
	}
	ownedCells := make(map[string]bool)
	for _, b := range owned {
		ownedCells[b.Cell] = true
	}
	for i := range view.Services {
		for j := range view.Services[i].Layouts {
			r.updateLayout(&view.Services[i].Layouts[j], ownedCells)
		}
	}
	for name, c := range r.cells {
		if !ownedCells[name] {
			c.close()
			delete(r.cells, name)
		}
	}
}

// exclude returns the owned blocks that are not in outgoing.
func exclude(owned []permit.Block, outgoing []permit.BlockID) []permit.Block {
	var out []permit.Block
	for _, b := range owned {
		keep := true
		for _, g := range outgoing {
			keep = keep && g != b.BlockID
		}
		if keep {
			out = append(out, b)
		}
	}
	return out
}

// updateLayout updates the owned cells of one layout, and makes those that are
// new.
func (r *Relay) updateLayout(l *conf.Layout, ownedCells map[string]bool) {
	for g := range l.Cells {
		cc := &l.Cells[g]
		if !ownedCells[cc.Name] {
			continue
		}
		c := r.cells[cc.Name]
		if c == nil {
			c = r.newCell(l, cc)
			r.cells[cc.Name] = c
		}
		permitsOf := permitsFor(r.owned, cc.Name, c.blocks)
		for i, s := range c.shards {
			s.update(cc.Shards[i].Upstreams, permitsOf)
		}
	}
}

func (r *Relay) newCell(l *conf.Layout, cc *conf.Cell) *cell {
	c := &cell{name: cc.Name, service: l.Service, layout: l.Number, group: cc.Group, first: cc.FirstShard, blocks: numBlocks(l, cc)}
	for _, s := range cc.Shards {
		c.shards = append(c.shards, newShard(s.Number, r.Dial, &r.Policy, r.warmHook(cc.Name)))
	}
	return c
}

// numBlocks returns the number of blocks of a cell. That of the stored record
// goes first, because the record may be older than the number in the layout.
func numBlocks(l *conf.Layout, cc *conf.Cell) int {
	if len(cc.Blocks) > 0 {
		return len(cc.Blocks)
	}
	return l.Blocks
}

// warmHook returns the function that a shard calls, with its mutex held, when an
// upstream has become warm.
func (r *Relay) warmHook(cell string) func(address, start string) {
	return func(address, start string) {
		if r.OnWarm != nil {
			r.OnWarm(cell, []*wire.Warmth{{Upstream: address, Start: start}})
		}
	}
}

// permitsFor returns a function that returns the permits which the owned blocks
// give for an upstream of the cell. Only the owner of the block whose index is the
// upstream's replica number modulo blocks may send to the upstream while it is
// cold.
func permitsFor(owned []permit.Block, cell string, blocks int) func(*conf.Upstream) permits {
	var indexes []int
	for _, b := range owned {
		if b.Cell == cell && b.Index < blocks {
			indexes = append(indexes, b.Index)
		}
	}
	return func(u *conf.Upstream) permits {
		var p permits
		for _, i := range indexes {
			p.max += permit.Share(u.Conns, i, blocks)
			p.allowCold = p.allowCold || i == u.Replica%blocks
		}
		return p
	}
}

// FitsWithout reports whether no upstream of the slot's cell has more
// connections than the owned blocks without the outgoing ones allow. Then an
// outgoing block at that slot can be transferred.
func (r *Relay) FitsWithout(slot permit.BlockID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cells[slot.Cell]
	if c == nil {
		return true
	}
	permitsOf := permitsFor(r.owned, c.name, c.blocks)
	for _, s := range c.shards {
		if !s.fits(permitsOf) {
			return false
		}
	}
	return true
}

// RecordWarm records warm upstreams that another daemon of the cell reported.
func (r *Relay) RecordWarm(warm []*wire.Warmth) {
	for _, c := range r.allCells() {
		for _, w := range warm {
			for _, s := range c.shards {
				s.recordWarm(w.Upstream, w.Start)
			}
		}
	}
}

// WarmUpstreams returns the warm upstreams of a cell. Unless all is set, it
// returns only those that this daemon may use while they are cold.
func (r *Relay) WarmUpstreams(name string, all bool) []*wire.Warmth {
	c := r.cell(name)
	if c == nil {
		return nil
	}
	var out []*wire.Warmth
	now := time.Now()
	for _, s := range c.shards {
		for _, w := range s.warmUpstreams(now) {
			if all || w.allowCold {
				out = append(out, &wire.Warmth{Upstream: w.address, Start: w.start})
			}
		}
	}
	return out
}

// cell returns the cell with that name, or nil if the daemon owns no block of it.
func (r *Relay) cell(name string) *cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cells[name]
}

// allCells returns all cells, in no particular order.
func (r *Relay) allCells() []*cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*cell, 0, len(r.cells))
	for _, c := range r.cells {
		out = append(out, c)
	}
	return out
}

// selector returns the selector of a caller class, or one that allows a single
// attempt if the class is unknown to this daemon.
func (r *Relay) selector(class string) *object.Selector {
	if s := r.Config.View().Selector(class); s != nil {
		return s
	}
	return &object.Selector{Caller: class, MaxAttempts: 1}
}

func (c *cell) close() {
	for _, s := range c.shards {
		s.close()
	}
}

// versionRange returns the oldest and the newest version that every shard can
// serve. Shards whose versions are unknown are left out.
func (c *cell) versionRange() (oldest, newest uint64) {
	for _, s := range c.shards {
		o, n := s.versionRange()
		if n == 0 {
			continue
		}
		oldest = max(oldest, o)
		if newest == 0 || n < newest {
			newest = n
		}
	}
	return oldest, newest
}
