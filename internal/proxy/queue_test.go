package proxy

import (
	"testing"

	"github.com/matryer/is"
)

// TestWaitQueue checks the order in which waiters are woken, and that a wake-up that
// was not used is passed on.
func TestWaitQueue(t *testing.T) {
	is := is.New(t)
	var q waitQueue
	late := q.enqueue(true, 0)
	second := q.enqueue(false, 2)
	third := q.enqueue(false, 2)
	first := q.enqueue(false, 1) // the most urgent
	woken := func() []bool {
		return []bool{len(late.ready) > 0, len(first.ready) > 0, len(second.ready) > 0, len(third.ready) > 0}
	}
	is.True(q.hasOnTime())
	q.wake()
	is.Equal(woken(), []bool{false, true, false, false})
	q.dequeue(first, false) // its unused wake-up goes to the next waiter
	is.Equal(woken(), []bool{false, false, true, false})
	q.dequeue(second, false)
	is.Equal(woken(), []bool{false, false, false, true})
	q.dequeue(third, false)
	is.Equal(woken(), []bool{true, false, false, false})
	is.True(!q.hasOnTime())
	q.dequeue(late, true)
	is.Equal(len(q.onTime)+len(q.late), 0)
}
