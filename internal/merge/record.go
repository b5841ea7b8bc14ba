package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the size in bytes of a fixed-size record, as ranked by Greatest.
const RecordSize = 16

// Greatest returns the n greatest records of all parts, concatenated, greatest
// first. Each part is a concatenation of records. Records are compared byte by
// byte, and duplicates are kept. An incomplete record at the end of a part is
// ignored.
func Greatest(parts [][]byte, n int) []byte {
	var all [][]byte
	for _, p := range parts {
		for len(p) >= RecordSize {
			all = append(all, p[:RecordSize])
			p = p[RecordSize:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int {
		return bytes.Compare(b, a)
	})
	all = all[:min(n, len(all))]
	out := make([]byte, 0, len(all)*RecordSize)
	for _, r := range all {
		out = append(out, r...)
	}
	return out
}
