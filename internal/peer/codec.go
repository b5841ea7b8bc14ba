package peer

import (
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Encode converts members to their protocol messages.
func Encode(members []Member) []*wire.Member {
	out := make([]*wire.Member, 0, len(members))
	for _, m := range members {
		w := &wire.Member{Identity: m.Identity, Domain: m.Domain, Sequence: m.Seq, Leaving: m.Leaving, Down: m.Down}
		for _, b := range m.Blocks {
			w.Blocks = append(w.Blocks, EncodeBlock(b))
		}
		out = append(out, w)
	}
	return out
}

// Decode converts protocol messages to members.
func Decode(members []*wire.Member) []Member {
	out := make([]Member, 0, len(members))
	for _, w := range members {
		m := Member{Identity: w.Identity, Domain: w.Domain, Seq: w.Sequence, Leaving: w.Leaving, Down: w.Down}
		for _, b := range w.Blocks {
			m.Blocks = append(m.Blocks, DecodeBlock(b))
		}
		out = append(out, m)
	}
	return out
}

// EncodeBlock converts a block to its protocol message.
func EncodeBlock(b permit.Block) *wire.Block {
	return &wire.Block{Cell: b.Cell, Index: uint32(b.Index), Epoch: b.Epoch, Hop: b.Hop}
}

// DecodeBlock converts a protocol message to a block. A nil message gives the
// zero block.
func DecodeBlock(w *wire.Block) permit.Block {
	return permit.Block{
		BlockID: permit.BlockID{Cell: w.GetCell(), Index: int(w.GetIndex())},
		Term:    permit.Term{Epoch: w.GetEpoch(), Hop: w.GetHop()},
	}
}
