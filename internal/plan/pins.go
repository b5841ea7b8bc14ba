// Package plan decides which snapshot a query reads and which daemon serves
// each of its cells.
package plan

import (
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A span is the versions that every shard of a cell can serve.
type span struct {
	oldest uint64
	newest uint64 // 0 if unknown
	at     time.Time
}

// Pins is what an entry knows of the versions of each cell. Replies keep it up
// to date. The zero value knows nothing. It is safe for concurrent use.
type Pins struct {
	mu    sync.Mutex
	spans map[string]span // by the cell's name
}

// Note takes in the versions of a cell. A newest of 0 is no news.
func (p *Pins) Note(cell string, oldest, newest uint64, now time.Time) {
	if newest == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spans == nil {
		p.spans = make(map[string]span)
	}
	p.spans[cell] = span{oldest: oldest, newest: newest, at: now}
}

// Pin returns the newest snapshot that every cell of the service can serve: of
// its newest layout, if all of that layout's cells are known, else of an
// earlier one. It reports false when there is none.
func (p *Pins) Pin(s *conf.Service) (query.Snapshot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(s.Layouts) - 1; i >= 0; i-- {
		if v := p.common(&s.Layouts[i]); v > 0 {
			return query.Snapshot{Layout: s.Layouts[i].Number, Version: v}, true
		}
	}
	return query.Snapshot{}, false
}

// common returns the newest version that all cells of a layout can serve; when
// their versions do not overlap, the one that most of them may still reach.
func (p *Pins) common(l *conf.Layout) uint64 {
	var v uint64
	for g := range l.Cells {
		s := p.spans[l.Cells[g].Name]
		if s.newest == 0 {
			return 0
		}
		if v == 0 || s.newest < v {
			v = s.newest
		}
	}
	return v
}

// Stale returns the groups of a layout of which nothing has been heard for age.
func (p *Pins) Stale(l *conf.Layout, now time.Time, age time.Duration) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []int
	for g := range l.Cells {
		s, ok := p.spans[object.CellName(l.Service, l.Number, g)]
		if !ok || now.Sub(s.at) >= age {
			out = append(out, g)
		}
	}
	return out
}
