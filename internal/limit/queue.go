package limit

import "time"

// A Waiter is a request that waits for its turn.
type Waiter struct {
	Class string        // caller class
	Due   time.Time     // the request is useless after it
	Ready chan struct{} // closed when the turn has come; made by Push
	Grant any           // what the turn brings; set before Ready is closed
}

// A Queue holds waiting requests by class. Classes take turns, so a heavy
// class does not delay a light one; a class's own requests go in order. The
// zero value holds none. It is not safe for concurrent use.
type Queue struct {
	Bound int // most waiters of one class; 0 lets none wait

	classes []line // in the order of their turns
}

type line struct {
	class   string
	waiters []*Waiter
}

// Push adds a waiter, or reports false when its class has as many as it may.
func (q *Queue) Push(w *Waiter) bool {
	w.Ready = make(chan struct{})
	for i := range q.classes {
		l := &q.classes[i]
		if l.class != w.Class {
			continue
		}
		if len(l.waiters) >= q.Bound {
			return false
		}
		l.waiters = append(l.waiters, w)
		return true
	}
	if q.Bound < 1 {
		return false
	}
	q.classes = append(q.classes, line{class: w.Class, waiters: []*Waiter{w}})
	return true
}

// Pop removes and returns the next waiter that accept takes, or nil. Waiters
// that are past due are dropped on the way: their own timers tell them.
func (q *Queue) Pop(now time.Time, accept func(*Waiter) bool) *Waiter {
	for i := range q.classes {
		l := q.classes[i]
		for len(l.waiters) > 0 && !l.waiters[0].Due.After(now) {
			l.waiters = l.waiters[1:]
		}
		q.classes[i].waiters = l.waiters
		if len(l.waiters) == 0 || !accept(l.waiters[0]) {
			continue
		}
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		q.turn(i, l)
		return w
	}
	q.trim()
	return nil
}

// turn moves the class at i behind the others, or out when nobody waits.
func (q *Queue) turn(i int, l line) {
	q.classes = append(q.classes[:i], q.classes[i+1:]...)
	if len(l.waiters) > 0 {
		q.classes = append(q.classes, l)
	}
}

func (q *Queue) trim() {
	keep := q.classes[:0]
	for _, l := range q.classes {
		if len(l.waiters) > 0 {
			keep = append(keep, l)
		}
	}
	q.classes = keep
}

// Remove takes a waiter out, and reports whether it was still waiting.
func (q *Queue) Remove(w *Waiter) bool {
	for i := range q.classes {
		l := &q.classes[i]
		for j, o := range l.waiters {
			if o == w {
				l.waiters = append(l.waiters[:j:j], l.waiters[j+1:]...)
				return true
			}
		}
	}
	return false
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	n := 0
	for _, l := range q.classes {
		n += len(l.waiters)
	}
	return n
}
