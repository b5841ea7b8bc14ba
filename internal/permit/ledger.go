// Package permit decides who holds the permits of a cell.
//
// The permits of a cell are split into blocks. A block has one owner at most,
// so the owners' shares of an upstream's connections never sum to more than it
// accepts, whoever is paused, cut off or behind. A block leaves its owner only
// by the owner's act, or when the platform says that the owner is gone. No
// clock is compared.
package permit

import (
	"cmp"
	"slices"
)

// A Slot names one block of one cell.
type Slot struct {
	Cell  string
	Index int
}

// A Turn orders the owners of a block: by epoch, then by hop. It is raised
// whenever the block changes hands.
type Turn struct {
	Epoch uint64 // raised by a reissue
	Hop   uint64 // raised by a gift, 0 after a reissue
}

// Before reports whether t is an earlier turn than o.
func (t Turn) Before(o Turn) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Hop < o.Hop
}

// A Block is a slot that is owned in some turn.
type Block struct {
	Slot
	Turn
}

// A Gift is a block on its way to another daemon. It is repeated until the
// receiver has said yes or no.
type Gift struct {
	Block        // with the receiver's turn
	To    string // identity of the receiver
}

// state is what a daemon knows of one slot.
type state struct {
	turn   Turn   // highest turn seen in which this daemon owned or gave the block
	own    bool   // the block is owned in that turn
	to     string // receiver while a gift is not yet acknowledged
	fence  uint64 // gifts and records at or below this epoch are not accepted
	fenced bool   // fence is set
}

// A Ledger holds the blocks of one daemon. Use NewLedger to make one. It does
// no I/O and is not safe for concurrent use.
type Ledger struct {
	self  string // identity of the daemon
	slots map[Slot]*state
}

// NewLedger returns the empty ledger of a daemon.
func NewLedger(self string) *Ledger {
	return &Ledger{self: self, slots: make(map[Slot]*state)}
}

func (l *Ledger) at(s Slot) *state {
	st := l.slots[s]
	if st == nil {
		st = &state{}
		l.slots[s] = st
	}
	return st
}

// Owns reports whether the daemon may use the block now.
func (l *Ledger) Owns(s Slot) bool {
	st := l.slots[s]
	return st != nil && st.own
}

// Owned returns the owned blocks, sorted by cell and index.
func (l *Ledger) Owned() []Block {
	var out []Block
	for s, st := range l.slots {
		if st.own {
			out = append(out, Block{Slot: s, Turn: st.turn})
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b Block) int {
	if c := cmp.Compare(a.Cell, b.Cell); c != 0 {
		return c
	}
	return cmp.Compare(a.Index, b.Index)
}

// Record takes in the stored owner of a block. The daemon becomes its owner if
// the record names it in a turn that it has not had. It reports whether it did.
func (l *Ledger) Record(b Block, owner string) bool {
	if owner != l.self {
		return false
	}
	return l.take(b)
}

// take makes the daemon the owner in b's turn, unless it has been there or
// promised not to.
func (l *Ledger) take(b Block) bool {
	st := l.at(b.Slot)
	if st.fenced && b.Epoch <= st.fence {
		return false
	}
	if st.had() && !st.turn.Before(b.Turn) {
		return false
	}
	st.turn = b.Turn
	st.own = true
	st.to = ""
	return true
}

// had reports whether the daemon ever owned the block.
func (st *state) had() bool {
	return st.turn.Epoch > 0
}

// Give takes a block from the daemon and returns the gift to send. The caller
// must use no permit of the block any more. It reports false when the daemon
// does not own the block.
func (l *Ledger) Give(s Slot, to string) (Gift, bool) {
	st := l.at(s)
	if !st.own || to == l.self {
		return Gift{}, false
	}
	st.own = false
	st.to = to
	return l.gift(s, st), true
}

func (l *Ledger) gift(s Slot, st *state) Gift {
	next := Turn{Epoch: st.turn.Epoch, Hop: st.turn.Hop + 1}
	return Gift{Block: Block{Slot: s, Turn: next}, To: st.to}
}

// Gifts returns the gifts that are not yet acknowledged, sorted by cell and index.
func (l *Ledger) Gifts() []Gift {
	var out []Gift
	for s, st := range l.slots {
		if st.to != "" {
			out = append(out, l.gift(s, st))
		}
	}
	slices.SortFunc(out, func(a, b Gift) int { return compare(a.Block, b.Block) })
	return out
}

// Accept takes in a gift that names this daemon. It reports yes also for a
// gift that was accepted before, whatever became of the block since.
func (l *Ledger) Accept(b Block) bool {
	st := l.at(b.Slot)
	if st.had() && !st.turn.Before(b.Turn) {
		return true
	}
	return l.take(b)
}

// Settled takes in the receiver's answer to a gift. After a no the daemon owns
// the block again, in a turn of its own, so that the refused gift is void.
func (l *Ledger) Settled(g Gift, accepted bool) {
	st := l.at(g.Slot)
	if st.to != g.To || l.gift(g.Slot, st).Turn != g.Turn {
		return
	}
	st.to = ""
	if !accepted {
		st.own = true
		st.turn.Hop += 2
	}
}

// Fence answers a daemon that wants to reissue a block above an epoch. It
// reports whether this daemon owns or is giving the block at or below that
// epoch; if not, it will accept the block only above it.
func (l *Ledger) Fence(s Slot, epoch uint64) (Block, bool) {
	st := l.at(s)
	b := Block{Slot: s, Turn: st.turn}
	if st.own || st.to != "" {
		return b, true
	}
	st.fence = max(st.fence, epoch)
	st.fenced = true
	return b, false
}

// Void takes in that the platform says a receiver is gone. Its unacknowledged
// gifts stay lost until the block is reissued: it may have passed them on.
func (l *Ledger) Void(gone string) []Slot {
	var out []Slot
	for s, st := range l.slots {
		if st.to == gone {
			st.to = ""
			out = append(out, s)
		}
	}
	return out
}

// Share returns how many of n permits belong to block index of so many blocks.
// The shares of all blocks sum to n.
func Share(n, index, blocks int) int {
	return n*(index+1)/blocks - n*index/blocks
}

// Turns returns the highest turn in which the daemon owned the block, and
// whether it ever did.
func (l *Ledger) Turns(s Slot) (Turn, bool) {
	st := l.slots[s]
	if st == nil || !st.had() {
		return Turn{}, false
	}
	return st.turn, true
}
