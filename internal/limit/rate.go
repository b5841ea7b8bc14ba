package limit

import (
	"slices"
	"sync"
	"time"
)

// A Rate bounds the requests that are sent in any second. A request counts from
// the moment when it is let in until a second after it was sent: one that waits
// for its connection would else be followed by others, and come together with
// them. The zero value allows none; Set gives it its bound. It is safe for
// concurrent use.
type Rate struct {
	mu   sync.Mutex
	most float64     // requests in any second; below 0 sets no bound
	open int         // requests that were let in and may not have been sent yet
	sent []time.Time // of the last second, oldest first
}

// Set changes the bound; below 0 there is none.
func (r *Rate) Set(most float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
}

// Take lets a request in if it may be sent, and reports whether it may. Done
// is to be called for each one that was let in.
func (r *Rate) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left(now) {
		return false
	}
	r.open++
	return true
}

// Done says when a request that was let in was sent; zero for not at all.
func (r *Rate) Done(sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if sent.IsZero() {
		return
	}
	i, _ := slices.BinarySearchFunc(r.sent, sent, time.Time.Compare)
	r.sent = slices.Insert(r.sent, i, sent)
}

// Left reports whether a request may be sent.
func (r *Rate) Left(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left(now)
}

func (r *Rate) left(now time.Time) bool {
	for len(r.sent) > 0 && now.Sub(r.sent[0]) > time.Second {
		r.sent = r.sent[1:]
	}
	return r.most < 0 || float64(r.open+len(r.sent)+1) <= r.most
}
