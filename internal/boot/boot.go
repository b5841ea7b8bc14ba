// Package boot records how long a daemon takes from its start to its first complete
// answer, and what it waits for in between.
package boot

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// A Stage is something that a starting daemon must get, or do, before it serves.
type Stage int

// Stages, in the order in which they are usually reached.
const (
	Members   Stage = iota // the members of the fleet are known
	Routes                 // a routing table is in force
	Upstreams              // the registered upstreams are known
	Request                // a caller's request has come
	Reply                  // an upstream has replied with success
	Answer                 // a request has been answered completely
	stageCount
)

// String returns the name of the stage in the log.
func (s Stage) String() string {
	return [...]string{"members", "routes", "upstreams", "first request", "first reply", "first complete answer"}[s]
}

// A Timeline records when a daemon first reached each stage. Set the fields before
// use. It is safe for concurrent use; a nil *Timeline records nothing.
type Timeline struct {
	Started time.Time           // of the daemon
	Served  func(detail string) // called once, when Answer is reached, with the times of all stages

	reached [stageCount]atomic.Int64 // time since Started in ns, at least 1; 0 if not reached
}

// Reach records that the daemon has reached a stage, unless it had before.
func (t *Timeline) Reach(s Stage) {
	if t == nil || t.reached[s].Load() != 0 {
		return
	}
	elapsed := max(time.Since(t.Started), 1)
	if t.reached[s].CompareAndSwap(0, int64(elapsed)) && s == Answer {
		t.Served(t.String())
	}
}

// String returns the stages reached so far, each with the time since the start.
func (t *Timeline) String() string {
	var out []string
	for s := range stageCount {
		if d := t.reached[s].Load(); d != 0 {
			out = append(out, fmt.Sprintf("%v %d ms", s, time.Duration(d).Milliseconds()))
		}
	}
	return strings.Join(out, ", ")
}
