// Package ring provides a bounded queue between goroutines.
package ring

import "sync"

// A Ring is a bounded first-in first-out queue. A full ring drops its oldest
// item, so that a slow reader never blocks a writer. Use New to make one. It is
// safe for concurrent use.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int // index of the oldest item
	n       int // items held; at most len(items)
	ready   chan struct{}
	dropped uint64
}

// New returns a ring that holds up to size items. A size below 1 is taken as 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		items: make([]T, max(size, 1)),
		ready: make(chan struct{}, 1),
	}
}

// Put adds v and signals Ready. It never blocks: if the ring is full, the oldest
// item is dropped and counted.
func (r *Ring[T]) Put(v T) {
	r.mu.Lock()
	if r.n == len(r.items) {
		r.head = (r.head + 1) % len(r.items)
		r.n--
		r.dropped++
	}
	r.items[(r.head+r.n)%len(r.items)] = v
	r.n++
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Take removes and returns all items, oldest first.
func (r *Ring[T]) Take() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.copyItems()
	clear(r.items)
	r.head, r.n = 0, 0
	return out
}

// Items returns all items, oldest first, without removing them.
func (r *Ring[T]) Items() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copyItems()
}

func (r *Ring[T]) copyItems() []T {
	out := make([]T, 0, r.n)
	for i := range r.n {
		out = append(out, r.items[(r.head+i)%len(r.items)])
	}
	return out
}

// Ready returns a channel that receives a value after a Put. One value may stand
// for several items.
func (r *Ring[T]) Ready() <-chan struct{} {
	return r.ready
}

// Dropped returns how many items were dropped since the ring was made.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
