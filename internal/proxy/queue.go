package proxy

import (
	"slices"
	"sync"
	"time"
)

// A waitQueue holds the shard requests that wait for an upstream of one service.
// Each attempt that ends wakes one of them, so the cost does not grow with the
// length of the queue. On-time requests come first, by priority and then by age.
// Late requests are woken only when no on-time request waits. The zero value is
// empty.
type waitQueue struct {
	mu        sync.Mutex
	onTime    []*waiter
	late      []*waiter
	busySince time.Time              // when onTime last became non-empty
	sends     int                    // waiters whose request was sent since busySince
	sentAt    [paceSamples]time.Time // times of the latest of these, a ring buffer indexed by sends
}

// paceSamples is the number of latest sends over which the pace of a queue is
// measured: enough to average out the variation of single requests, yet only some
// tens of milliseconds in a busy queue.
const paceSamples = 12

// minPaceSamples is the number of sends below which the pace is unknown: right
// after its start, a daemon is still waiting for its first connections.
const minPaceSamples = 4

// expectedWait returns how long a request of the priority that arrived now would
// wait, as an on-time and as a late one. The estimate is based on the pace of the
// latest sends since the queue formed. Both are 0 if the pace is unknown, or if no
// on-time waiter would be ahead.
func (q *waitQueue) expectedWait(priority int, now time.Time) (onTime, late time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead := q.countAhead(priority)
	since, n := q.busySince, q.sends
	if ahead == 0 || n < minPaceSamples {
		return 0, 0
	}
	if n >= paceSamples {
		since, n = q.sentAt[q.sends%paceSamples], paceSamples
	}
	pace := now.Sub(since) / time.Duration(n+1)
	return time.Duration(ahead) * pace, time.Duration(len(q.onTime)+len(q.late)) * pace
}

// ahead returns how many on-time waiters a request of the priority would have ahead.
func (q *waitQueue) ahead(priority int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.countAhead(priority)
}

// countAhead is ahead with the mutex held.
func (q *waitQueue) countAhead(priority int) int {
	n := 0
	for _, w := range q.onTime {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

// A waiter is a shard request in a waitQueue.
type waiter struct {
	ready    chan struct{} // receives when the request is to try to send
	priority int           // priority of the route; 0 is the most urgent
}

// enqueue adds a waiter of the priority and returns it.
func (q *waitQueue) enqueue(late bool, priority int) *waiter {
	w := &waiter{ready: make(chan struct{}, 1), priority: priority}
	q.mu.Lock()
	defer q.mu.Unlock()
	if late {
		q.late = append(q.late, w)
		return w
	}
	if len(q.onTime) == 0 {
		q.busySince = time.Now()
		q.sends = 0
	}
	q.onTime = append(q.onTime, w)
	return w
}

// dequeue removes a waiter and records whether its request was sent. The next waiter
// is woken if it was sent, or if the waiter has a wake-up that it did not receive.
func (q *waitQueue) dequeue(w *waiter, sent bool) {
	q.mu.Lock()
	q.onTime = remove(q.onTime, w)
	q.late = remove(q.late, w)
	if sent {
		q.sentAt[q.sends%paceSamples] = time.Now()
		q.sends++
	}
	q.mu.Unlock()
	if sent {
		q.wake()
		return
	}
	select {
	case <-w.ready:
		q.wake()
	default:
	}
}

func remove(all []*waiter, w *waiter) []*waiter {
	if i := slices.Index(all, w); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// wake removes the next waiter from the queue and wakes it.
func (q *waitQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	var w *waiter
	switch {
	case len(q.onTime) > 0:
		w, q.onTime = popFirst(q.onTime)
	case len(q.late) > 0:
		w, q.late = popFirst(q.late)
	default:
		return
	}
	w.ready <- struct{}{}
}

// popFirst removes the most urgent waiter, or the oldest of several that are equally
// urgent. It returns the waiter and the rest.
func popFirst(all []*waiter) (*waiter, []*waiter) {
	i := 0
	for j, w := range all {
		if w.priority < all[i].priority {
			i = j
		}
	}
	w := all[i]
	return w, slices.Delete(all, i, i+1)
}

// wakeAll removes and wakes all waiters. It is called when the set of usable
// upstreams has changed.
func (q *waitQueue) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range slices.Concat(q.onTime, q.late) {
		w.ready <- struct{}{}
	}
	q.onTime = nil
	q.late = nil
}

// hasOnTime reports whether any on-time request waits.
func (q *waitQueue) hasOnTime() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.onTime) > 0
}
