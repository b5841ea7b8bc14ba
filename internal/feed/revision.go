package feed

import "strconv"

// A Revision orders the states of the store, also across restores of the store from an
// older copy: its upper EpochBits count the restores (the epoch), and the others are the
// number that the store gave out within the epoch. A restored store gives out again the
// numbers that it has lost, for other states.
type Revision uint64

// EpochBits is the number of bits that an epoch may take in a Revision.
const EpochBits = 16

// numberBits is the number of bits of the number in a Revision.
const numberBits = 64 - EpochBits

// NewRevision returns the revision with a number in an epoch. Both must fit their bits.
func NewRevision(epoch, number uint64) Revision {
	return Revision(epoch<<numberBits | number&(1<<numberBits-1))
}

// Epoch returns how often the store had been restored.
func (r Revision) Epoch() uint64 {
	return uint64(r) >> numberBits
}

// Number returns the number that the store gave out.
func (r Revision) Number() uint64 {
	return uint64(r) & (1<<numberBits - 1)
}

// String returns the number, with the epoch before it unless that is 0.
func (r Revision) String() string {
	n := strconv.FormatUint(r.Number(), 10)
	if r.Epoch() == 0 {
		return n
	}
	return strconv.FormatUint(r.Epoch(), 10) + "/" + n
}
