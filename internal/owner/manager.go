package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/ring"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Intervals and timeouts of the manager.
const (
	loopInterval  = 100 * time.Millisecond // between reconciliations
	planInterval  = time.Second            // between plans if nothing has changed
	storeInterval = 250 * time.Millisecond // between updates of the records, before jitter
	stableTime    = 2 * time.Second        // how long candidates must be unchanged before blocks move
	warmInterval  = 10 * time.Second       // between full reports of warm upstreams to co-owners
	callTimeout   = 2 * time.Second        // of one call to a peer
)

// maxWarmUpdates is the number of queued updates; the oldest are dropped.
const maxWarmUpdates = 256

// A Manager manages the blocks that a daemon owns. Set the exported fields, then
// call Init and Start. The other methods may be called concurrently.
type Manager struct {
	Self          Candidate    // this daemon
	Config        *conf.Config // configuration, including ownership records
	Relay         *relay.Relay
	Store         *store.Client
	Members       func() []peer.Member
	MembersDigest func() uint64                             // changes whenever Members does
	Announce      func(leaving bool, blocks []permit.Block) // tells the fleet about this daemon
	Peer          func(address string) wire.Fleet           // returns the client of a peer
	OnList        func(l store.VMs)                         // called with the VM list after each read; may be nil
	PollsList     func() bool                               // whether to read the VM list every listInterval; nil means true
	Log           *event.Log

	mu            sync.Mutex
	ledger        *permit.Ledger
	draining      map[permit.BlockID]string // receivers of the blocks that are being drained
	inFlight      map[permit.BlockID]bool   // transfers that are being sent
	leaving       bool
	vmList        store.VMs
	listReadAt    time.Time // when vmList was last confirmed; zero before the first read
	needList      bool      // a daemon is missing from vmList, so read it again soon
	stable        stableSet
	orphanSince   map[permit.BlockID]time.Time // when a block was first seen without an owner
	warmUpdates   *ring.Ring[warmUpdate]
	dirty         bool       // the relay must be updated
	applied       *conf.View // configuration that the relay has in force
	wake          chan struct{}
	plannedDigest uint64    // members digest of the last plan
	nextPlan      time.Time // when to plan again even if nothing has changed

	goroutines kernel.Group
}

// A warmUpdate reports warm upstreams of a cell.
type warmUpdate struct {
	cell      string
	upstreams []*wire.Warmth
}

// A stableSet is a set of candidates and when it last changed.
type stableSet struct {
	candidates []Candidate
	since      time.Time
}

// Init creates the ledger, so that Give and Fence can be served before Start. It
// also sets the relay's OnWarm hook.
func (m *Manager) Init() {
	m.ledger = permit.NewLedger(m.Self.Identity)
	m.draining = make(map[permit.BlockID]string)
	m.inFlight = make(map[permit.BlockID]bool)
	m.orphanSince = make(map[permit.BlockID]time.Time)
	m.warmUpdates = ring.New[warmUpdate](maxWarmUpdates)
	m.wake = make(chan struct{}, 1)
	m.Relay.OnWarm = m.queueWarm
}

// Start starts the manager's goroutines.
func (m *Manager) Start(ctx context.Context) error {
	ctx = m.goroutines.Begin(ctx, 3)
	go m.loop(ctx)
	go (&recorder{m}).loop(ctx)
	go (&notifier{m}).loop(ctx)
	return nil
}

// Stop stops the manager's goroutines and waits for them.
func (m *Manager) Stop(context.Context) error {
	m.goroutines.Stop()
	return nil
}

// TransferAll takes this daemon out of rotation and transfers all its blocks. It
// returns nil when no block is left or no daemon can take them, and ctx.Err() if
// ctx ends first.
func (m *Manager) TransferAll(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.dirty = true
	m.mu.Unlock()
	m.refreshList(ctx, 0)
	t := time.NewTicker(loopInterval)
	defer t.Stop()
	for {
		if m.ownsNothing() || m.noReceiver() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// noReceiver reports whether there is no daemon to transfer blocks to, and none
// that could still reply to a pending transfer.
func (m *Manager) noReceiver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.candidates(m.Config.View()) {
		if c.Identity != m.Self.Identity {
			return false
		}
	}
	down := make(map[string]bool)
	for _, member := range m.Members() {
		down[member.Identity] = member.Down
	}
	for _, t := range m.ledger.Transfers() {
		if !down[t.To] {
			return false
		}
	}
	return true
}

// ownsNothing reports whether no block is owned and no transfer is pending.
func (m *Manager) ownsNothing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ledger.Owned()) == 0 && len(m.ledger.Transfers()) == 0
}

// loop reconciles until ctx ends. It does not use the store, which may be slow or
// down.
func (m *Manager) loop(ctx context.Context) {
	defer m.goroutines.Done()
	t := time.NewTicker(loopInterval)
	defer t.Stop()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.wake:
		}
	}
}

// Wake makes the manager reconcile now, for instance after a new configuration.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// AppliedRevision returns the revision of the configuration that the relay has in
// force, or 0 if there is none.
func (m *Manager) AppliedRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.applied == nil {
		return 0
	}
	return m.applied.Revision
}

// reconcile applies new ownership records, plans and sends transfers, and updates
// the relay and the announced state after changes.
func (m *Manager) reconcile(ctx context.Context) {
	view := m.Config.View()
	m.mu.Lock()
	m.applyRecords(view)
	if now, digest := time.Now(), m.MembersDigest(); m.needsPlan(view, digest, now) {
		m.planTransfers(view, now)
		m.plannedDigest = digest
		m.nextPlan = now.Add(planInterval)
	}
	m.startTransfers()
	update := m.dirty || view != m.applied
	m.dirty = false
	owned := m.ledger.Owned()
	draining := m.drainingIDs()
	transfers := m.unsentTransfers()
	outOfRotation := m.outOfRotation(view)
	m.mu.Unlock()
	if update {
		m.Relay.Update(view, owned, draining)
		m.Announce(outOfRotation, owned)
		m.mu.Lock()
		m.applied = view
		m.mu.Unlock()
	}
	for _, t := range transfers {
		m.goroutines.Add()
		go (&transferCall{manager: m, transfer: t}).run(ctx)
	}
}

// needsPlan reports whether anything may have changed since the last plan, or it
// is due again.
func (m *Manager) needsPlan(view *conf.View, digest uint64, now time.Time) bool {
	return m.dirty || m.leaving || view != m.applied || digest != m.plannedDigest || !now.Before(m.nextPlan)
}

// outOfRotation reports whether this daemon is to get no new work.
func (m *Manager) outOfRotation(view *conf.View) bool {
	return m.leaving || view.ExcludesVM(peer.Address(m.Self.Identity), m.Self.Domain)
}

// applyRecords applies the ownership records of a new configuration.
func (m *Manager) applyRecords(view *conf.View) {
	if view == m.applied {
		return
	}
	for _, c := range cells(view) {
		for i, b := range c.Blocks {
			block := permit.Block{
				BlockID: permit.BlockID{Cell: c.Name, Index: i},
				Term:    permit.Term{Epoch: b.Epoch, Hop: b.Hop},
			}
			if m.ledger.ApplyRecord(block, b.Owner) {
				m.dirty = true
				m.Log.Emit(event.BlockTaken, event.Fields{Step: "record", Detail: blockName(block.BlockID)})
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

// planTransfers chooses blocks to transfer and starts draining them, at most one
// of each cell at a time.
func (m *Manager) planTransfers(view *conf.View, now time.Time) {
	candidates := m.candidates(view)
	if !slices.Equal(candidates, m.stable.candidates) {
		m.stable = stableSet{candidates: candidates, since: now}
	}
	if !m.outOfRotation(view) && now.Sub(m.stable.since) < stableTime {
		return
	}
	counts := m.blockCounts()
	for _, b := range m.ledger.Owned() {
		if _, ok := m.draining[b.BlockID]; ok || len(m.drainingIn(b.Cell)) > 0 {
			continue
		}
		owners := Owners(b.Cell, m.blockCount(view, b.Cell), candidates)
		receiver := TransferTarget(m.Self.Identity, owners, func(id string) int { return counts[memberCell{id, b.Cell}] })
		if receiver == "" || receiver == m.Self.Identity || !m.isListed(receiver) {
			continue
		}
		m.draining[b.BlockID] = receiver
		m.dirty = true
	}
}

// isListed reports whether the last known VM list has a daemon. If not, the list
// is read again soon.
func (m *Manager) isListed(identity string) bool {
	listed := m.vmList.Contains(identity)
	m.needList = m.needList || !listed
	return listed
}

// A memberCell identifies a member's blocks of a cell.
type memberCell struct {
	identity string
	cell     string
}

// blockCounts returns how many blocks of each cell the members report to own.
func (m *Manager) blockCounts() map[memberCell]int {
	counts := make(map[memberCell]int)
	for _, member := range m.Members() {
		if member.Identity == m.Self.Identity {
			continue
		}
		for _, b := range member.Blocks {
			counts[memberCell{member.Identity, b.Cell}]++
		}
	}
	for _, b := range m.ledger.Owned() {
		counts[memberCell{m.Self.Identity, b.Cell}]++
	}
	return counts
}

// candidates returns the live daemons in rotation. It does not consult the VM
// list: daemons may have lists of different age and must still agree on the
// candidates, or blocks would move back and forth.
func (m *Manager) candidates(view *conf.View) []Candidate {
	var out []Candidate
	for _, member := range m.Members() {
		if member.Identity == m.Self.Identity && m.outOfRotation(view) {
			continue
		}
		if member.Live() && !view.ExcludesVM(peer.Address(member.Identity), member.Domain) {
			out = append(out, Candidate{Identity: member.Identity, Domain: member.Domain})
		}
	}
	return out
}

// blockCount returns the number of blocks in a cell's record, at least 1.
func (m *Manager) blockCount(view *conf.View, cell string) int {
	for _, c := range cells(view) {
		if c.Name == cell {
			return max(len(c.Blocks), 1)
		}
	}
	return 1
}

// Fence serves the Fence call of a daemon that wants to reissue a block. It
// returns no error.
func (m *Manager) Fence(_ context.Context, req *wire.FenceRequest) (*wire.FenceReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, owned := m.ledger.Fence(permit.BlockID{Cell: req.Cell, Index: int(req.Index)}, req.Epoch)
	return &wire.FenceReply{
		Identity: m.Self.Identity,
		Owned:    owned,
		Block:    peer.EncodeBlock(b),
		Listed:   m.vmList.Version,
	}, nil
}

// Owned returns the blocks that this daemon owns, sorted by cell and index.
func (m *Manager) Owned() []permit.Block {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Owned()
}

// blockName returns CELL/INDEX for log entries.
func blockName(id permit.BlockID) string {
	return id.Cell + "/" + string(rune('0'+id.Index))
}
