package owner

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// drainingIn returns the blocks of a cell that are being drained.
func (m *Manager) drainingIn(cell string) []permit.BlockID {
	var out []permit.BlockID
	for id := range m.draining {
		if id.Cell == cell {
			out = append(out, id)
		}
	}
	return out
}

// drainingIDs returns all blocks that are being drained.
func (m *Manager) drainingIDs() []permit.BlockID {
	out := make([]permit.BlockID, 0, len(m.draining))
	for id := range m.draining {
		out = append(out, id)
	}
	return out
}

// startTransfers starts the transfers of the blocks that are drained.
func (m *Manager) startTransfers() {
	if m.dirty {
		// The relay may not know yet which blocks are being drained.
		return
	}
	for id, receiver := range m.draining {
		if !m.Relay.FitsWithout(id) {
			continue
		}
		delete(m.draining, id)
		m.ledger.StartTransfer(id, receiver)
		m.dirty = true
	}
}

// unsentTransfers returns the pending transfers that are not being sent, and marks
// them as being sent.
func (m *Manager) unsentTransfers() []permit.Transfer {
	var out []permit.Transfer
	for _, t := range m.ledger.Transfers() {
		if !m.inFlight[t.BlockID] {
			m.inFlight[t.BlockID] = true
			out = append(out, t)
		}
	}
	return out
}

// A transferCall sends one transfer to its receiver.
type transferCall struct {
	manager  *Manager
	transfer permit.Transfer
}

// run sends the transfer once and processes the reply. If the call fails, the next
// reconciliation sends it again, unless the VM list no longer has the receiver.
// After a reply, run also tells the receiver which upstreams are warm.
func (c *transferCall) run(ctx context.Context) {
	m := c.manager
	defer m.goroutines.Done()
	warm := m.Relay.WarmUpstreams(c.transfer.Cell, true)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	receiver := m.Peer(peer.Address(c.transfer.To))
	reply, err := receiver.Give(call, &wire.GiveRequest{From: m.Self.Identity, To: c.transfer.To, Block: peer.EncodeBlock(c.transfer.Block)})
	m.mu.Lock()
	delete(m.inFlight, c.transfer.BlockID)
	m.dirty = true
	if err == nil {
		m.ledger.FinishTransfer(c.transfer, reply.Accepted)
	} else if m.listReadAt.After(time.Time{}) && !m.vmList.Contains(c.transfer.To) {
		m.ledger.AbandonTransfers(c.transfer.To)
	}
	m.mu.Unlock()
	if err != nil {
		m.Log.Emit(event.TransferFailed, event.Fields{Step: "give", Peer: c.transfer.To, Err: err, Detail: blockName(c.transfer.BlockID)})
		return
	}
	m.Log.Emit(event.BlockTransferred, event.Fields{Step: "give", Peer: c.transfer.To, Detail: blockName(c.transfer.BlockID)})
	_, _ = receiver.Warm(call, &wire.WarmRequest{From: m.Self.Identity, Warm: warm})
}

// Give serves the Give call of a daemon that transfers a block. A daemon that is
// leaving accepts no new blocks. Give returns no error.
func (m *Manager) Give(_ context.Context, req *wire.GiveRequest) (*wire.GiveReply, error) {
	b := peer.DecodeBlock(req.Block)
	m.mu.Lock()
	defer m.mu.Unlock()
	if req.To != m.Self.Identity {
		return &wire.GiveReply{}, nil
	}
	if m.leaving && !m.ledger.Owns(b.BlockID) {
		m.ledger.Fence(b.BlockID, b.Epoch)
	}
	ok := m.ledger.AcceptTransfer(b)
	m.dirty = true
	m.Wake()
	if ok {
		m.Log.Emit(event.BlockTaken, event.Fields{Step: "gift", Peer: req.From, Detail: blockName(b.BlockID)})
	}
	return &wire.GiveReply{Accepted: ok}, nil
}
