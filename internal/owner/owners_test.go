package owner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/prop"
)

func TestMain(m *testing.M) {
	prop.Main(m)
}

func candidates(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Identity: fmt.Sprintf("127.0.0.1:%d#s", i), Domain: fmt.Sprintf("d%d", i%3)})
	}
	return out
}

// TestOwnersDrawn checks that owners are distinct, cover as many failure domains
// as possible, and do not change when a daemon that owns nothing is removed.
func TestOwnersDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(1, 30).Draw(t, "daemons"))
		n := rapid.IntRange(1, 5).Draw(t, "blocks")
		owners := Owners("cell", n, all)
		if len(owners) != min(n, len(all)) {
			t.Fatalf("got %d owners from %d candidates", len(owners), len(all))
		}
		seen := make(map[string]bool)
		domains := make(map[string]bool)
		for _, o := range owners {
			seen[o] = true
			for _, c := range all {
				if c.Identity == o {
					domains[c.Domain] = true
				}
			}
		}
		if len(seen) != len(owners) || len(domains) != min(3, len(owners)) {
			t.Fatalf("owners not distinct or in too few domains: %v in %d domains", owners, len(domains))
		}
		for i, c := range all {
			if seen[c.Identity] {
				continue
			}
			rest := append(append([]Candidate{}, all[:i]...), all[i+1:]...)
			if got := Owners("cell", n, rest); fmt.Sprint(got) != fmt.Sprint(owners) {
				t.Fatalf("owners changed without %s: got %v, want %v", c.Identity, got, owners)
			}
			return
		}
	})
}

func TestTarget(t *testing.T) {
	tests := []struct {
		name   string
		owners []string
		count  []int // blocks of a, b and c
		want   string
	}{
		{name: "non-owner transfers to owner with fewest blocks", owners: []string{"b", "c"}, count: []int{2, 1, 0}, want: "c"},
		{name: "equal counts", owners: []string{"a", "b", "c"}, count: []int{1, 1, 1}, want: ""},
		{name: "one block more", owners: []string{"a", "b"}, count: []int{2, 1, 0}, want: ""},
		{name: "two or more blocks more", owners: []string{"a", "b"}, count: []int{3, 0, 0}, want: "b"},
		{name: "no owners", count: []int{3, 0, 0}, want: ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			count := func(id string) int { return tt.count[id[0]-'a'] }
			is.Equal(TransferTarget("a", tt.owners, count), tt.want)
		})
	}
}
