package route

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	table := New(Table{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := []struct {
		name, host, path, want string
	}{
		{name: "longest prefix", host: "a.example", path: "/x/y/1", want: "xy"},
		{name: "shorter prefix", host: "a.example", path: "/x/1", want: "x"},
		{name: "a prefix ends at a slash", host: "a.example", path: "/x/yz", want: "x"},
		{name: "root", host: "a.example", path: "/q", want: "all"},
		{name: "host with a port", host: "a.example:8080", path: "/x/1", want: "x"},
		{name: "host in upper case", host: "A.Example", path: "/x/1", want: "x"},
		{name: "another host", host: "b.example", path: "/x/1", want: "other"},
		{name: "no such path", host: "b.example", path: "/y/1"},
		{name: "no such host", host: "c.example", path: "/x/1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestSplitter splits 300 requests over 6 daemons with a Splitter each. The shares of
// all must match the weights.
func TestSplitter(t *testing.T) {
	is := is.New(t)
	r := &Route{Name: "r", Split: []WeightedService{{"a", 5}, {"b", 3}, {"c", 2}}}
	table := New(Table{Version: 3, Routes: []Route{*r}})
	counts := make(map[string]int)
	const daemons, each = 6, 50
	for range daemons {
		var s Splitter
		for range each {
			counts[s.Next(table, r)]++
		}
	}
	for _, w := range r.Split {
		share := float64(counts[w.Service]) / (daemons * each)
		is.True(math.Abs(share-w.Weight/10) < 0.03) // the requirement is 0.1
	}
}

func TestSplitterSingleService(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.Equal(s.Next(New(Table{}), &Route{Service: "a"}), "a")
}

func TestAllowsRegion(t *testing.T) {
	is := is.New(t)
	is.True((&Route{}).AllowsRegion("north"))
	is.True((&Route{Regions: []string{"north"}}).AllowsRegion("north"))
	is.True(!(&Route{Regions: []string{"north"}}).AllowsRegion("south"))
}
