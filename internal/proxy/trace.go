package proxy

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
)

// maxTraceSteps is the most steps that a trace holds.
const maxTraceSteps = 24

// A trace records the attempts and decisions of one request, for its log line. It is
// safe for concurrent use.
type trace struct {
	started time.Time // arrival of the request

	mu      sync.Mutex
	steps   []step
	dropped int // steps beyond maxTraceSteps
}

// A step is the result of an attempt, or a note.
type step struct {
	elapsed  time.Duration // since the arrival of the request
	note     string        // empty for the result of an attempt
	shard    int           // number of the shard
	upstream string
	result   client.Result
	status   int
}

// addResult adds the result of an attempt.
func (t *trace) addResult(shard int, res attemptResult) {
	t.addStep(step{shard: shard, upstream: res.upstream.info.ID, result: res.reply.Result, status: res.reply.Status})
}

// addNote adds a note.
func (t *trace) addNote(shard int, note string) {
	t.addStep(step{shard: shard, note: note})
}

// addStep stamps the step with the time since the arrival and appends it.
func (t *trace) addStep(s step) {
	s.elapsed = time.Since(t.started)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) >= maxTraceSteps {
		t.dropped++
		return
	}
	t.steps = append(t.steps, s)
}

// String returns the steps in order, as SHARD:NOTE@MS or SHARD:UPSTREAM=RESULT/STATUS@MS
// with the milliseconds since the arrival.
func (t *trace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for _, s := range t.steps {
		what := s.note
		if what == "" {
			what = fmt.Sprintf("%s=%s/%d", s.upstream, s.result, s.status)
		}
		fmt.Fprintf(&b, "%d:%s@%d ", s.shard, what, s.elapsed.Milliseconds())
	}
	if t.dropped > 0 {
		fmt.Fprintf(&b, "and %d more", t.dropped)
	}
	return strings.TrimSpace(b.String())
}
