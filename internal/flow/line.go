package flow

import (
	"slices"
	"sync"
	"time"
)

// A line holds the requests that wait for an upstream of one service. One is
// woken for each request that ends, so that a long line costs no more than a
// short one. Those that can still be in time go first, and among them the most
// urgent, then the oldest; those that are late go when no other waits. The zero
// value is empty.
type line struct {
	mu    sync.Mutex
	fresh []*waiter
	late  []*waiter
	since time.Time            // since when fresh is not empty
	turns int                  // waiters that were sent since then
	sent  [paceTurns]time.Time // when the last of them were, a ring by turns
}

// paceTurns is the number of turns by which a line's pace is measured: enough
// to even out the ways of single requests, and still only some tens of
// milliseconds of a busy line.
const paceTurns = 12

// paceLeast is the number of turns below which the pace is not known: at its
// start a daemon opens its first connections, and waits for them.
const paceLeast = 4

// wait returns how long a request of a rank would wait that came now: in time,
// and as one that is late. It goes by the pace at which the line has moved since
// it formed.
func (l *line) wait(rank int, now time.Time) (fresh, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := 0
	for _, w := range l.fresh {
		if w.rank <= rank {
			ahead++
		}
	}
	begun, n := l.since, l.turns
	if ahead == 0 || n < paceLeast {
		return 0, 0
	}
	if n >= paceTurns {
		begun, n = l.sent[l.turns%paceTurns], paceTurns
	}
	pace := now.Sub(begun) / time.Duration(n+1)
	return time.Duration(ahead) * pace, time.Duration(len(l.fresh)+len(l.late)) * pace
}

// A waiter is one request in a line.
type waiter struct {
	ready chan struct{} // receives when it is its turn to look
	rank  int           // of its route; 0 is the most urgent
}

// join adds a waiter.
func (l *line) join(late bool, rank int) *waiter {
	w := &waiter{ready: make(chan struct{}, 1), rank: rank}
	l.mu.Lock()
	defer l.mu.Unlock()
	if late {
		l.late = append(l.late, w)
		return w
	}
	if len(l.fresh) == 0 {
		l.since = time.Now()
		l.turns = 0
	}
	l.fresh = append(l.fresh, w)
	return w
}

// leave takes a waiter out. A turn that it was given and did not use goes to
// the next one.
func (l *line) leave(w *waiter, used bool) {
	l.mu.Lock()
	l.fresh = remove(l.fresh, w)
	l.late = remove(l.late, w)
	if used {
		l.sent[l.turns%paceTurns] = time.Now()
		l.turns++
	}
	l.mu.Unlock()
	if used {
		l.wake()
		return
	}
	select {
	case <-w.ready:
		l.wake()
	default:
	}
}

func remove(all []*waiter, w *waiter) []*waiter {
	if i := slices.Index(all, w); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// wake gives the next waiter its turn.
func (l *line) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var w *waiter
	switch {
	case len(l.fresh) > 0:
		w, l.fresh = first(l.fresh)
	case len(l.late) > 0:
		w, l.late = first(l.late)
	default:
		return
	}
	w.ready <- struct{}{}
}

// first takes the most urgent waiter out, and of several the oldest.
func first(all []*waiter) (*waiter, []*waiter) {
	i := 0
	for j, w := range all {
		if w.rank < all[i].rank {
			i = j
		}
	}
	w := all[i]
	return w, slices.Delete(all, i, i+1)
}

// wakeAll gives all waiters a turn, as what they wait for has changed.
func (l *line) wakeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range slices.Concat(l.fresh, l.late) {
		w.ready <- struct{}{}
	}
	l.fresh = nil
	l.late = nil
}

// crowded reports whether requests wait that can still be in time.
func (l *line) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fresh) > 0
}
