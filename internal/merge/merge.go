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
	best   []query.Hit // in order, at most top
	spare  []query.Hit // the room that best had before
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
	if !slices.IsSortedFunc(hits, order) {
		hits = slices.Clone(hits)
		slices.SortFunc(hits, order)
	}
	m.join(hits)
	return true
}

// join merges a list in order into the best hits, as far as it reaches.
func (m *Merge) join(hits []query.Hit) {
	if n := len(m.best); n == m.top && (len(hits) == 0 || m.best[n-1].Before(hits[0])) {
		return
	}
	out := m.spare[:0]
	i, j := 0, 0
	for len(out) < m.top && (i < len(m.best) || j < len(hits)) {
		var h query.Hit
		if j == len(hits) || i < len(m.best) && m.best[i].Before(hits[j]) {
			h = m.best[i]
			i++
		} else {
			h = hits[j]
			j++
		}
		if n := len(out); n == 0 || out[n-1].ID != h.ID {
			out = append(out, h)
		}
	}
	m.best, m.spare = out, m.best
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
	return slices.Clone(m.best)
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
