package flow

import (
	"slices"
	"sync"
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
	} else {
		l.fresh = append(l.fresh, w)
	}
	return w
}

// leave takes a waiter out. A turn that it was given and did not use goes to
// the next one.
func (l *line) leave(w *waiter, used bool) {
	l.mu.Lock()
	l.fresh = remove(l.fresh, w)
	l.late = remove(l.late, w)
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
