// Package hold keeps a daemon's blocks of permits: it takes, gives, records and
// reissues them, and tells the relay what it may use.
package hold

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A Candidate is a daemon that may own blocks.
type Candidate struct {
	Identity string
	Domain   string
}

// Owners returns the daemons that should own the blocks of a cell, best first:
// up to n of them, in different failure domains as far as there are any. Every
// daemon that knows the same candidates returns the same owners, and a
// candidate more or less changes few cells.
func Owners(cell string, n int, candidates []Candidate) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if c := cmp.Compare(rank(cell, b), rank(cell, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
	out := make([]string, 0, n)
	taken := make(map[string]bool)
	for len(out) < n && len(ranked) > 0 {
		i := slices.IndexFunc(ranked, func(c Candidate) bool { return !taken[c.Domain] })
		if i < 0 {
			clear(taken)
			continue
		}
		taken[ranked[i].Domain] = true
		out = append(out, ranked[i].Identity)
		ranked = slices.Delete(ranked, i, i+1)
	}
	return out
}

func rank(cell string, c Candidate) uint64 {
	return xxhash.Sum64String(cell + "/" + c.Identity)
}

// Target returns to whom a daemon should give one of its blocks of a cell, or
// "" when it should keep them. owners are the daemons that should own the
// cell's blocks; has returns how many blocks of the cell a daemon owns.
func Target(self string, owners []string, has func(identity string) int) string {
	if len(owners) == 0 {
		return ""
	}
	least := slices.MinFunc(owners, func(a, b string) int { return cmp.Compare(has(a), has(b)) })
	if !slices.Contains(owners, self) {
		return least
	}
	if least != self && has(self) > has(least)+1 {
		return least
	}
	return ""
}
