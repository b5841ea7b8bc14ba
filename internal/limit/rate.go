package limit

import (
	"sync"
	"time"
)

// A Rate bounds the requests in any second. The zero value allows none; Set
// gives it its bound. It is safe for concurrent use.
type Rate struct {
	mu   sync.Mutex
	most float64     // requests in any second; below 0 sets no bound
	sent []time.Time // of the last second, oldest first
}

// Set changes the bound; below 0 there is none.
func (r *Rate) Set(most float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
}

// Take counts a request, and reports whether it may be sent.
func (r *Rate) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left(now) {
		return false
	}
	if r.most >= 0 {
		r.sent = append(r.sent, now)
	}
	return true
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
	return r.most < 0 || float64(len(r.sent)+1) <= r.most
}
