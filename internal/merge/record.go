package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// Greatest returns the n greatest records of all parts, greatest first. Records
// compare byte by byte, and equal ones all count. Bytes after a part's last
// whole record are no record.
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
