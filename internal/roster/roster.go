// Package roster holds the upstreams that are registered: who exists, where,
// and who is leaving.
package roster

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Grace is how long an upstream whose registration has vanished together with
// many others is kept: registrations that lapsed while the registry was away
// are back about two seconds after its return.
const Grace = 2200 * time.Millisecond

// Bounds of what counts as vanishing together.
const (
	massCount = 3   // registrations
	massShare = 0.2 // of all
)

// An Upstream is one registered searcher process.
type Upstream struct {
	ID       string // of this process; told with each request
	Service  string
	Address  string // IP number and port
	Domain   string // failure domain
	Region   string
	Slots    int       // requests that it works on at the same time; at least 1
	Draining bool      // it gets no new work
	ColdTill time.Time // it is cold before
	Born     int64     // start of the process, in ms since 1970; 0 if unknown
}

// A View is the roster at one moment. It must not be changed.
type View struct {
	Services map[string][]*Upstream // usable upstreams by service
	Out      map[string]bool        // failure domains that get no work
}

// A Roster keeps the upstreams. Use New to make one. It is safe for
// concurrent use.
type Roster struct {
	Changed func(v *View) // told of each new view, one at a time; may be nil

	mu      sync.Mutex
	held    map[string]*held // by ID
	out     map[string]bool
	graceTo time.Time // what vanishes before is kept for Grace
	view    atomic.Pointer[View]
}

// held is an upstream and when its registration vanished.
type held struct {
	Upstream
	gone time.Time // zero while it is registered
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{held: make(map[string]*held), out: make(map[string]bool)}
	r.view.Store(&View{})
	return r
}

// View returns the roster as it is.
func (r *Roster) View() *View {
	return r.view.Load()
}

// Lapsed says that the registry was away until now: registrations that are
// missing for the next while may come back.
func (r *Roster) Lapsed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graceTo = now.Add(Grace)
}

// Change takes in changed registrations and the IDs of removed ones.
func (r *Roster) Change(changed []Upstream, removed []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range changed {
		r.held[u.ID] = &held{Upstream: u}
	}
	var missing []*held
	for _, id := range removed {
		if h := r.held[id]; h != nil && h.gone.IsZero() {
			missing = append(missing, h)
		}
	}
	r.vanish(missing, now)
	r.publish()
}

// vanish removes registrations, or keeps them for a while when they may have
// lapsed only because the registry was away.
func (r *Roster) vanish(missing []*held, now time.Time) {
	if len(missing) >= massCount && float64(len(missing)) >= massShare*float64(len(r.held)) {
		r.graceTo = now.Add(Grace)
	}
	for _, h := range missing {
		if now.Before(r.graceTo) && !h.Draining {
			h.gone = now
			continue
		}
		delete(r.held, h.ID)
	}
}

// Expire removes upstreams whose registration did not come back in time.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.held)
	maps.DeleteFunc(r.held, func(_ string, h *held) bool {
		return !h.gone.IsZero() && now.Sub(h.gone) >= Grace
	})
	if len(r.held) != n {
		r.publish()
	}
}

// Exclude takes in the failure domains that are to get no work.
func (r *Roster) Exclude(domains map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(domains, r.out) {
		return
	}
	r.out = maps.Clone(domains)
	r.publish()
}

// publish makes the next view.
func (r *Roster) publish() {
	v := &View{Services: make(map[string][]*Upstream), Out: r.out}
	for _, h := range r.held {
		if h.Draining || r.out[h.Domain] {
			continue
		}
		u := h.Upstream
		v.Services[u.Service] = append(v.Services[u.Service], &u)
	}
	r.view.Store(v)
	if r.Changed != nil {
		r.Changed(v)
	}
}
