package merge

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// record returns s padded to a record.
func record(s string) string {
	return s + strings.Repeat(".", RecordSize-len(s))
}

func TestGreatest(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		n     int
		want  string
	}{
		{name: "none", n: 3},
		{name: "descending order across parts", parts: []string{record("b") + record("a"), record("c")}, n: 2, want: record("c") + record("b")},
		{name: "duplicates are kept", parts: []string{record("a"), record("a")}, n: 5, want: record("a") + record("a")},
		{name: "incomplete records are ignored", parts: []string{record("a") + "zzzz", "zz"}, n: 5, want: record("a")},
		{name: "compared as bytes, not as UTF-8", parts: []string{record("\xff") + record("z")}, n: 1, want: record("\xff")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var parts [][]byte
			for _, p := range tt.parts {
				parts = append(parts, []byte(p))
			}
			is.Equal(string(Greatest(parts, tt.n)), tt.want)
		})
	}
}

// TestGreatestDrawn compares the result for random parts with a sort of all
// records.
func TestGreatestDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 5*RecordSize)).Draw(t, "parts")
		n := rapid.IntRange(0, 20).Draw(t, "n")
		var all []string
		for _, p := range parts {
			for c := range slices.Chunk(p, RecordSize) {
				if len(c) == RecordSize {
					all = append(all, string(c))
				}
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		want := strings.Join(all[:min(n, len(all))], "")
		if got := Greatest(parts, n); !bytes.Equal(got, []byte(want)) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
