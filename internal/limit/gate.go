package limit

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFull says that a request was refused before any work was done on it.
var ErrFull = errors.New("too many requests wait")

// A Gate bounds the requests of one class in work at an entry. Those above
// Flight wait in order, up to Bound of them. It is safe for concurrent use.
type Gate struct {
	Flight int // requests in work; at least 1
	Bound  int // requests that may wait

	mu    sync.Mutex
	now   int // in work
	queue Queue
}

// Enter waits until the request may start. Each nil error needs one Leave.
// ErrFull is returned at once; ctx's error when it ended in the queue.
func (g *Gate) Enter(ctx context.Context) error {
	g.mu.Lock()
	if g.now < g.Flight {
		g.now++
		g.mu.Unlock()
		return nil
	}
	w := &Waiter{}
	w.Due, _ = ctx.Deadline()
	g.queue.Bound = g.Bound
	ok := g.queue.Push(w)
	g.mu.Unlock()
	if !ok {
		return ErrFull
	}
	select {
	case <-w.Ready:
		return nil
	case <-ctx.Done():
		return g.giveUp(ctx, w)
	}
}

func (g *Gate) giveUp(ctx context.Context, w *Waiter) error {
	g.mu.Lock()
	gone := g.queue.Remove(w)
	g.mu.Unlock()
	if !gone {
		// It was let through, or dropped as past due, at the same moment.
		select {
		case <-w.Ready:
			g.Leave()
		default:
		}
	}
	return ctx.Err()
}

// Leave lets the next waiter in.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.queue.Pop(time.Now(), func(*Waiter) bool { return true })
	if w == nil {
		g.now--
		return
	}
	close(w.Ready)
}

// Resize changes the bounds.
func (g *Gate) Resize(flight, bound int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Flight = flight
	g.Bound = bound
}
