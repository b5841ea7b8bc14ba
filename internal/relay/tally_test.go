package relay

import (
	"sync"
	"testing"
)

// TestTallyWaitsWhileRequestsBegin waits while requests begin and end, in a way
// that is a data race with a sync.WaitGroup.
func TestTallyWaitsWhileRequestsBegin(t *testing.T) {
	var work tally
	var all sync.WaitGroup
	for range 8 {
		all.Add(1)
		go (&beginner{work: &work, done: all.Done}).run()
	}
	for range 100 {
		work.Wait()
	}
	all.Wait()
	work.Wait()
	if work.n != 0 {
		t.Fatalf("%d requests are left", work.n)
	}
}

type beginner struct {
	work *tally
	done func()
}

func (b *beginner) run() {
	defer b.done()
	for range 1000 {
		b.work.Add()
		b.work.Done()
	}
}
