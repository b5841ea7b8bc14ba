package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestTree has each daemon follow, in one or more steps, the first of all, with
// one step between two regions and one between two failure domains.
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
				before := f.Before(sources)
				if len(before) == 0 {
					readers++
					continue
				}
				// The order has no circles.
				is.True(earlier(before[0], m) < 0)
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

// TestFirstOfRegion has the first of the region among those that each other
// daemon asks: where those of a failure domain are lost, it helps.
func TestFirstOfRegion(t *testing.T) {
	is := is.New(t)
	members := make(map[string]Member)
	for i := range 40 {
		m := Member{Name: fmt.Sprint("daemon", i), Domain: fmt.Sprint("d", i%4), Region: "r"}
		members[m.Name] = m
	}
	first := slices.MinFunc(slices.Collect(maps.Values(members)), earlier)
	for _, m := range members {
		f := &Fleet{Self: m}
		f.Set(members)
		is.Equal(slices.Contains(f.Before(sources), first), m != first)
	}
}

// TestNewDomain has a daemon whose own record is not known yet follow the first
// of its region.
func TestNewDomain(t *testing.T) {
	is := is.New(t)
	f := &Fleet{Self: Member{Name: "c", Domain: "y", Region: "r"}}
	f.Set(map[string]Member{"a": {Name: "a", Domain: "x", Region: "r"}})
	is.Equal(f.Before(sources), []Member{{Name: "a", Domain: "x", Region: "r"}})
}
