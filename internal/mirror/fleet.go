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

// A Fleet knows the daemons, and who reads the store before whom. It is safe
// for concurrent use. The zero value with Self set knows nobody else.
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
	f.others = nil
	f.counts = make(map[string]int)
	var t tree
	for _, m := range members {
		f.counts[m.Region]++
		t.add(m)
		if m.Name != f.Self.Name {
			f.others = append(f.others, m)
		}
	}
	f.before = t.before(f.Self)
}

// A tree orders the daemons for copying: within a failure domain all follow its
// first daemon, the first ones of a region's domains follow the first of the
// region, and those of the regions the first of them all. So a change passes
// once between two regions, and once between two domains.
type tree struct {
	all     []Member
	domains map[string]Member // the first daemon of each
	regions map[string]Member
}

func (t *tree) add(m Member) {
	if t.domains == nil {
		t.domains = make(map[string]Member)
		t.regions = make(map[string]Member)
	}
	t.all = append(t.all, m)
	if o, ok := t.domains[m.Domain]; !ok || earlier(m, o) < 0 {
		t.domains[m.Domain] = m
	}
	if o, ok := t.regions[m.Region]; !ok || earlier(m, o) < 0 {
		t.regions[m.Region] = m
	}
}

// before returns those that a daemon may follow, the best one first.
func (t *tree) before(self Member) []Member {
	first := t.regions[self.Region]
	if first.Name == self.Name {
		return follow(slices.Collect(maps.Values(t.regions)), self)
	}
	if t.domains[self.Domain].Name == self.Name {
		return follow(within(slices.Collect(maps.Values(t.domains)), self), self)
	}
	domain := slices.DeleteFunc(slices.Clone(t.all), func(m Member) bool { return m.Domain != self.Domain })
	out := follow(domain, self)
	// The first of the region comes in where those of the domain don't help.
	if first.Domain != self.Domain && first.Name != "" {
		out = slices.Insert(out, min(len(out), sources-1), first)
	}
	return out
}

// within returns the daemons of a daemon's region.
func within(all []Member, self Member) []Member {
	return slices.DeleteFunc(all, func(m Member) bool { return m.Region != self.Region })
}

// follow returns those of some daemons that come before one, in order.
func follow(all []Member, self Member) []Member {
	out := slices.DeleteFunc(all, func(m Member) bool { return earlier(m, self) >= 0 })
	slices.SortFunc(out, earlier)
	return out
}

// earlier orders daemons at random, in the same way everywhere.
func earlier(a, b Member) int {
	return cmp.Compare(rank(a.Name), rank(b.Name))
}

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

// Daemons returns the number of daemons by region. It must not be changed.
func (f *Fleet) Daemons() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
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

// draws is the number of daemons of which the nearest is asked: with it most
// questions stay within the region, and no daemon is left out for long.
const draws = 3

// Other returns any other daemon, mostly a near one, or a seed while none is
// known.
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
	best := from[rand.IntN(len(from))]
	for range draws - 1 {
		m := from[rand.IntN(len(from))]
		if f.near(m) > f.near(best) {
			best = m
		}
	}
	return best, true
}

// near returns how near a daemon is, in an order of its own.
func (f *Fleet) near(m Member) int {
	switch {
	case m.Domain == f.Self.Domain:
		return 2
	case m.Region == f.Self.Region:
		return 1
	}
	return 0
}
