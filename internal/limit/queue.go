package limit

import "time"

// A Waiter is a request that waits in a Queue.
type Waiter struct {
	Class    string        // caller class, by which the queue is fair
	Deadline time.Time     // the queue drops the request once this has passed
	Ready    chan struct{} // made by Push; closed by the code that pops the request, to wake it
	Value    any           // data of the owner of the queue; written only before Ready is closed
}

// A Queue holds waiting requests by class. Classes are served round-robin, so
// that a class with many requests does not delay one with few; the requests of
// a class are served in FIFO order. It is not safe for concurrent use.
type Queue struct {
	MaxPerClass int // most waiters of one class; 0 allows none

	classes []classQueue // in round-robin order, next first
}

// A classQueue holds the waiters of one class, oldest first.
type classQueue struct {
	class   string
	waiters []*Waiter
}

// Push adds a waiter. It reports false if the class has MaxPerClass waiters.
func (q *Queue) Push(w *Waiter) bool {
	w.Ready = make(chan struct{})
	for i := range q.classes {
		c := &q.classes[i]
		if c.class != w.Class {
			continue
		}
		if len(c.waiters) >= q.MaxPerClass {
			return false
		}
		c.waiters = append(c.waiters, w)
		return true
	}
	if q.MaxPerClass < 1 {
		return false
	}
	q.classes = append(q.classes, classQueue{class: w.Class, waiters: []*Waiter{w}})
	return true
}

// Pop removes and returns the next waiter for which accept returns true, or nil.
// It asks accept about the oldest waiter of each class only. Waiters whose
// deadline has passed are dropped without a signal: their own timers end their
// wait.
func (q *Queue) Pop(now time.Time, accept func(*Waiter) bool) *Waiter {
	for i := range q.classes {
		c := q.classes[i]
		for len(c.waiters) > 0 && !c.waiters[0].Deadline.After(now) {
			c.waiters = c.waiters[1:]
		}
		q.classes[i].waiters = c.waiters
		if len(c.waiters) == 0 || !accept(c.waiters[0]) {
			continue
		}
		w := c.waiters[0]
		c.waiters = c.waiters[1:]
		q.rotate(i, c)
		return w
	}
	q.dropEmpty()
	return nil
}

// rotate moves the class at index i to the end, or removes it if c is empty.
func (q *Queue) rotate(i int, c classQueue) {
	q.classes = append(q.classes[:i], q.classes[i+1:]...)
	if len(c.waiters) > 0 {
		q.classes = append(q.classes, c)
	}
}

// dropEmpty removes the classes without waiters.
func (q *Queue) dropEmpty() {
	keep := q.classes[:0]
	for _, c := range q.classes {
		if len(c.waiters) > 0 {
			keep = append(keep, c)
		}
	}
	q.classes = keep
}

// Remove removes a waiter. It reports false if the waiter is not in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	for i := range q.classes {
		c := &q.classes[i]
		for j, o := range c.waiters {
			if o == w {
				c.waiters = append(c.waiters[:j:j], c.waiters[j+1:]...)
				return true
			}
		}
	}
	return false
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	n := 0
	for _, c := range q.classes {
		n += len(c.waiters)
	}
	return n
}
