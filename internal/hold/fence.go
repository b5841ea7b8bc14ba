package hold

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// fence asks every listed daemon to refuse the block in its epoch. It reports
// whether nobody owns it and nobody can get it any more.
func (k *Keeper) fence(ctx context.Context, b permit.Block) bool {
	k.refreshList(ctx, 0)
	k.mu.Lock()
	list := k.list
	fresh := time.Since(k.listAt) < listEvery
	k.mu.Unlock()
	if !fresh || !list.Has(k.Self.Identity) {
		return false
	}
	f := &fencing{keeper: k, block: b, list: list}
	for i := 0; i < len(list.VMs) && f.ok(); i += fences {
		for _, v := range list.VMs[i:min(i+fences, len(list.VMs))] {
			f.work.Add(1)
			go f.run(ctx, v)
		}
		f.work.Wait()
	}
	return f.ok()
}

// A fencing is one round of Fence calls.
type fencing struct {
	keeper *Keeper
	block  permit.Block
	list   store.VMs
	work   sync.WaitGroup

	mu     sync.Mutex
	failed bool
}

func (f *fencing) ok() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failed
}

// run asks one daemon.
func (f *fencing) run(ctx context.Context, v store.VM) {
	defer f.work.Done()
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	req := &wire.FenceRequest{Cell: f.block.Cell, Index: uint32(f.block.Index), Epoch: f.block.Epoch}
	var re *wire.FenceReply
	var err error
	if v.Identity() == f.keeper.Self.Identity {
		re, err = f.keeper.Fence(ctx, req)
	} else {
		re, err = f.keeper.Fleet(v.Address).Fence(ctx, req)
	}
	if err == nil && !re.Owned && re.Listed <= f.list.Version && re.Block.GetEpoch() <= f.block.Epoch {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failed {
		f.keeper.Log.Emit(event.FenceFailed, event.Fields{Step: "fence", Peer: v.Identity(), Err: err, Detail: slotName(f.block.BlockID)})
	}
	f.failed = true
}
