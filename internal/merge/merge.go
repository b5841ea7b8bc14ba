// Package merge joins the hits of parts into one answer and counts its coverage.
package merge

import (
	"slices"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Merge joins parts of one snapshot. Each shard is merged once: a second
// part of the same shard is dropped. Use New to make one. It is not safe for
// concurrent use.
type Merge struct {
	top    int
	shards []shard
	lists  [][]query.Hit
	merged int
}

// shard is what became of one shard.
type shard struct {
	merged bool
	reason string // why not; empty while nothing is known
}

// New returns a merge of so many shards that keeps the best hits.
func New(shards, top int) *Merge {
	return &Merge{top: top, shards: make([]shard, shards)}
}

// Add merges the hits of the shards. Nothing is added unless none of them has
// been merged before, so that no document is counted twice.
func (m *Merge) Add(shards []int, hits []query.Hit) bool {
	for _, s := range shards {
		if s < 0 || s >= len(m.shards) || m.shards[s].merged {
			return false
		}
	}
	for _, s := range shards {
		m.shards[s] = shard{merged: true}
		m.merged++
	}
	m.lists = append(m.lists, hits)
	return true
}

// Miss notes why a shard is missing. A merged shard stays merged.
func (m *Merge) Miss(n int, reason string) {
	if n >= 0 && n < len(m.shards) && !m.shards[n].merged {
		m.shards[n].reason = reason
	}
}

// Merged returns how many shards have been merged.
func (m *Merge) Merged() int {
	return m.merged
}

// Numbers returns the merged shards in order.
func (m *Merge) Numbers() []int {
	out := make([]int, 0, m.merged)
	for n, s := range m.shards {
		if s.merged {
			out = append(out, n)
		}
	}
	return out
}

// Coverage returns which shards were merged. Those that nothing is known of
// are missed for the reason given.
func (m *Merge) Coverage(open string) query.Coverage {
	c := query.Coverage{Shards: len(m.shards), Merged: m.merged, Missed: []query.Miss{}}
	for n, s := range m.shards {
		if s.merged {
			continue
		}
		reason := s.reason
		if reason == "" {
			reason = open
		}
		c.Missed = append(c.Missed, query.Miss{Shard: n, Reason: reason})
	}
	return c
}

// Hits returns the best hits of all merged parts, in the order of query.Hit.
func (m *Merge) Hits() []query.Hit {
	n := 0
	for _, l := range m.lists {
		n += len(l)
	}
	all := make([]query.Hit, 0, n)
	for _, l := range m.lists {
		all = append(all, l...)
	}
	slices.SortFunc(all, order)
	all = slices.CompactFunc(all, func(a, b query.Hit) bool { return a.ID == b.ID })
	return all[:min(len(all), m.top)]
}

func order(a, b query.Hit) int {
	switch {
	case a.Before(b):
		return -1
	case b.Before(a):
		return 1
	}
	return 0
}
