// Package roster keeps the registered upstreams, with their locations and which of
// them are draining.
package roster

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// GracePeriod is how long an upstream is kept after its registration was removed
// together with many others. Registrations that expired during an outage of the
// registry are back about two seconds after it recovers.
const GracePeriod = 2200 * time.Millisecond

// Removals in one update count as a mass loss, as after an outage of the registry,
// if they reach both of these.
const (
	massLossMin   = 3   // registrations
	massLossRatio = 0.2 // fraction of all registrations
)

// An Upstream is the registration of one upstream process.
type Upstream struct {
	ID        string // of this process; sent with each request
	Service   string
	Address   string // IP number and port
	Domain    string // failure domain
	Region    string
	Slots     int       // requests that it processes concurrently; at least 1
	Draining  bool      // it gets no new requests
	ColdUntil time.Time // it is cold until then
	StartMs   int64     // start of the process, in ms since the Unix epoch; 0 if unknown
}

// A View is an immutable snapshot of a Roster.
type View struct {
	Services        map[string][]*Upstream // by service, without draining upstreams and excluded domains
	ExcludedDomains map[string]bool        // failure domains that get no requests
}

// A Roster keeps the registered upstreams. Use New to make one. It is safe for
// concurrent use.
type Roster struct {
	// OnChange is called with each new view, one call at a time, while the roster
	// is locked: the only method that it may call is View. It may be nil.
	OnChange func(v *View)

	mu         sync.Mutex
	entries    map[string]*entry // by ID
	excluded   map[string]bool
	graceUntil time.Time // a registration removed before this is kept for GracePeriod
	view       atomic.Pointer[View]
}

// An entry is an upstream, registered or in its grace period.
type entry struct {
	Upstream
	removedAt time.Time // when the registration was removed; zero while it is registered
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{entries: make(map[string]*entry), excluded: make(map[string]bool)}
	r.view.Store(&View{})
	return r
}

// View returns the current view, without locking the roster.
func (r *Roster) View() *View {
	return r.view.Load()
}

// StartGrace records that the registry was unreachable until now. Registrations
// that are removed within the next GracePeriod are kept for GracePeriod each, as
// they may come back.
func (r *Roster) StartGrace(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graceUntil = now.Add(GracePeriod)
}

// Update applies new or changed registrations, and removes those with removedIDs.
func (r *Roster) Update(changed []Upstream, removedIDs []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range changed {
		r.entries[u.ID] = &entry{Upstream: u}
	}
	var removedEntries []*entry
	for _, id := range removedIDs {
		if e := r.entries[id]; e != nil && e.removedAt.IsZero() {
			removedEntries = append(removedEntries, e)
		}
	}
	r.remove(removedEntries, now)
	r.publish()
}

// remove removes registrations, or keeps them for GracePeriod if they may have
// expired only because the registry was unreachable. A draining upstream is not
// kept.
func (r *Roster) remove(removed []*entry, now time.Time) {
	if len(removed) >= massLossMin && float64(len(removed)) >= massLossRatio*float64(len(r.entries)) {
		r.graceUntil = now.Add(GracePeriod)
	}
	for _, e := range removed {
		if now.Before(r.graceUntil) && !e.Draining {
			e.removedAt = now
			continue
		}
		delete(r.entries, e.ID)
	}
}

// Expire removes the upstreams whose grace period has ended.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.entries)
	maps.DeleteFunc(r.entries, func(_ string, e *entry) bool {
		return !e.removedAt.IsZero() && now.Sub(e.removedAt) >= GracePeriod
	})
	if len(r.entries) != n {
		r.publish()
	}
}

// SetExcluded sets the failure domains that get no requests.
func (r *Roster) SetExcluded(domains map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(domains, r.excluded) {
		return
	}
	r.excluded = maps.Clone(domains)
	r.publish()
}

// publish makes a new view and passes it to OnChange.
func (r *Roster) publish() {
	v := &View{Services: make(map[string][]*Upstream), ExcludedDomains: r.excluded}
	for _, e := range r.entries {
		if e.Draining || r.excluded[e.Domain] {
			continue
		}
		u := e.Upstream
		v.Services[u.Service] = append(v.Services[u.Service], &u)
	}
	r.view.Store(v)
	if r.OnChange != nil {
		r.OnChange(v)
	}
}
