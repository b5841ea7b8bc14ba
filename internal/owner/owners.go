// Package owner manages the blocks of permits that a daemon owns. It acquires
// blocks, transfers them to other daemons, records their owners in the store,
// reissues blocks without an owner, and tells the relay which blocks it may use.
package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A Candidate is a daemon that may own blocks.
type Candidate struct {
	Identity string // IP:PORT#START
	Domain   string // failure domain
}

// Owners returns the identities of up to n daemons that should own the blocks of
// a cell, best first. It spreads them over as many failure domains as possible.
// It uses rendezvous hashing: all daemons with the same candidates get the same
// owners, and adding or removing a candidate affects few cells.
func Owners(cell string, n int, candidates []Candidate) []string {
	rest := slices.Clone(candidates)
	slices.SortFunc(rest, func(a, b Candidate) int {
		if c := cmp.Compare(weight(cell, b), weight(cell, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
	owners := make([]string, 0, n)
	usedDomains := make(map[string]bool)
	for len(owners) < n && len(rest) > 0 {
		i := slices.IndexFunc(rest, func(c Candidate) bool { return !usedDomains[c.Domain] })
		if i < 0 {
			clear(usedDomains)
			continue
		}
		usedDomains[rest[i].Domain] = true
		owners = append(owners, rest[i].Identity)
		rest = slices.Delete(rest, i, i+1)
	}
	return owners
}

// weight returns the rendezvous hash of a candidate for a cell; highest wins.
func weight(cell string, c Candidate) uint64 {
	return xxhash.Sum64String(cell + "/" + c.Identity)
}

// TransferTarget returns the daemon that self should transfer one of its blocks
// of a cell to, or "" if self should keep them all. owners are the daemons that
// should own the cell's blocks, and count returns how many of the cell's blocks a
// daemon owns. An owner transfers a block only to one with at least two fewer.
func TransferTarget(self string, owners []string, count func(identity string) int) string {
	if len(owners) == 0 {
		return ""
	}
	fewest := slices.MinFunc(owners, func(a, b string) int { return cmp.Compare(count(a), count(b)) })
	if !slices.Contains(owners, self) {
		return fewest
	}
	if fewest != self && count(self) > count(fewest)+1 {
		return fewest
	}
	return ""
}
