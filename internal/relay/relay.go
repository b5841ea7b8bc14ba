// Package relay talks to upstreams on behalf of entries. It holds cells: groups
// of shards with all their replicas, of whose permits it owns some blocks.
package relay

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// probeEvery is the time between two looks at upstreams that are not known.
const probeEvery = 500 * time.Millisecond

// A Relay serves the shards of the cells that its daemon holds. Use New to
// make one.
type Relay struct {
	Policy  Policy
	Book    *conf.Book
	Dial    search.Dialer
	Warmed  func(cell string, warm []*wire.Warmth) // told when an upstream has become warm; may be nil
	Observe func(o Outcome)                        // told of every part; may be nil

	mu     sync.Mutex
	cells  map[string]*cell
	owned  []permit.Block
	view   *conf.View
	work   tally // requests to upstreams
	duties kern.Group
}

// An Outcome is what came of one part.
type Outcome struct {
	Class   string
	Service string
	Cause   search.Cause // empty for a good reply
	Took    time.Duration
	Sent    int // requests sent
}

// A cell is what the relay knows of one group of shards.
type cell struct {
	name    string
	service string
	layout  int
	group   int
	first   int // number of the first shard
	blocks  int // blocks that the cell's permits are split into
	shards  []*shard
}

// Start starts the probes of upstreams.
func (r *Relay) Start(ctx context.Context) error {
	ctx = r.duties.Begin(ctx, 1)
	go r.loop(ctx)
	return nil
}

// Stop waits until no request is in the air, or ctx ends, and closes all
// connections.
func (r *Relay) Stop(ctx context.Context) error {
	r.duties.Stop()
	idle := &idler{work: &r.work, done: make(chan struct{})}
	go idle.run()
	select {
	case <-idle.done:
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

// An idler waits for work to end.
type idler struct {
	work *tally
	done chan struct{}
}

func (i *idler) run() {
	i.work.Wait()
	close(i.done)
}

// loop looks at upstreams until ctx ends.
func (r *Relay) loop(ctx context.Context) {
	defer r.duties.Done()
	t := time.NewTicker(probeEvery)
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

// Update takes in the configuration and the owned blocks. Blocks in giving are
// still owned, but no new work may use them.
func (r *Relay) Update(view *conf.View, owned []permit.Block, giving []permit.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view
	r.owned = without(owned, giving)
	if r.cells == nil {
		r.cells = make(map[string]*cell)
	}
	seen := make(map[string]bool)
	for _, b := range owned {
		seen[b.Cell] = true
	}
	for i := range view.Services {
		for j := range view.Services[i].Layouts {
			r.updateLayout(&view.Services[i].Layouts[j], seen)
		}
	}
	for name, c := range r.cells {
		if !seen[name] {
			c.close()
			delete(r.cells, name)
		}
	}
}

func without(owned []permit.Block, giving []permit.Slot) []permit.Block {
	var out []permit.Block
	for _, b := range owned {
		keep := true
		for _, g := range giving {
			keep = keep && g != b.Slot
		}
		if keep {
			out = append(out, b)
		}
	}
	return out
}

func (r *Relay) updateLayout(l *conf.Layout, seen map[string]bool) {
	for g := range l.Cells {
		cc := &l.Cells[g]
		if !seen[cc.Name] {
			continue
		}
		c := r.cells[cc.Name]
		if c == nil {
			c = r.newCell(l, cc)
			r.cells[cc.Name] = c
		}
		hold := holding(r.owned, cc.Name, c.blocks)
		for i, s := range c.shards {
			s.update(cc.Shards[i].Ups, hold)
		}
	}
}

func (r *Relay) newCell(l *conf.Layout, cc *conf.Cell) *cell {
	c := &cell{name: cc.Name, service: l.Service, layout: l.Number, group: cc.Group, first: cc.First, blocks: blocks(l, cc)}
	for _, s := range cc.Shards {
		c.shards = append(c.shards, newShard(s.Number, r.Dial, &r.Policy, r.warmed(cc.Name)))
	}
	return c
}

// blocks returns how many blocks the cell has: as recorded, for a record may be
// older than the layout's wish.
func blocks(l *conf.Layout, cc *conf.Cell) int {
	if len(cc.Blocks) > 0 {
		return len(cc.Blocks)
	}
	return l.Blocks
}

// warmed returns the hook that a shard calls, with its mutex held, when an
// upstream has become warm.
func (r *Relay) warmed(cell string) func(address, start string) {
	return func(address, start string) {
		if r.Warmed != nil {
			r.Warmed(cell, []*wire.Warmth{{Upstream: address, Start: start}})
		}
	}
}

// holding returns what the owned blocks of a cell allow at each upstream.
func holding(owned []permit.Block, cell string, blocks int) func(*conf.Upstream) permits {
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
			p.first = p.first || i == u.Replica%blocks
		}
		return p
	}
}

// Within reports whether the connections of a cell fit without a block, so
// that the block can be given away.
func (r *Relay) Within(slot permit.Slot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cells[slot.Cell]
	if c == nil {
		return true
	}
	hold := holding(r.owned, c.name, c.blocks)
	for _, s := range c.shards {
		if !s.within(hold) {
			return false
		}
	}
	return true
}

// Told takes in another holder's word on warm upstreams.
func (r *Relay) Told(warm []*wire.Warmth) {
	for _, c := range r.held() {
		for _, w := range warm {
			for _, s := range c.shards {
				s.told(w.Upstream, w.Start)
			}
		}
	}
}

// Warm returns the warm upstreams of a cell; only those of which this daemon
// has the First right unless all.
func (r *Relay) Warm(name string, all bool) []*wire.Warmth {
	c := r.cell(name)
	if c == nil {
		return nil
	}
	var out []*wire.Warmth
	now := time.Now()
	for _, s := range c.shards {
		for _, w := range s.warm(now) {
			if all || w.first {
				out = append(out, &wire.Warmth{Upstream: w.address, Start: w.start})
			}
		}
	}
	return out
}

func (r *Relay) cell(name string) *cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cells[name]
}

func (r *Relay) held() []*cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*cell, 0, len(r.cells))
	for _, c := range r.cells {
		out = append(out, c)
	}
	return out
}

// selector returns the caller class's selector as far as it is known here.
func (r *Relay) selector(class string) *object.Selector {
	if s := r.Book.View().Selector(class); s != nil {
		return s
	}
	return &object.Selector{Caller: class, Tries: 1}
}

func (c *cell) close() {
	for _, s := range c.shards {
		s.close()
	}
}

// span returns the versions that every shard can serve; shards of which
// nothing is known do not count.
func (c *cell) span() (oldest, newest uint64) {
	for _, s := range c.shards {
		o, n := s.span()
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
