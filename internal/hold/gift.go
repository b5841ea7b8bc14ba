package hold

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

func (k *Keeper) givingOf(cell string) []permit.Slot {
	var out []permit.Slot
	for s := range k.giving {
		if s.Cell == cell {
			out = append(out, s)
		}
	}
	return out
}

func (k *Keeper) givingSlots() []permit.Slot {
	out := make([]permit.Slot, 0, len(k.giving))
	for s := range k.giving {
		out = append(out, s)
	}
	return out
}

// release turns drained blocks into gifts.
func (k *Keeper) release() {
	if k.dirty {
		// The relay does not yet know what is being drained.
		return
	}
	for s, to := range k.giving {
		if !k.Relay.Within(s) {
			continue
		}
		delete(k.giving, s)
		k.ledger.Give(s, to)
		k.dirty = true
	}
}

func (k *Keeper) unasked() []permit.Gift {
	var out []permit.Gift
	for _, g := range k.ledger.Gifts() {
		if !k.asked[g.Slot] {
			k.asked[g.Slot] = true
			out = append(out, g)
		}
	}
	return out
}

// An errand brings one gift to its receiver.
type errand struct {
	keeper *Keeper
	gift   permit.Gift
}

// run sends the gift once and takes in the answer. Without an answer the next
// turn sends it again.
func (e *errand) run(ctx context.Context) {
	k := e.keeper
	defer k.duties.Done()
	warm := k.Relay.Warm(e.gift.Cell, true)
	call, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	to := k.Fleet(peer.Address(e.gift.To))
	re, err := to.Give(call, &wire.GiveRequest{From: k.Self.Identity, To: e.gift.To, Block: peer.EncodeBlock(e.gift.Block)})
	k.mu.Lock()
	delete(k.asked, e.gift.Slot)
	k.dirty = true
	if err == nil {
		k.ledger.Settled(e.gift, re.Accepted)
	} else if k.listAt.After(time.Time{}) && !k.list.Has(e.gift.To) {
		k.ledger.Void(e.gift.To)
	}
	k.mu.Unlock()
	if err != nil {
		k.Log.Emit(event.TransferFailed, event.Fields{Step: "give", Peer: e.gift.To, Err: err, Detail: slotName(e.gift.Slot)})
		return
	}
	k.Log.Emit(event.BlockTransferred, event.Fields{Step: "give", Peer: e.gift.To, Detail: slotName(e.gift.Slot)})
	_, _ = to.Warm(call, &wire.WarmRequest{From: k.Self.Identity, Warm: warm})
}

// Give answers a daemon that gives a block.
func (k *Keeper) Give(_ context.Context, req *wire.GiveRequest) (*wire.GiveReply, error) {
	b := peer.DecodeBlock(req.Block)
	k.mu.Lock()
	defer k.mu.Unlock()
	if req.To != k.Self.Identity {
		return &wire.GiveReply{}, nil
	}
	if k.leaving && !k.ledger.Owns(b.Slot) {
		k.ledger.Fence(b.Slot, b.Epoch)
	}
	ok := k.ledger.Accept(b)
	k.dirty = true
	k.Wake()
	if ok {
		k.Log.Emit(event.BlockTaken, event.Fields{Step: "gift", Peer: req.From, Detail: slotName(b.Slot)})
	}
	return &wire.GiveReply{Accepted: ok}, nil
}
