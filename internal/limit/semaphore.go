package limit

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrQueueFull is returned for a request that was rejected because the queue is
// full, before any work was done on it.
var ErrQueueFull = errors.New("too many requests wait")

// A Semaphore limits the requests of one caller class in flight. Requests beyond
// MaxInFlight wait in FIFO order, at most MaxWaiting of them. It is safe for
// concurrent use; call Resize to change the limits once it is in use.
type Semaphore struct {
	MaxInFlight int // requests in flight; at least 1
	MaxWaiting  int // requests that may wait

	mu       sync.Mutex
	inFlight int
	queue    Queue
}

// Acquire waits until the request may start. Each call that returns nil must be
// followed by one call of Release. Acquire returns ErrQueueFull, without waiting,
// if the queue is full, and ctx.Err() if ctx is done while the request waits.
func (s *Semaphore) Acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight < s.MaxInFlight {
		s.inFlight++
		s.mu.Unlock()
		return nil
	}
	w := &Waiter{}
	w.Deadline, _ = ctx.Deadline()
	s.queue.MaxPerClass = s.MaxWaiting
	ok := s.queue.Push(w)
	s.mu.Unlock()
	if !ok {
		return ErrQueueFull
	}
	select {
	case <-w.Ready:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, w)
	}
}

// abandon takes a waiter whose ctx is done out of the queue, and returns
// ctx.Err().
func (s *Semaphore) abandon(ctx context.Context, w *Waiter) error {
	s.mu.Lock()
	removed := s.queue.Remove(w)
	s.mu.Unlock()
	if !removed {
		// Meanwhile it was admitted, or dropped because its deadline passed.
		select {
		case <-w.Ready:
			s.Release()
		default:
		}
	}
	return ctx.Err()
}

// Release ends one request and admits the next waiter, if any.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.queue.Pop(time.Now(), func(*Waiter) bool { return true })
	if w == nil {
		s.inFlight--
		return
	}
	close(w.Ready)
}

// Resize changes the limits. It admits no waiter by itself: a higher limit takes
// effect at the next Acquire or Release.
func (s *Semaphore) Resize(maxInFlight, maxWaiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxInFlight = maxInFlight
	s.MaxWaiting = maxWaiting
}
