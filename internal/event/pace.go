package event

import (
	"sync"
	"time"
)

// A pacer bounds the lines of each event in a second. The zero value is ready
// to use.
type pacer struct {
	mu    sync.Mutex
	since time.Time  // start of the current second
	lines map[ID]int // in the current second
	held  int        // lines that were left out since the last report
}

// allow counts a line, and reports whether it may be written, and how many were
// left out in the second that has just ended.
func (p *pacer) allow(k Kind, now time.Time) (ok bool, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) >= time.Second || p.lines == nil {
		p.since = now
		p.lines = make(map[ID]int)
		held, p.held = p.held, 0
	}
	p.lines[k.ID]++
	if k.Most > 0 && p.lines[k.ID] > k.Most {
		p.held++
		return false, held
	}
	return true, held
}
