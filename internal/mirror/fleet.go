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
	Address string // IP:PORT that serves peers
	Domain  string // failure domain
	Region  string
}

// A Fleet holds the members of the fleet and the order in which they replicate.
// It is safe for concurrent use. The zero value with Self set has no members.
type Fleet struct {
	Self Member

	mu           sync.Mutex
	seeds        []Member // peers to use while no members are known; names may be empty
	members      map[string]Member
	sources      []Member       // members that this daemon may replicate from, preferred first
	others       []Member       // all members but this daemon
	regionCounts map[string]int // number of members by region
}

// SetSeeds replaces the peers to use while no members are known.
func (f *Fleet) SetSeeds(seeds []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Set replaces the members, which are keyed by name. The map must not be changed
// afterwards.
func (f *Fleet) Set(members map[string]Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
	f.others = nil
	f.regionCounts = make(map[string]int)
	var t tree
	for _, m := range members {
		f.regionCounts[m.Region]++
		t.add(m)
		if m.Name != f.Self.Name {
			f.others = append(f.others, m)
		}
	}
	f.sources = t.sources(f.Self)
}

// A tree is the replication tree. Within a failure domain all daemons replicate
// from its first one, the first ones of a region's domains from the first of
// the region, and the first ones of the regions from the first of the fleet, in
// the order of compareHash. So a change is sent once into each other region, and
// once into each other domain.
type tree struct {
	all     []Member
	domains map[string]Member // first daemon of each failure domain
	regions map[string]Member // first daemon of each region
}

func (t *tree) add(m Member) {
	if t.domains == nil {
		t.domains = make(map[string]Member)
		t.regions = make(map[string]Member)
	}
	t.all = append(t.all, m)
	if o, ok := t.domains[m.Domain]; !ok || compareHash(m, o) < 0 {
		t.domains[m.Domain] = m
	}
	if o, ok := t.regions[m.Region]; !ok || compareHash(m, o) < 0 {
		t.regions[m.Region] = m
	}
}

// sources returns the daemons that self may replicate from, preferred first.
func (t *tree) sources(self Member) []Member {
	first := t.regions[self.Region]
	if first.Name == self.Name {
		return preceding(slices.Collect(maps.Values(t.regions)), self)
	}
	if t.domains[self.Domain].Name == self.Name {
		return preceding(inRegion(slices.Collect(maps.Values(t.domains)), self), self)
	}
	domain := slices.DeleteFunc(slices.Clone(t.all), func(m Member) bool { return m.Domain != self.Domain })
	out := preceding(domain, self)
	// The first of the region is among the sources that are tried, in case those
	// of the domain fail.
	if first.Domain != self.Domain && first.Name != "" {
		out = slices.Insert(out, min(len(out), maxSources-1), first)
	}
	return out
}

// inRegion returns the daemons that are in the region of self. It overwrites
// all.
func inRegion(all []Member, self Member) []Member {
	return slices.DeleteFunc(all, func(m Member) bool { return m.Region != self.Region })
}

// preceding returns the daemons that come before self, in order. It overwrites
// all.
func preceding(all []Member, self Member) []Member {
	out := slices.DeleteFunc(all, func(m Member) bool { return compareHash(m, self) >= 0 })
	slices.SortFunc(out, compareHash)
	return out
}

// compareHash compares daemons by the hash of their names: a pseudo-random order
// that is the same on all daemons.
func compareHash(a, b Member) int {
	return cmp.Compare(nameHash(a.Name), nameHash(b.Name))
}

func nameHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Rank returns how many daemons read the store before this one does. It is 0 for
// the first daemon, and while no members are known.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sources)
}

// Size returns the number of members, and at least 1 for this daemon.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(len(f.members), 1)
}

// CountByRegion returns the number of members by region. The map must not be
// changed.
func (f *Fleet) CountByRegion() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.regionCounts
}

// unknownShare is the share of a daemon that does not know the members yet. It
// is small, as there may be many.
const unknownShare = 0.01

// Share returns this daemon's share of limits that apply to the whole fleet,
// above 0 and at most 1. Callers are spread evenly over failure domains, and
// within a domain over its daemons, so a daemon that is alone in its domain
// gets more load than one of many.
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
	// A daemon whose own record has not been replicated yet counts itself.
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

// SelfMissing reports whether members are known and this daemon is not one of
// them.
func (f *Fleet) SelfMissing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, own := f.members[f.Self.Name]
	return len(f.members) > 0 && !own
}

// Sources returns at most n daemons to replicate from, preferred first.
func (f *Fleet) Sources(n int) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sources[:min(n, len(f.sources))])
}

// peerChoices is the number of random peers of which the nearest is chosen.
// With it most requests stay within the region, and no peer is left out for
// long.
const peerChoices = 3

// RandomPeer returns a random other daemon, preferably a near one, or a seed
// while none is known. It reports false if there is no seed either.
func (f *Fleet) RandomPeer() (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := f.others
	if len(peers) == 0 {
		peers = f.seeds
	}
	if len(peers) == 0 {
		return Member{}, false
	}
	best := peers[rand.IntN(len(peers))]
	for range peerChoices - 1 {
		m := peers[rand.IntN(len(peers))]
		if f.proximity(m) > f.proximity(best) {
			best = m
		}
	}
	return best, true
}

// proximity returns 2 for a daemon of the same failure domain, 1 for one of the
// same region, and 0 for others.
func (f *Fleet) proximity(m Member) int {
	switch {
	case m.Domain == f.Self.Domain:
		return 2
	case m.Region == f.Self.Region:
		return 1
	}
	return 0
}
