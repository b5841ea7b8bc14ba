package hold

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/ring"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Times of the keeper.
const (
	turnEvery  = 100 * time.Millisecond // between two looks at what is to be done
	planEvery  = time.Second            // between two plans when nothing has changed
	storeEvery = 250 * time.Millisecond // between two looks at the records
	settleFor  = 2 * time.Second        // membership must be steady before blocks move
	warmEvery  = 10 * time.Second       // between two reminders of what is warm
	callWait   = 2 * time.Second        // for one call to a peer
	listFresh  = 5 * time.Second        // age up to which the VM list is good for a gift
)

// warmRing is the number of words on warm upstreams that may wait.
const warmRing = 256

// A Keeper owns the ledger of a daemon. Set the exported fields, then Start.
type Keeper struct {
	Self    Candidate
	Book    *conf.Book
	Relay   *relay.Relay
	Store   *store.Client
	Members func() []peer.Member
	Digest  func() uint64 // differs when the members do
	Say     func(leaving bool, blocks []permit.Block)
	Fleet   func(address string) wire.Fleet
	Listed  func(l store.VMs) // told of each list; may be nil
	Lister  func() bool       // whether this daemon reads the list often; nil means always
	Log     *event.Log

	mu       sync.Mutex
	ledger   *permit.Ledger
	giving   map[permit.Slot]string // blocks that are being drained, with their receivers
	asked    map[permit.Slot]bool   // gifts in the air
	leaving  bool
	list     store.VMs
	listAt   time.Time // zero while there is no list
	wantList bool      // a daemon was met that the list lacks
	steady   steady
	orphans  map[permit.Slot]time.Time // since when nobody seems to own a block
	warm     *ring.Ring[word]
	dirty    bool       // the relay must be told
	view     *conf.View // that the relay has in force
	wake     chan struct{}
	digest   uint64    // of the members that were planned with
	planAt   time.Time // plan again by then, whatever has changed

	duties kern.Group
}

// A word says that upstreams of a cell are warm.
type word struct {
	cell string
	warm []*wire.Warmth
}

// steady tells since when the candidates have been the same.
type steady struct {
	candidates []Candidate
	since      time.Time
}

// Init makes the keeper's ledger, so that calls can be answered before Start.
func (k *Keeper) Init() {
	k.ledger = permit.NewLedger(k.Self.Identity)
	k.giving = make(map[permit.Slot]string)
	k.asked = make(map[permit.Slot]bool)
	k.orphans = make(map[permit.Slot]time.Time)
	k.warm = ring.New[word](warmRing)
	k.wake = make(chan struct{}, 1)
	k.Relay.Warmed = k.warmed
}

// Start starts the keeper's duties.
func (k *Keeper) Start(ctx context.Context) error {
	ctx = k.duties.Begin(ctx, 3)
	go k.loop(ctx)
	go (&recorder{k}).loop(ctx)
	go (&notifier{k}).loop(ctx)
	return nil
}

// Stop ends the keeper's duties.
func (k *Keeper) Stop(context.Context) error {
	k.duties.Stop()
	return nil
}

// Leave gives all blocks away. It returns when none is left, when there is
// nobody to take them, or when ctx ends.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.dirty = true
	k.mu.Unlock()
	k.refreshList(ctx, 0)
	t := time.NewTicker(turnEvery)
	defer t.Stop()
	for {
		if k.empty() || k.alone() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// alone reports whether there is no daemon to give blocks to, and none that
// could still answer a gift.
func (k *Keeper) alone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.candidates(k.Book.View()) {
		if c.Identity != k.Self.Identity {
			return false
		}
	}
	down := make(map[string]bool)
	for _, m := range k.Members() {
		down[m.Identity] = m.Down
	}
	for _, g := range k.ledger.Gifts() {
		if !down[g.To] {
			return false
		}
	}
	return true
}

func (k *Keeper) empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ledger.Owned()) == 0 && len(k.ledger.Gifts()) == 0
}

// loop does what needs no store until ctx ends.
func (k *Keeper) loop(ctx context.Context) {
	defer k.duties.Done()
	t := time.NewTicker(turnEvery)
	defer t.Stop()
	for {
		k.turn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-k.wake:
		}
	}
}

// Wake makes the keeper look at the configuration now.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Revision returns the revision of the configuration that the relay has in force.
func (k *Keeper) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view == nil {
		return 0
	}
	return k.view.Revision
}

// turn takes what the records bring, plans gifts and tells the relay.
func (k *Keeper) turn(ctx context.Context) {
	view := k.Book.View()
	k.mu.Lock()
	k.take(view)
	if now, digest := time.Now(), k.Digest(); k.stale(view, digest, now) {
		k.plan(view, now)
		k.digest = digest
		k.planAt = now.Add(planEvery)
	}
	k.release()
	update := k.dirty || view != k.view
	k.dirty = false
	owned := k.ledger.Owned()
	giving := k.givingSlots()
	gifts := k.unasked()
	out := k.out(view)
	k.mu.Unlock()
	if update {
		k.Relay.Update(view, owned, giving)
		k.Say(out, owned)
		k.mu.Lock()
		k.view = view
		k.mu.Unlock()
	}
	for _, g := range gifts {
		k.duties.Add()
		go (&errand{keeper: k, gift: g}).run(ctx)
	}
}

// stale reports whether there may be something new to plan.
func (k *Keeper) stale(view *conf.View, digest uint64, now time.Time) bool {
	return k.dirty || k.leaving || view != k.view || digest != k.digest || !now.Before(k.planAt)
}

// out reports whether this daemon gets no new work.
func (k *Keeper) out(view *conf.View) bool {
	return k.leaving || view.VMOut(peer.Address(k.Self.Identity), k.Self.Domain)
}

func (k *Keeper) take(view *conf.View) {
	if view == k.view {
		return
	}
	for _, c := range cells(view) {
		for i, b := range c.Blocks {
			block := permit.Block{
				Slot: permit.Slot{Cell: c.Name, Index: i},
				Turn: permit.Turn{Epoch: b.Epoch, Hop: b.Hop},
			}
			if k.ledger.Record(block, b.Owner) {
				k.dirty = true
				k.Log.Emit(event.BlockTaken, event.Fields{Step: "record", Detail: slotName(block.Slot)})
			}
		}
	}
}

// cells returns all cells of a view.
func cells(view *conf.View) []*conf.Cell {
	var out []*conf.Cell
	for i := range view.Services {
		for j := range view.Services[i].Layouts {
			l := &view.Services[i].Layouts[j]
			for g := range l.Cells {
				out = append(out, &l.Cells[g])
			}
		}
	}
	return out
}

// plan chooses the blocks that should move, and begins to drain them.
func (k *Keeper) plan(view *conf.View, now time.Time) {
	candidates := k.candidates(view)
	if !slices.Equal(candidates, k.steady.candidates) {
		k.steady = steady{candidates: candidates, since: now}
	}
	if !k.out(view) && now.Sub(k.steady.since) < settleFor {
		return
	}
	has := k.counts()
	for _, b := range k.ledger.Owned() {
		if _, ok := k.giving[b.Slot]; ok || len(k.givingOf(b.Cell)) > 0 {
			continue
		}
		owners := Owners(b.Cell, k.blocks(view, b.Cell), candidates)
		to := Target(k.Self.Identity, owners, func(id string) int { return has[holding{id, b.Cell}] })
		if to == "" || to == k.Self.Identity || !k.lists(to) {
			continue
		}
		k.giving[b.Slot] = to
		k.dirty = true
	}
}

// lists reports whether the platform lists a daemon, as far as is known here. If
// not, the list is read again soon.
func (k *Keeper) lists(identity string) bool {
	listed := k.list.Has(identity)
	k.wantList = k.wantList || !listed
	return listed
}

// holding names a daemon's part of a cell.
type holding struct {
	identity string
	cell     string
}

// counts returns how many blocks of each cell the daemons say they own.
func (k *Keeper) counts() map[holding]int {
	has := make(map[holding]int)
	for _, m := range k.Members() {
		if m.Identity == k.Self.Identity {
			continue
		}
		for _, b := range m.Blocks {
			has[holding{m.Identity, b.Cell}]++
		}
	}
	for _, b := range k.ledger.Owned() {
		has[holding{k.Self.Identity, b.Cell}]++
	}
	return has
}

// candidates returns the daemons that take new work. They are not compared with
// the VM list: daemons that go by lists of different age must agree on them, or
// blocks would move to and fro.
func (k *Keeper) candidates(view *conf.View) []Candidate {
	var out []Candidate
	for _, m := range k.Members() {
		if m.Identity == k.Self.Identity && k.out(view) {
			continue
		}
		if m.Live() && !view.VMOut(peer.Address(m.Identity), m.Domain) {
			out = append(out, Candidate{Identity: m.Identity, Domain: m.Domain})
		}
	}
	return out
}

func (k *Keeper) blocks(view *conf.View, cell string) int {
	for _, c := range cells(view) {
		if c.Name == cell {
			return max(len(c.Blocks), 1)
		}
	}
	return 1
}

// Fence answers a daemon that wants to reissue a block.
func (k *Keeper) Fence(_ context.Context, req *wire.FenceRequest) (*wire.FenceReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, owned := k.ledger.Fence(permit.Slot{Cell: req.Cell, Index: int(req.Index)}, req.Epoch)
	return &wire.FenceReply{
		Identity: k.Self.Identity,
		Owned:    owned,
		Block:    peer.EncodeBlock(b),
		Listed:   k.list.Version,
	}, nil
}

// Owned returns the owned blocks.
func (k *Keeper) Owned() []permit.Block {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Owned()
}

func slotName(s permit.Slot) string {
	return s.Cell + "/" + string(rune('0'+s.Index))
}
