package fakes

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Documents is the data set of a service: Count documents, whose scores depend on
// the index version and the query text. An answer that mixes versions therefore
// differs from the one that Expected returns.
type Documents struct {
	Service string
	Count   int
}

// ID returns the ID of document i.
func (d Documents) ID(i int) string {
	return fmt.Sprintf("%s-%05d", d.Service, i)
}

// Free reports whether an item is free at an index version.
func Free(item string, version uint64) bool {
	return xxhash.Sum64String(item+strconv.FormatUint(version, 10))%2 == 0
}

func hitScore(seed uint64, i int) uint64 {
	x := seed + uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return x % 100000
}

// Top returns the best hits, at most top, among the documents ids, best first.
// If after is not nil, only hits that rank behind it are returned.
func (d Documents) Top(version uint64, text string, top int, after *query.Hit, ids []int) []query.Hit {
	seed := xxhash.Sum64String(text + "/" + strconv.FormatUint(version, 10))
	var h worstFirst
	for _, i := range ids {
		hit := query.Hit{Score: hitScore(seed, i)}
		if len(h) == top && hit.Score < h[0].Score {
			continue
		}
		hit.ID = d.ID(i)
		if after != nil && !after.Before(hit) {
			continue
		}
		heap.Push(&h, hit)
		if len(h) > top {
			heap.Pop(&h)
		}
	}
	slices.SortFunc(h, func(a, b query.Hit) int {
		if a.Before(b) {
			return -1
		}
		return 1
	})
	return h
}

// Shard returns the indexes of the documents in one shard of a layout that has
// the given number of shards.
func (d Documents) Shard(shard, shards int) []int {
	var ids []int
	for i := range d.Count {
		if query.ShardOf(d.ID(i), shards) == shard {
			ids = append(ids, i)
		}
	}
	return ids
}

// Expected returns the correct hits for a query whose answer lacks the missed shards.
func (d Documents) Expected(s query.Snapshot, shards int, missed []query.Miss, text string, top int, after *query.Hit) []query.Hit {
	var ids []int
	for i := range d.Count {
		shard := query.ShardOf(d.ID(i), shards)
		if !slices.ContainsFunc(missed, func(m query.Miss) bool { return m.Shard == shard }) {
			ids = append(ids, i)
		}
	}
	return d.Top(s.Version, text, top, after, ids)
}

// worstFirst is a heap whose root is the worst hit.
type worstFirst []query.Hit

func (h worstFirst) Len() int           { return len(h) }
func (h worstFirst) Less(i, j int) bool { return h[j].Before(h[i]) }
func (h worstFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface; x is a query.Hit.
func (h *worstFirst) Push(x any) { *h = append(*h, x.(query.Hit)) }

// Pop implements heap.Interface; it removes the last hit of the slice.
func (h *worstFirst) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
