package merge

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/prop"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

func TestMain(m *testing.M) {
	prop.Main(m)
}

func TestShardMergedOnce(t *testing.T) {
	is := is.New(t)
	m := New(3, 10)
	is.True(m.Add([]int{0, 1}, []query.Hit{{ID: "a", Score: 2}}))
	is.True(!m.Add([]int{1, 2}, []query.Hit{{ID: "b", Score: 9}})) // shard 1 has been merged
	m.SetReason(1, "late")                                         // and remains so
	is.Equal(m.Hits(), []query.Hit{{ID: "a", Score: 2}})
	is.Equal(m.Coverage("open"), query.Coverage{Shards: 3, Merged: 2, Missed: []query.Miss{{Shard: 2, Reason: "open"}}})
}

// TestMergeDrawn adds the results of random shards, some of them twice, and
// compares the best hits with those of a sort of all hits that were merged.
func TestMergeDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		top := rapid.IntRange(1, 6).Draw(t, "top")
		m := New(shards, top)
		var want []query.Hit
		var seen []int
		for range rapid.IntRange(0, 2*shards).Draw(t, "parts") {
			s := rapid.IntRange(0, shards-1).Draw(t, "shard")
			hits := []query.Hit{
				{ID: string(rune('a'+s)) + "1", Score: uint64(rapid.IntRange(0, 3).Draw(t, "score"))},
				{ID: string(rune('a'+s)) + "2", Score: uint64(rapid.IntRange(0, 3).Draw(t, "score"))},
			}
			if m.Add([]int{s}, hits) {
				if slices.Contains(seen, s) {
					t.Fatalf("shard %d merged twice", s)
				}
				seen = append(seen, s)
				want = append(want, hits...)
			}
		}
		slices.SortFunc(want, compareHits)
		want = slices.Compact(want)
		if got := m.Hits(); !slices.Equal(got, want[:min(top, len(want))]) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if c := m.Coverage("open"); c.Merged != len(seen) || c.Merged+len(c.Missed) != shards {
			t.Fatalf("coverage %v of %v", c, seen)
		}
	})
}

func BenchmarkHits(b *testing.B) {
	for b.Loop() {
		m := New(100, 10)
		for s := range 100 {
			hits := make([]query.Hit, 10)
			for i := range hits {
				hits[i] = query.Hit{ID: "x", Score: uint64(s*31+i*17) % 1000}
			}
			m.Add([]int{s}, hits)
		}
		m.Hits()
	}
}
