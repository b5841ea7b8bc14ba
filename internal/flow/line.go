package flow

import (
	"slices"
	"sync"
)

// A line holds the requests that wait for an upstream of one service. One is
// woken for each request that ends, so that a long line costs no more than a
// short one. Those that can still be in time go first, and among them the
// oldest; those that are late go when no other waits. The zero value is empty.
type line struct {
	mu    sync.Mutex
	fresh []*waiter
	late  []*waiter
}

// A waiter is one request in a line.
type waiter struct {
	ready chan struct{} // receives when it is its turn to look
}

// join adds a waiter.
func (l *line) join(late bool) *waiter {
	w := &waiter{ready: make(chan struct{}, 1)}
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
	if len(l.fresh) > 0 {
		w = l.fresh[0]
		l.fresh = slices.Delete(l.fresh, 0, 1)
	} else if len(l.late) > 0 {
		w = l.late[0]
		l.late = slices.Delete(l.late, 0, 1)
	} else {
		return
	}
	w.ready <- struct{}{}
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
