package mirror

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A Member is a daemon of the fleet.
type Member struct {
	Name    string // unique in the fleet
	Address string // for other daemons: IP number and port
	Domain  string // failure domain
	Region  string
}

// A Fleet knows the daemons, and who reads the store before whom: within a
// region all follow its first daemon, and the first daemons of the regions
// follow the first of them all. It is safe for concurrent use. The zero value with Self set knows nobody else.
type Fleet struct {
	Self  Member
	Seeds []Member // asked while no members are known; the names may be empty

	mu      sync.Mutex
	members map[string]Member
	before  []Member       // those that read before this daemon does, in order
	others  []Member       // all but this daemon
	counts  map[string]int // daemons by region
}

// Set takes in all members.
func (f *Fleet) Set(members map[string]Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
	f.before = nil
	f.others = nil
	f.counts = make(map[string]int)
	first := make(map[string]Member) // of each region
	for _, m := range members {
		f.counts[m.Region]++
		if o, ok := first[m.Region]; !ok || rank(m.Name) < rank(o.Name) {
			first[m.Region] = m
		}
		if m.Name != f.Self.Name {
			f.others = append(f.others, m)
		}
	}
	from := f.others
	if first[f.Self.Region].Name == f.Self.Name {
		from = slices.Collect(maps.Values(first))
	} else {
		from = slices.DeleteFunc(slices.Clone(from), func(m Member) bool { return m.Region != f.Self.Region })
	}
	self := rank(f.Self.Name)
	for _, m := range from {
		if rank(m.Name) < self {
			f.before = append(f.before, m)
		}
	}
	slices.SortFunc(f.before, func(a, b Member) int {
		return cmp.Compare(rank(a.Name), rank(b.Name))
	})
}

// rank orders daemons at random, in the same way everywhere.
func rank(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Rank returns how many daemons read before this one.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.before)
}

// Size returns the number of daemons, this one included.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(len(f.members), 1)
}

// Near returns the number of daemons that use the upstreams of a region: its
// own ones, or all if it has none.
func (f *Fleet) Near(region string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.counts[region]; n > 0 {
		return n
	}
	return len(f.members)
}

// unknownShare is the share of a daemon that does not know the others yet:
// small, as there may be many.
const unknownShare = 0.01

// Share returns this daemon's part of what the fleet shares, from 0 to 1.
// Callers come to the failure domains alike and within one to its daemons, so
// a daemon that is alone in its domain has more to do than one of many.
func (f *Fleet) Share() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.members) == 0 {
		return unknownShare
	}
	domains := make(map[string]int)
	for _, m := range f.members {
		domains[m.Domain]++
	}
	// A daemon whose own record is still on its way counts itself.
	own := max(domains[f.Self.Domain], 1)
	domains[f.Self.Domain] = own
	return 1 / float64(len(domains)*own)
}

// Known reports whether any members are known.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) > 0
}

// Missing reports whether other daemons are known and this one's own record is
// not among theirs.
func (f *Fleet) Missing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, own := f.members[f.Self.Name]
	return len(f.members) > 0 && !own
}

// Before returns the first few daemons that read before this one.
func (f *Fleet) Before(most int) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.before[:min(most, len(f.before))])
}

// Other returns any other daemon, or a seed while none is known.
func (f *Fleet) Other() (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := f.others
	if len(from) == 0 {
		from = f.Seeds
	}
	if len(from) == 0 {
		return Member{}, false
	}
	return from[rand.IntN(len(from))], true
}
