package relay

import "sync"

// A waitGroup waits for requests to end. Unlike with a sync.WaitGroup, Add may be
// called concurrently with Wait while the counter is 0. This happens when a daemon
// is stopped under load. The zero value has a counter of 0.
type waitGroup struct {
	mu   sync.Mutex
	n    int
	zero chan struct{} // closed when n becomes 0; nil while nobody waits
}

// Add adds one request.
func (g *waitGroup) Add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

// Done removes one request.
func (g *waitGroup) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 && g.zero != nil {
		close(g.zero)
		g.zero = nil
	}
}

// Wait returns as soon as it finds the counter at 0. More requests may have been
// added by the time the caller goes on.
func (g *waitGroup) Wait() {
	for {
		g.mu.Lock()
		if g.n == 0 {
			g.mu.Unlock()
			return
		}
		if g.zero == nil {
			g.zero = make(chan struct{})
		}
		zero := g.zero
		g.mu.Unlock()
		<-zero
	}
}
