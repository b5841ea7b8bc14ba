package feed

import "strconv"

// A Revision orders the states of the store, also across restores of the store from an
// older copy: its upper EraBits count the restores (the era), and the others are the
// number that the store gave out within the era. A restored store gives out again the
// numbers that it has lost, for other states.
type Revision uint64

// EraBits is the number of bits that an era may take in a Revision.
const EraBits = 16

// numberBits is the number of bits of the number in a Revision.
const numberBits = 64 - EraBits

// NewRevision returns the revision with a number in an era. Both must fit their bits.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns how often the store had been restored.
func (r Revision) Era() uint64 {
	return uint64(r) >> numberBits
}

// Number returns the number that the store gave out.
func (r Revision) Number() uint64 {
	return uint64(r) & (1<<numberBits - 1)
}

// String returns the number, with the era before it unless that is 0.
func (r Revision) String() string {
	n := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return n
	}
	return strconv.FormatUint(r.Era(), 10) + "/" + n
}
