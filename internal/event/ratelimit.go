package event

import (
	"sync"
	"time"
)

// A rateLimiter limits the log lines per second of each event. The zero value is
// ready to use.
type rateLimiter struct {
	mu         sync.Mutex
	start      time.Time  // of the current window of one second
	lines      map[ID]int // in the current window, suppressed ones included
	suppressed int        // lines suppressed in the current window
}

// allow counts a line and reports whether it may be written. If the line starts a
// new window, suppressed is the number of lines suppressed in the previous one.
func (l *rateLimiter) allow(k Kind, now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.start) >= time.Second || l.lines == nil {
		l.start = now
		l.lines = make(map[ID]int)
		suppressed, l.suppressed = l.suppressed, 0
	}
	l.lines[k.ID]++
	if k.MaxPerSecond > 0 && l.lines[k.ID] > k.MaxPerSecond {
		l.suppressed++
		return false, suppressed
	}
	return true, suppressed
}
