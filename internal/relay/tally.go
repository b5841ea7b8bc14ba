package relay

import "sync"

// A tally counts requests to upstreams. Other than a sync.WaitGroup it may be
// waited for while requests begin, as they do when a daemon is stopped under
// load. The zero value counts none.
type tally struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0; nil while nobody waits
}

// Add counts one request in.
func (t *tally) Add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

// Done counts one request out.
func (t *tally) Done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait returns at a moment without requests.
func (t *tally) Wait() {
	for {
		t.mu.Lock()
		if t.n == 0 {
			t.mu.Unlock()
			return
		}
		if t.idle == nil {
			t.idle = make(chan struct{})
		}
		idle := t.idle
		t.mu.Unlock()
		<-idle
	}
}
