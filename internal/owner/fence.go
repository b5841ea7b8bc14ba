package owner

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// fenceAll asks every listed daemon to reject the block in its epoch from now on.
// It reports whether all have agreed, so that no daemon owns the block and none
// can acquire it in that epoch. It requires a VM list that was just read.
func (m *Manager) fenceAll(ctx context.Context, b permit.Block) bool {
	m.refreshList(ctx, 0)
	m.mu.Lock()
	vmList := m.vmList
	fresh := time.Since(m.listReadAt) < listInterval
	m.mu.Unlock()
	if !fresh || !vmList.Contains(m.Self.Identity) {
		return false
	}
	f := &fenceRound{manager: m, block: b, vmList: vmList}
	for i := 0; i < len(vmList.VMs) && f.ok(); i += maxFenceCalls {
		for _, v := range vmList.VMs[i:min(i+maxFenceCalls, len(vmList.VMs))] {
			f.calls.Add(1)
			go f.run(ctx, v)
		}
		f.calls.Wait()
	}
	return f.ok()
}

// A fenceRound is a round of Fence calls to all listed daemons.
type fenceRound struct {
	manager *Manager
	block   permit.Block
	vmList  store.VMs
	calls   sync.WaitGroup

	mu     sync.Mutex
	failed bool
}

// ok reports whether no call has failed or been denied.
func (f *fenceRound) ok() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failed
}

// run calls one daemon. The round fails if the daemon owns the block, has a later
// VM list or has seen a later epoch. Only the first failure is logged.
func (f *fenceRound) run(ctx context.Context, v store.VM) {
	defer f.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.FenceRequest{Cell: f.block.Cell, Index: uint32(f.block.Index), Epoch: f.block.Epoch}
	var reply *wire.FenceReply
	var err error
	if v.Identity() == f.manager.Self.Identity {
		reply, err = f.manager.Fence(ctx, req)
	} else {
		reply, err = f.manager.Peer(v.Address).Fence(ctx, req)
	}
	if err == nil && !reply.Owned && reply.Listed <= f.vmList.Version && reply.Block.GetEpoch() <= f.block.Epoch {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failed {
		f.manager.Log.Emit(event.FenceFailed, event.Fields{Step: "fence", Peer: v.Identity(), Err: err, Detail: blockName(f.block.BlockID)})
	}
	f.failed = true
}
