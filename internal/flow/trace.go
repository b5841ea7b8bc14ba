package flow

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/link"
)

// traceMost bounds the steps that a trace holds.
const traceMost = 24

// A trace is what was decided on one request, for its log line.
type trace struct {
	begun time.Time

	mu    sync.Mutex
	steps []step
	more  int // steps that were left out
}

// A step is one reply, or something else of note.
type step struct {
	at       time.Duration // since the arrival
	note     string        // set if it is no reply
	index    int           // of the shard
	upstream string
	result   link.Result
	status   int
}

// add notes the reply to a request that was sent.
func (t *trace) add(index int, s sent) {
	t.put(step{index: index, upstream: s.target.up.ID, result: s.reply.Result, status: s.reply.Status})
}

// note notes something else.
func (t *trace) note(index int, what string) {
	t.put(step{index: index, note: what})
}

func (t *trace) put(s step) {
	s.at = time.Since(t.begun)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) >= traceMost {
		t.more++
		return
	}
	t.steps = append(t.steps, s)
}

// String returns the steps in order, with the milliseconds since the arrival.
func (t *trace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for _, s := range t.steps {
		what := s.note
		if what == "" {
			what = fmt.Sprintf("%s=%s/%d", s.upstream, s.result, s.status)
		}
		fmt.Fprintf(&b, "%d:%s@%d ", s.index, what, s.at.Milliseconds())
	}
	if t.more > 0 {
		fmt.Fprintf(&b, "and %d more", t.more)
	}
	return strings.TrimSpace(b.String())
}
