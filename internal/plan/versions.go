// Package plan chooses the snapshot that a query reads and the daemon that serves
// each of its cells.
package plan

import (
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A report is the newest version that every shard of a cell can serve.
type report struct {
	newest     uint64 // 0 if unknown
	reportedAt time.Time
}

// Versions holds the versions that each cell can serve, as reported in replies.
// The zero value is empty and ready to use. It is safe for concurrent use.
type Versions struct {
	mu      sync.Mutex
	reports map[string]report // by cell name
}

// Record sets the newest version that a cell can serve, as reported at now. It does
// nothing if newest is 0, which means that the version is unknown.
func (v *Versions) Record(cell string, newest uint64, now time.Time) {
	if newest == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reports == nil {
		v.reports = make(map[string]report)
	}
	v.reports[cell] = report{newest: newest, reportedAt: now}
}

// Snapshot returns the newest snapshot that every cell of the service can serve.
// It is of the newest layout of which the versions of all cells are known that have
// an upstream in rotation. It returns false if there is no such layout.
func (v *Versions) Snapshot(s *conf.Service) (query.Snapshot, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := len(s.Layouts) - 1; i >= 0; i-- {
		if version := v.commonVersion(&s.Layouts[i]); version > 0 {
			return query.Snapshot{Layout: s.Layouts[i].Number, Version: version}, true
		}
	}
	return query.Snapshot{}, false
}

// PartialSnapshot returns the newest snapshot that the cells with known versions can
// serve, of the layout with the largest fraction of such cells. It is for a daemon
// that can't learn the versions of the other cells, because none of their upstreams
// answers: the rest of the service is still served. It returns false if no cell's
// versions are known.
func (v *Versions) PartialSnapshot(s *conf.Service) (query.Snapshot, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var best query.Snapshot
	most := 0.0
	for i := len(s.Layouts) - 1; i >= 0; i-- {
		l := &s.Layouts[i]
		version, known := v.knownVersion(l)
		if fraction := float64(known) / float64(max(len(l.Cells), 1)); fraction > most {
			best = query.Snapshot{Layout: l.Number, Version: version}
			most = fraction
		}
	}
	return best, most > 0
}

// commonVersion returns the newest version that all cells of a layout can serve,
// or 0 if the versions of a cell are unknown. Cells without an upstream in rotation
// do not count, since no daemon can report their versions.
func (v *Versions) commonVersion(l *conf.Layout) uint64 {
	version, known := v.knownVersion(l)
	for g := range l.Cells {
		if v.reports[l.Cells[g].Name].newest == 0 && outOfRotation(&l.Cells[g]) {
			known++
		}
	}
	if known < len(l.Cells) {
		return 0
	}
	return version
}

// knownVersion returns the newest version that all cells with known versions can
// serve, 0 if there are none, and the number of these cells.
func (v *Versions) knownVersion(l *conf.Layout) (version uint64, known int) {
	for g := range l.Cells {
		r := v.reports[l.Cells[g].Name]
		if r.newest == 0 {
			continue
		}
		known++
		if version == 0 || r.newest < version {
			version = r.newest
		}
	}
	return version, known
}

// outOfRotation reports whether a cell has upstreams and all of them are out of
// rotation.
func outOfRotation(c *conf.Cell) bool {
	n := 0
	for _, s := range c.Shards {
		for i := range s.Upstreams {
			if !s.Upstreams[i].Excluded {
				return false
			}
			n++
		}
	}
	return n > 0
}

// StaleGroups returns the groups of a layout whose versions are unknown, or were
// last reported maxAge or longer before now.
func (v *Versions) StaleGroups(l *conf.Layout, now time.Time, maxAge time.Duration) []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []int
	for g := range l.Cells {
		r, ok := v.reports[object.CellName(l.Service, l.Number, g)]
		if !ok || now.Sub(r.reportedAt) >= maxAge {
			out = append(out, g)
		}
	}
	return out
}
