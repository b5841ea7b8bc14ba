package owner

import (
	"context"
	"errors"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Intervals of the work with the store.
const (
	orphanTime       = 2 * time.Second  // how long a block must have no known owner before it is reissued
	listInterval     = time.Second      // between reads of the VM list if PollsList
	slowListInterval = 5 * time.Minute  // between reads of the VM list otherwise
	maxBackoff       = 10 * time.Second // between updates while the store fails
)

// maxFenceCalls is the number of concurrent Fence calls of a reissue.
const maxFenceCalls = 32

// A recorder does the part of the manager's work that uses the store.
type recorder struct {
	*Manager
}

// loop updates the records until ctx ends. It backs off while the store fails.
func (r *recorder) loop(ctx context.Context) {
	defer r.goroutines.Done()
	wait := storeInterval
	for {
		if err := r.updateRecords(ctx); err != nil && ctx.Err() == nil {
			wait = min(2*wait, maxBackoff)
			r.Log.Emit(event.RecordWriteFailed, event.Fields{Step: "record", Err: err})
		} else {
			wait = storeInterval
		}
		if !delay.Sleep(ctx, delay.Jitter(wait)) {
			return
		}
	}
}

// updateRecords refreshes the VM list and brings the records up to date, with at
// most one write for each cell. It stops at the first error.
func (m *Manager) updateRecords(ctx context.Context) error {
	m.refreshList(ctx, m.listAgeLimit())
	view := m.Config.View()
	if view.Revision == 0 {
		return nil
	}
	for _, w := range m.recordWrites(view, time.Now()) {
		if err := w.run(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// listAgeLimit returns the age from which the VM list is read again, and resets
// needList.
func (m *Manager) listAgeLimit() time.Duration {
	m.mu.Lock()
	need := m.needList
	m.needList = false
	m.mu.Unlock()
	if need || m.PollsList == nil || m.PollsList() {
		return listInterval
	}
	return slowListInterval
}

// refreshList reads the VM list if the last read is at least age ago. Errors are
// logged, and a list older than the known one is ignored.
func (m *Manager) refreshList(ctx context.Context, age time.Duration) {
	m.mu.Lock()
	fresh := !m.listReadAt.IsZero() && time.Since(m.listReadAt) < age
	m.mu.Unlock()
	if fresh {
		return
	}
	l, err := m.Store.ListVMs(ctx)
	if err != nil {
		if ctx.Err() == nil {
			m.Log.Emit(event.VMListFailed, event.Fields{Step: "vms", Err: err})
		}
		return
	}
	m.mu.Lock()
	if l.Version >= m.vmList.Version {
		m.vmList = l
		m.listReadAt = time.Now()
	}
	l = m.vmList
	m.mu.Unlock()
	if m.OnList != nil {
		m.OnList(l)
	}
}

// A recordWrite is one write to the record of a cell. A reissue is left for later
// if there are owned blocks to record.
type recordWrite struct {
	cell     *conf.Cell
	service  string
	layout   int
	create   []string       // owners of the blocks of a new record; nil if there is a record
	owned    []permit.Block // blocks to record as owned by this daemon
	reissue  *permit.Block  // block to reissue, with its recorded term; nil if there is none
	newOwner string         // owner of the reissued block
}

// recordWrites returns the writes that this daemon should make now, none while it
// is leaving.
func (m *Manager) recordWrites(view *conf.View, now time.Time) []recordWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || m.listReadAt.IsZero() {
		return nil
	}
	var out []recordWrite
	candidates := m.candidates(view)
	claimed := m.claimedBlocks()
	for i := range view.Services {
		s := &view.Services[i]
		for l := range s.Layouts {
			layout := &s.Layouts[l]
			for g := range layout.Cells {
				w := recordWrite{cell: &layout.Cells[g], service: s.Name, layout: layout.Number}
				if m.planWrite(&w, layout.Blocks, candidates, claimed, now) {
					out = append(out, w)
				}
			}
		}
	}
	return out
}

// claimedBlocks returns the blocks that listed daemons report to own, including
// daemons that are down.
func (m *Manager) claimedBlocks() map[permit.BlockID]bool {
	out := make(map[permit.BlockID]bool)
	for _, member := range m.Members() {
		if !m.vmList.Contains(member.Identity) {
			continue
		}
		for _, b := range member.Blocks {
			out[b.BlockID] = true
		}
	}
	return out
}

// planWrite fills in the write for a cell, and reports whether one is needed. New
// records and reissues are made only by the cell's preferred owner.
func (m *Manager) planWrite(w *recordWrite, blocks int, candidates []Candidate, claimed map[permit.BlockID]bool, now time.Time) bool {
	if w.cell.RecordRevision == 0 {
		owners := Owners(w.cell.Name, blocks, candidates)
		if len(owners) == 0 || owners[0] != m.Self.Identity || now.Sub(m.stable.since) < storeInterval {
			return false
		}
		for _, o := range owners {
			if !m.isListed(o) {
				return false
			}
		}
		for i := range blocks {
			w.create = append(w.create, owners[i%len(owners)])
		}
		return true
	}
	for i, b := range w.cell.Blocks {
		id := permit.BlockID{Cell: w.cell.Name, Index: i}
		recorded := permit.Block{BlockID: id, Term: permit.Term{Epoch: b.Epoch, Hop: b.Hop}}
		if term, ok := m.ledger.LastTerm(id); ok && m.ledger.Owns(id) && recorded.Before(term) {
			w.owned = append(w.owned, permit.Block{BlockID: id, Term: term})
			continue
		}
		if w.reissue != nil || !m.orphaned(id, b.Owner, claimed, now) {
			continue
		}
		owners := Owners(w.cell.Name, len(w.cell.Blocks), candidates)
		if len(owners) > 0 && owners[0] == m.Self.Identity && m.isListed(owners[i%len(owners)]) {
			w.reissue = &recorded
			w.newOwner = owners[i%len(owners)]
		}
	}
	return len(w.owned) > 0 || w.reissue != nil
}

// orphaned reports whether a block has had no known owner for orphanTime. owner is
// the recorded owner.
func (m *Manager) orphaned(id permit.BlockID, owner string, claimed map[permit.BlockID]bool, now time.Time) bool {
	if claimed[id] || m.ledger.Owns(id) || m.unheard(owner) {
		delete(m.orphanSince, id)
		return false
	}
	since, ok := m.orphanSince[id]
	if !ok {
		m.orphanSince[id] = now
		return false
	}
	return now.Sub(since) >= orphanTime
}

// unheard reports whether the recorded owner is listed but is down or has not
// reported what it owns. It may still own the block.
func (m *Manager) unheard(owner string) bool {
	if !m.vmList.Contains(owner) {
		return false
	}
	for _, member := range m.Members() {
		if member.Identity == owner {
			return member.Seq == 0 || member.Down
		}
	}
	return true
}

// run makes the write. A conflict with another writer is not an error: the next
// update uses the record that won. A reissue is dropped if not all daemons agree.
func (w *recordWrite) run(ctx context.Context, m *Manager) error {
	if w.reissue != nil && len(w.owned) == 0 {
		if !m.fenceAll(ctx, *w.reissue) {
			return nil
		}
	}
	record := object.Cell{Service: w.service, Layout: w.layout, Group: w.cell.Group}
	old := object.Object{}
	if w.create == nil {
		var err error
		if old, err = m.Store.Get(ctx, object.KindCell, w.cell.Name); err != nil {
			return err
		}
		if err := object.Decode(old.Body, &record); err != nil {
			return fault.Wrap(err, "record", "")
		}
	}
	if !w.apply(&record, m) {
		return nil
	}
	next, err := object.Encode(object.KindCell, w.cell.Name, &record)
	if err != nil {
		return err
	}
	next.Revision = old.Revision
	rev, err := m.Store.PutConfirmed(ctx, next)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	next.Revision = rev
	m.Config.Apply([]object.Object{next}, 0)
	return nil
}

// apply edits the record, and reports whether there is anything to write. It skips
// owned blocks that are recorded in their term or a later one, and a reissue from
// an epoch that is no longer the recorded one.
func (w *recordWrite) apply(record *object.Cell, m *Manager) bool {
	for _, owner := range w.create {
		record.Blocks = append(record.Blocks, object.Block{Owner: owner, Epoch: 1})
	}
	changed := w.create != nil
	for _, b := range w.owned {
		stored := &record.Blocks[b.Index]
		if (permit.Term{Epoch: stored.Epoch, Hop: stored.Hop}).Before(b.Term) {
			*stored = object.Block{Owner: m.Self.Identity, Epoch: b.Epoch, Hop: b.Hop}
			changed = true
		}
	}
	if w.reissue == nil || len(w.owned) > 0 {
		return changed
	}
	stored := &record.Blocks[w.reissue.Index]
	if stored.Epoch != w.reissue.Epoch {
		return changed
	}
	m.Log.Emit(event.BlockReissued, event.Fields{Step: "reissue", Peer: w.newOwner, Detail: blockName(w.reissue.BlockID) + " of " + stored.Owner})
	*stored = object.Block{Owner: w.newOwner, Epoch: stored.Epoch + 1}
	return true
}

// queueWarm queues upstreams that have become warm. The relay calls it with a
// mutex held, so it must not block.
func (m *Manager) queueWarm(cell string, warm []*wire.Warmth) {
	m.warmUpdates.Put(warmUpdate{cell: cell, upstreams: warm})
}

// A notifier tells co-owners, the other owners of a cell's blocks, which upstreams
// are warm.
type notifier struct {
	*Manager
}

// loop sends each queued update, and all warm upstreams every warmInterval, until
// ctx ends.
func (n *notifier) loop(ctx context.Context) {
	defer n.goroutines.Done()
	t := time.NewTicker(warmInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.warmUpdates.Ready():
			for _, w := range n.warmUpdates.Take() {
				n.sendWarm(ctx, w)
			}
		case <-t.C:
			n.sendAllWarm(ctx)
		}
	}
}

// sendAllWarm tells the co-owners of each owned cell which upstreams are warm. It
// reports only the upstreams to which this daemon may send first while cold.
func (m *Manager) sendAllWarm(ctx context.Context) {
	seen := make(map[string]bool)
	for _, b := range m.Owned() {
		if seen[b.Cell] {
			continue
		}
		seen[b.Cell] = true
		if warm := m.Relay.WarmUpstreams(b.Cell, false); len(warm) > 0 {
			m.sendWarm(ctx, warmUpdate{cell: b.Cell, upstreams: warm})
		}
	}
}

// sendWarm sends an update to the co-owners of a cell that are not down. Failed
// calls are ignored, because sendAllWarm repeats the information.
func (m *Manager) sendWarm(ctx context.Context, w warmUpdate) {
	for _, member := range m.Members() {
		if member.Down || member.Identity == m.Self.Identity || !ownsInCell(&member, w.cell) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, _ = m.Peer(peer.Address(member.Identity)).Warm(call, &wire.WarmRequest{From: m.Self.Identity, Warm: w.upstreams})
		cancel()
	}
}

// ownsInCell reports whether a member reports to own a block of the cell.
func ownsInCell(member *peer.Member, cell string) bool {
	for _, b := range member.Blocks {
		if b.Cell == cell {
			return true
		}
	}
	return false
}
