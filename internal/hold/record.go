package hold

import (
	"context"
	"errors"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/pace"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Times of the work on records.
const (
	orphanFor  = 2 * time.Second // a block must seem unowned before it is reissued
	listEvery  = time.Second     // between two reads of the VM list by a lister
	listRarely = 5 * time.Minute // by the others
	backoffMax = 10 * time.Second
)

// fences is the number of daemons that are asked at a time.
const fences = 32

// A recorder does the keeper's work that needs the store.
type recorder struct {
	*Keeper
}

// loop works until ctx ends, and backs off while the store fails.
func (k *recorder) loop(ctx context.Context) {
	defer k.duties.Done()
	wait := storeEvery
	for {
		if err := k.storeTurn(ctx); err != nil && ctx.Err() == nil {
			wait = min(2*wait, backoffMax)
			k.Log.Emit(event.RecordWriteFailed, event.Fields{Step: "record", Err: err})
		} else {
			wait = storeEvery
		}
		if !pace.Sleep(ctx, pace.Jitter(wait)) {
			return
		}
	}
}

// storeTurn reads the VM list and brings the records up to date. It makes one
// write at the most.
func (k *Keeper) storeTurn(ctx context.Context) error {
	k.refreshList(ctx, k.listAge())
	view := k.Book.View()
	if view.Revision == 0 {
		return nil
	}
	for _, j := range k.jobs(view, time.Now()) {
		if err := j.do(ctx, k); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) listAge() time.Duration {
	k.mu.Lock()
	want := k.wantList
	k.wantList = false
	k.mu.Unlock()
	if want || k.Lister == nil || k.Lister() {
		return listEvery
	}
	return listRarely
}

// refreshList reads the VM list if it is older than age.
func (k *Keeper) refreshList(ctx context.Context, age time.Duration) {
	k.mu.Lock()
	fresh := !k.listAt.IsZero() && time.Since(k.listAt) < age
	k.mu.Unlock()
	if fresh {
		return
	}
	l, err := k.Store.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			k.Log.Emit(event.VMListFailed, event.Fields{Step: "vms", Err: err})
		}
		return
	}
	k.mu.Lock()
	if l.Version >= k.list.Version {
		k.list = l
		k.listAt = time.Now()
	}
	l = k.list
	k.mu.Unlock()
	if k.Listed != nil {
		k.Listed(l)
	}
}

// A job is one write to the record of a cell.
type job struct {
	cell    *conf.Cell
	service string
	layout  int
	create  []string       // owners of a new record
	own     []permit.Block // blocks to record as this daemon's
	orphan  *permit.Block  // block to reissue, in its recorded turn
	to      string         // who gets it
}

// jobs returns the writes that this daemon should make now.
func (k *Keeper) jobs(view *conf.View, now time.Time) []job {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving || k.listAt.IsZero() {
		return nil
	}
	var out []job
	candidates := k.candidates(view)
	claimed := k.claimed()
	for i := range view.Services {
		s := &view.Services[i]
		for l := range s.Layouts {
			layout := &s.Layouts[l]
			for g := range layout.Cells {
				j := job{cell: &layout.Cells[g], service: s.Name, layout: layout.Number}
				if k.job(&j, layout.Blocks, candidates, claimed, now) {
					out = append(out, j)
				}
			}
		}
	}
	return out
}

// claimed returns the blocks that a listed daemon says it owns, whether it
// answers now or not.
func (k *Keeper) claimed() map[permit.Slot]bool {
	out := make(map[permit.Slot]bool)
	for _, m := range k.Members() {
		if !k.list.Has(m.Identity) {
			continue
		}
		for _, b := range m.Blocks {
			out[b.Slot] = true
		}
	}
	return out
}

// job fills in what is to be done for one cell, and reports whether there is anything.
func (k *Keeper) job(j *job, blocks int, candidates []Candidate, claimed map[permit.Slot]bool, now time.Time) bool {
	if j.cell.Stored == 0 {
		owners := Owners(j.cell.Name, blocks, candidates)
		if len(owners) == 0 || owners[0] != k.Self.Identity || now.Sub(k.steady.since) < storeEvery {
			return false
		}
		for _, o := range owners {
			if !k.lists(o) {
				return false
			}
		}
		for i := range blocks {
			j.create = append(j.create, owners[i%len(owners)])
		}
		return true
	}
	for i, b := range j.cell.Blocks {
		slot := permit.Slot{Cell: j.cell.Name, Index: i}
		recorded := permit.Block{Slot: slot, Turn: permit.Turn{Epoch: b.Epoch, Hop: b.Hop}}
		if turn, ok := k.ledger.Turns(slot); ok && k.ledger.Owns(slot) && recorded.Before(turn) {
			j.own = append(j.own, permit.Block{Slot: slot, Turn: turn})
			continue
		}
		if j.orphan != nil || !k.orphaned(slot, b.Owner, claimed, now) {
			continue
		}
		owners := Owners(j.cell.Name, len(j.cell.Blocks), candidates)
		if len(owners) > 0 && owners[0] == k.Self.Identity && k.lists(owners[i%len(owners)]) {
			j.orphan = &recorded
			j.to = owners[i%len(owners)]
		}
	}
	return len(j.own) > 0 || j.orphan != nil
}

// orphaned reports whether nobody has seemed to own a block for some time.
func (k *Keeper) orphaned(s permit.Slot, owner string, claimed map[permit.Slot]bool, now time.Time) bool {
	if claimed[s] || k.ledger.Owns(s) || k.silent(owner) {
		delete(k.orphans, s)
		return false
	}
	since, ok := k.orphans[s]
	if !ok {
		k.orphans[s] = now
		return false
	}
	return now.Sub(since) >= orphanFor
}

// silent reports whether the recorded owner is listed but has not said what it owns.
func (k *Keeper) silent(owner string) bool {
	if !k.list.Has(owner) {
		return false
	}
	for _, m := range k.Members() {
		if m.Identity == owner {
			return m.Seq == 0 || m.Down
		}
	}
	return true
}

// do makes the write. A lost race is no error: the next turn sees the winner.
func (j *job) do(ctx context.Context, k *Keeper) error {
	if j.orphan != nil && len(j.own) == 0 {
		if !k.fence(ctx, *j.orphan) {
			return nil
		}
	}
	record := object.Cell{Service: j.service, Layout: j.layout, Group: j.cell.Group}
	o := object.Object{}
	if j.create == nil {
		var err error
		if o, err = k.Store.Get(ctx, object.KindCell, j.cell.Name); err != nil {
			return err
		}
		if err := object.Decode(o.Body, &record); err != nil {
			return fault.Wrap(err, "record", "")
		}
	}
	if !j.change(&record, k) {
		return nil
	}
	next, err := object.Encode(object.KindCell, j.cell.Name, &record)
	if err != nil {
		return err
	}
	next.Revision = o.Revision
	rev, err := k.Store.Settle(ctx, next)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	if err != nil {
		return err
	}
	next.Revision = rev
	k.Book.Apply([]object.Object{next}, 0)
	return nil
}

// change edits the record, and reports whether there is anything to write.
func (j *job) change(record *object.Cell, k *Keeper) bool {
	for _, owner := range j.create {
		record.Blocks = append(record.Blocks, object.Block{Owner: owner, Epoch: 1})
	}
	changed := j.create != nil
	for _, b := range j.own {
		stored := &record.Blocks[b.Index]
		if (permit.Turn{Epoch: stored.Epoch, Hop: stored.Hop}).Before(b.Turn) {
			*stored = object.Block{Owner: k.Self.Identity, Epoch: b.Epoch, Hop: b.Hop}
			changed = true
		}
	}
	if j.orphan == nil || len(j.own) > 0 {
		return changed
	}
	stored := &record.Blocks[j.orphan.Index]
	if stored.Epoch != j.orphan.Epoch {
		return changed
	}
	k.Log.Emit(event.BlockReissued, event.Fields{Step: "reissue", Peer: j.to, Detail: slotName(j.orphan.Slot) + " of " + stored.Owner})
	*stored = object.Block{Owner: j.to, Epoch: stored.Epoch + 1}
	return true
}

// warmed is told by the relay, under a lock, that upstreams have become warm.
func (k *Keeper) warmed(cell string, warm []*wire.Warmth) {
	k.warm.Put(word{cell: cell, warm: warm})
}

// A notifier tells co-holders which upstreams are warm.
type notifier struct {
	*Keeper
}

// loop passes on what becomes warm, and all of it now and then, until ctx ends.
func (k *notifier) loop(ctx context.Context) {
	defer k.duties.Done()
	t := time.NewTicker(warmEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.warm.Ready():
			for _, w := range k.warm.Take() {
				k.pass(ctx, w)
			}
		case <-t.C:
			k.remind(ctx)
		}
	}
}

// remind tells the co-holders all that is warm.
func (k *Keeper) remind(ctx context.Context) {
	seen := make(map[string]bool)
	for _, b := range k.Owned() {
		if seen[b.Cell] {
			continue
		}
		seen[b.Cell] = true
		if warm := k.Relay.Warm(b.Cell, false); len(warm) > 0 {
			k.pass(ctx, word{cell: b.Cell, warm: warm})
		}
	}
}

// pass tells the co-holders of a cell.
func (k *Keeper) pass(ctx context.Context, w word) {
	for _, m := range k.Members() {
		if m.Down || m.Identity == k.Self.Identity || !holds(&m, w.cell) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callWait)
		_, _ = k.Fleet(peer.Address(m.Identity)).Warm(call, &wire.WarmRequest{From: k.Self.Identity, Warm: w.warm})
		cancel()
	}
}

func holds(m *peer.Member, cell string) bool {
	for _, b := range m.Blocks {
		if b.Cell == cell {
			return true
		}
	}
	return false
}
