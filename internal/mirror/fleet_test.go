package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestTree checks that the preferred sources form a tree with a single root, in
// which only one daemon of each other region replicates from outside its
// region, and one of each other failure domain from outside its domain.
func TestTree(t *testing.T) {
	tests := []struct{ daemons, domains, regions int }{
		{1, 1, 1},
		{3, 2, 2},
		{8, 4, 2},
		{12, 5, 5},
		{30, 6, 3},
		{300, 6, 3},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			is := is.New(t)
			members := make(map[string]Member)
			for i := range tt.daemons {
				m := Member{Name: fmt.Sprint("daemon", i), Domain: fmt.Sprint("d", i%tt.domains), Region: fmt.Sprint("r", i%tt.domains%tt.regions)}
				members[m.Name] = m
			}
			readers, regions, domains := 0, 0, 0
			for _, m := range members {
				f := &Fleet{Self: m}
				f.Set(members)
				before := f.Sources(maxSources)
				if len(before) == 0 {
					readers++
					continue
				}
				// The preferred sources form no cycles.
				is.True(compareHash(before[0], m) < 0)
				if before[0].Region != m.Region {
					regions++
				}
				if before[0].Domain != m.Domain {
					domains++
				}
			}
			is.Equal(readers, 1)
			is.Equal(regions, min(tt.regions, tt.domains, tt.daemons)-1)
			is.Equal(domains, min(tt.domains, tt.daemons)-1)
		})
	}
}

// TestFirstOfRegion checks that the first daemon of a region is among the sources
// of every other one: it is needed when the sources of a failure domain are
// lost.
func TestFirstOfRegion(t *testing.T) {
	is := is.New(t)
	members := make(map[string]Member)
	for i := range 40 {
		m := Member{Name: fmt.Sprint("daemon", i), Domain: fmt.Sprint("d", i%4), Region: "r"}
		members[m.Name] = m
	}
	first := slices.MinFunc(slices.Collect(maps.Values(members)), compareHash)
	for _, m := range members {
		f := &Fleet{Self: m}
		f.Set(members)
		is.Equal(slices.Contains(f.Sources(maxSources), first), m != first)
	}
}

// TestNewDomain checks that a daemon whose own record is not known yet
// replicates from the first of its region.
func TestNewDomain(t *testing.T) {
	is := is.New(t)
	f := &Fleet{Self: Member{Name: "c", Domain: "y", Region: "r"}}
	f.Set(map[string]Member{"a": {Name: "a", Domain: "x", Region: "r"}})
	is.Equal(f.Sources(maxSources), []Member{{Name: "a", Domain: "x", Region: "r"}})
}
