// Package permit tracks which daemon owns the connection permits of a cell, a
// group of shards.
//
// The permits of a cell are split into blocks. A block has at most one owner, so
// the owners' shares of an upstream's connections never sum to more than the
// upstream accepts, even if daemons are paused, partitioned or have stale data.
// A block leaves its owner only when the owner transfers it, or when the platform
// no longer lists the owner. Ownership does not depend on clocks.
package permit

import (
	"cmp"
	"slices"
)

// A BlockID identifies one block of a cell.
type BlockID struct {
	Cell  string
	Index int // from 0
}

// A Term identifies one period of ownership of a block. Terms are ordered by
// Epoch, then by Hop. Every change of owner starts a higher term.
type Term struct {
	Epoch uint64 // ownership epoch, incremented when the block is reissued
	Hop   uint64 // increased by each transfer within the epoch; 0 after a reissue
}

// Before reports whether t is a lower term than o.
func (t Term) Before(o Term) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Hop < o.Hop
}

// A Block is a block together with the term in which it is owned.
type Block struct {
	BlockID
	Term
}

// A Transfer is a block that is being handed to another daemon. The sender
// repeats it until the receiver has accepted or rejected it.
type Transfer struct {
	Block        // with the term that the receiver gets
	To    string // identity of the receiver
}

// state is what a daemon knows of one block.
type state struct {
	term       Term   // highest term in which this daemon owned or transferred the block
	owned      bool   // this daemon owns the block in term
	receiver   string // identity of the receiver of an unacknowledged transfer, or empty
	fenceEpoch uint64 // if fenced, transfers and records up to this epoch are rejected
	fenced     bool   // fenceEpoch is set
}

// A Ledger tracks which blocks one daemon owns and transfers. Create it with
// NewLedger. It does no I/O and is not safe for concurrent use.
type Ledger struct {
	self   string // identity of the daemon
	blocks map[BlockID]*state
}

// NewLedger returns an empty ledger for the daemon with identity self.
func NewLedger(self string) *Ledger {
	return &Ledger{self: self, blocks: make(map[BlockID]*state)}
}

// stateOf returns the state of a block and creates it if needed.
func (l *Ledger) stateOf(id BlockID) *state {
	st := l.blocks[id]
	if st == nil {
		st = &state{}
		l.blocks[id] = st
	}
	return st
}

// Owns reports whether the daemon owns the block, and so may use its permits.
func (l *Ledger) Owns(id BlockID) bool {
	st := l.blocks[id]
	return st != nil && st.owned
}

// Owned returns the blocks that the daemon owns, sorted by cell and index.
func (l *Ledger) Owned() []Block {
	var owned []Block
	for id, st := range l.blocks {
		if st.owned {
			owned = append(owned, Block{BlockID: id, Term: st.term})
		}
	}
	slices.SortFunc(owned, compareID)
	return owned
}

// compareID orders blocks by cell and index.
func compareID(a, b Block) int {
	if c := cmp.Compare(a.Cell, b.Cell); c != 0 {
		return c
	}
	return cmp.Compare(a.Index, b.Index)
}

// ApplyRecord processes a stored ownership record. The daemon becomes the owner
// if the record names it and the term is higher than any that it has had, and not
// fenced. ApplyRecord reports whether the daemon became the owner.
func (l *Ledger) ApplyRecord(b Block, owner string) bool {
	if owner != l.self {
		return false
	}
	return l.acquire(b)
}

// acquire makes the daemon the owner in b's term, unless it already had that or
// a later term, or the term is fenced. It reports whether it did.
func (l *Ledger) acquire(b Block) bool {
	st := l.stateOf(b.BlockID)
	if st.fenced && b.Epoch <= st.fenceEpoch {
		return false
	}
	if st.everOwned() && !st.term.Before(b.Term) {
		return false
	}
	st.term = b.Term
	st.owned = true
	st.receiver = ""
	return true
}

// everOwned reports whether the daemon ever owned the block.
func (st *state) everOwned() bool {
	return st.term.Epoch > 0
}

// StartTransfer ends the daemon's ownership of a block and returns the transfer
// to send. The caller must have stopped using the block's permits. StartTransfer
// returns false if the daemon does not own the block or is the receiver itself.
func (l *Ledger) StartTransfer(id BlockID, receiver string) (Transfer, bool) {
	st := l.stateOf(id)
	if !st.owned || receiver == l.self {
		return Transfer{}, false
	}
	st.owned = false
	st.receiver = receiver
	return l.pendingTransfer(id, st), true
}

// pendingTransfer returns the transfer of a block to the receiver in st.
func (l *Ledger) pendingTransfer(id BlockID, st *state) Transfer {
	next := Term{Epoch: st.term.Epoch, Hop: st.term.Hop + 1}
	return Transfer{Block: Block{BlockID: id, Term: next}, To: st.receiver}
}

// Transfers returns the unacknowledged transfers, sorted by cell and index.
func (l *Ledger) Transfers() []Transfer {
	var out []Transfer
	for id, st := range l.blocks {
		if st.receiver != "" {
			out = append(out, l.pendingTransfer(id, st))
		}
	}
	slices.SortFunc(out, func(a, b Transfer) int { return compareID(a.Block, b.Block) })
	return out
}

// AcceptTransfer processes a transfer addressed to this daemon and reports
// whether it is accepted. A repeated transfer that was accepted before is
// accepted again, even if the daemon no longer owns the block.
func (l *Ledger) AcceptTransfer(b Block) bool {
	st := l.stateOf(b.BlockID)
	if st.everOwned() && !st.term.Before(b.Term) {
		return true
	}
	return l.acquire(b)
}

// FinishTransfer processes the receiver's reply to a transfer. If the receiver
// rejected it, the daemon owns the block again, in a higher term than the
// transfer's, so that a late copy of the transfer has no effect. Replies to any
// other than the pending transfer are ignored.
func (l *Ledger) FinishTransfer(t Transfer, accepted bool) {
	st := l.stateOf(t.BlockID)
	if st.receiver != t.To || l.pendingTransfer(t.BlockID, st).Term != t.Term {
		return
	}
	st.receiver = ""
	if !accepted {
		st.owned = true
		st.term.Hop += 2
	}
}

// Fence prepares the reissue of a block by some daemon. It reports whether this
// daemon owns the block or has an unacknowledged transfer of it. If not, from now
// on this daemon accepts the block only in a later epoch than the given one. The
// returned block has the highest term in which this daemon owned it.
func (l *Ledger) Fence(id BlockID, epoch uint64) (Block, bool) {
	st := l.stateOf(id)
	b := Block{BlockID: id, Term: st.term}
	if st.owned || st.receiver != "" {
		return b, true
	}
	st.fenceEpoch = max(st.fenceEpoch, epoch)
	st.fenced = true
	return b, false
}

// AbandonTransfers drops the unacknowledged transfers to a receiver that the
// platform no longer lists, and returns their blocks in no particular order. The
// daemon does not get these blocks back, because the receiver may have accepted
// them and passed them on. They have no owner here until they are reissued.
func (l *Ledger) AbandonTransfers(receiver string) []BlockID {
	var abandoned []BlockID
	for id, st := range l.blocks {
		if st.receiver == receiver {
			st.receiver = ""
			abandoned = append(abandoned, id)
		}
	}
	return abandoned
}

// Share returns how many of n permits belong to the block at index when the
// permits are split into the given number of blocks. The shares of all blocks sum
// to n.
func Share(n, index, blocks int) int {
	return n*(index+1)/blocks - n*index/blocks
}

// LastTerm returns the highest term in which the daemon owned the block, and
// whether it ever owned it.
func (l *Ledger) LastTerm(id BlockID) (Term, bool) {
	st := l.blocks[id]
	if st == nil || !st.everOwned() {
		return Term{}, false
	}
	return st.term, true
}
