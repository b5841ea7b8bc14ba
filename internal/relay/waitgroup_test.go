package relay

import (
	"sync"
	"testing"
)

// TestWaitGroupAddDuringWait calls Wait while other goroutines call Add and Done.
// With a sync.WaitGroup this is a data race.
func TestWaitGroupAddDuringWait(t *testing.T) {
	var wg waitGroup
	var all sync.WaitGroup
	for range 8 {
		all.Add(1)
		go (&adder{wg: &wg, done: all.Done}).run()
	}
	for range 100 {
		wg.Wait()
	}
	all.Wait()
	wg.Wait()
	if wg.n != 0 {
		t.Fatalf("counter is %d after Wait, want 0", wg.n)
	}
}

// An adder adds and removes requests in a loop.
type adder struct {
	wg   *waitGroup
	done func()
}

func (a *adder) run() {
	defer a.done()
	for range 1000 {
		a.wg.Add()
		a.wg.Done()
	}
}
