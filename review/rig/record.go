// Command rig runs the scripted cases of the review: it starts the project's own
// daemon as a separate process, plays the platform's store, the searchers and the
// consumers around it on loopback addresses, and judges what they have seen.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// A record collects what was sent, answered and run, with times since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record {
	return &record{start: time.Now()}
}

// add appends one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start).Seconds()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", at)+fmt.Sprintf(format, args...))
}

// write writes all lines to a file.
func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
