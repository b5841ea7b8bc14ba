// Package merge merges the results of shards into one ranked list and tracks
// which shards it covers.
package merge

import (
	"slices"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Merger merges lists of hits of one snapshot, each from one or more shards.
// It merges each shard once and drops later results of the same shard. Use New
// to make one. It is not safe for concurrent use.
type Merger struct {
	top       int
	shards    []shard
	best      []query.Hit // sorted, at most top
	scratch   []query.Hit // previous backing array of best, for reuse
	numMerged int         // number of merged shards
}

// A shard is the state of one shard.
type shard struct {
	merged bool
	reason string // why it is missing; empty if unknown
}

// New returns a Merger for shards 0 to shards-1 that keeps the top best hits.
func New(shards, top int) *Merger {
	return &Merger{top: top, shards: make([]shard, shards)}
}

// Add merges hits that come from the given shards, and reports whether it did.
// If one of the shards is unknown or has been merged before, it merges nothing,
// so that no document is counted twice. It does not modify hits.
func (m *Merger) Add(shards []int, hits []query.Hit) bool {
	for _, s := range shards {
		if s < 0 || s >= len(m.shards) || m.shards[s].merged {
			return false
		}
	}
	for _, s := range shards {
		m.shards[s] = shard{merged: true}
		m.numMerged++
	}
	if !slices.IsSortedFunc(hits, compareHits) {
		hits = slices.Clone(hits)
		slices.SortFunc(hits, compareHits)
	}
	m.mergeSorted(hits)
	return true
}

// mergeSorted merges sorted hits into the best hits and keeps at most top. Of
// adjacent hits with the same ID it keeps one.
func (m *Merger) mergeSorted(hits []query.Hit) {
	if n := len(m.best); n == m.top && (len(hits) == 0 || m.best[n-1].Before(hits[0])) {
		return
	}
	out := m.scratch[:0]
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
	m.best, m.scratch = out, m.best
}

// SetReason records why shard n is missing. It has no effect on a merged or an
// unknown shard.
func (m *Merger) SetReason(n int, reason string) {
	if n >= 0 && n < len(m.shards) && !m.shards[n].merged {
		m.shards[n].reason = reason
	}
}

// NumMerged returns the number of merged shards.
func (m *Merger) NumMerged() int {
	return m.numMerged
}

// MergedShards returns the numbers of the merged shards in ascending order.
func (m *Merger) MergedShards() []int {
	out := make([]int, 0, m.numMerged)
	for n, s := range m.shards {
		if s.merged {
			out = append(out, n)
		}
	}
	return out
}

// Coverage returns how many shards were merged, and which are missing for what
// reason. Missing shards without a recorded reason get defaultReason.
func (m *Merger) Coverage(defaultReason string) query.Coverage {
	c := query.Coverage{Shards: len(m.shards), Merged: m.numMerged, Missed: []query.Miss{}}
	for n, s := range m.shards {
		if s.merged {
			continue
		}
		reason := s.reason
		if reason == "" {
			reason = defaultReason
		}
		c.Missed = append(c.Missed, query.Miss{Shard: n, Reason: reason})
	}
	return c
}

// Hits returns a copy of the best hits of all merged shards, sorted as by
// query.Hit.Before.
func (m *Merger) Hits() []query.Hit {
	return slices.Clone(m.best)
}

// compareHits orders hits as query.Hit.Before does, for package slices.
func compareHits(a, b query.Hit) int {
	switch {
	case a.Before(b):
		return -1
	case b.Before(a):
		return 1
	}
	return 0
}
