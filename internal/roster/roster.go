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

// DefaultDrainTime is the drain time until SetDrainTime is called.
const DefaultDrainTime = 4 * time.Second

// drainMargin is how long before the end of the drain time an upstream that was removed goes
// out of use: time for the requests that are on their way to it.
const drainMargin = 800 * time.Millisecond

// HoldTime is how long after a restore of the registry an upstream stays out that had
// left before, and a failure domain stays excluded. By then upstreams and operators have
// written again what the restore lost, and registrations without an owner have expired.
const HoldTime = 5 * time.Second

// departedTTL is how long upstreams that have left are remembered. A restored registry
// is at most that old.
const departedTTL = time.Minute

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

	mu          sync.Mutex
	drainTime   time.Duration        // set by SetDrainTime
	entries     map[string]*entry    // by ID
	listed      map[string]bool      // excluded failure domains as last set
	excluded    map[string]bool      // failure domains in force: listed ones, and others until holdUntil
	outageUntil time.Time            // a registration removed before this is kept for GracePeriod
	lossUntil   time.Time            // so is this, but for the drain time at most
	departed    map[string]departure // upstreams that have left in the last departedTTL, by ID
	holdUntil   time.Time            // end of HoldTime after a restore of the registry
	held        map[string]Upstream  // registrations to be used at holdUntil, by ID
	view        atomic.Pointer[View]
}

// A departure says which process of an upstream has left, and when.
type departure struct {
	startMs int64     // start of the process, as Upstream.StartMs
	at      time.Time // when its registration was removed
}

// An entry is an upstream, registered or in its grace period.
type entry struct {
	Upstream
	keepUntil time.Time // end of the grace period; zero while it is registered
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		drainTime: DefaultDrainTime,
		entries:   make(map[string]*entry),
		excluded:  make(map[string]bool),
		departed:  make(map[string]departure),
		held:      make(map[string]Upstream),
	}
	r.view.Store(&View{})
	return r
}

// View returns the current view, without locking the roster.
func (r *Roster) View() *View {
	return r.view.Load()
}

// SetDrainTime sets how long upstreams that leave go on serving after their registrations
// were removed.
func (r *Roster) SetDrainTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainTime = d
}

// DrainTime returns the drain time that was set last.
func (r *Roster) DrainTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainTime
}

// StartGrace records that the registry was unreachable until now. Registrations
// that are removed within the next GracePeriod are kept for GracePeriod each, as
// they may come back.
func (r *Roster) StartGrace(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outageUntil = now.Add(GracePeriod)
}

// StartRestore records that the registry has come back from an older copy. Some of what
// is in it has been changed since, and some of what was in it is missing until it is
// written again. Therefore upstreams that left before, or were draining, stay out for
// HoldTime, and excluded domains stay excluded; missing registrations are kept as after
// an outage.
func (r *Roster) StartRestore(now time.Time) {
	r.StartGrace(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdUntil = now.Add(HoldTime)
}

// leftBefore reports whether the process of the registration is known to have left or
// to drain.
func (r *Roster) leftBefore(u *Upstream) bool {
	if d, ok := r.departed[u.ID]; ok && d.startMs == u.StartMs {
		return true
	}
	e := r.entries[u.ID]
	return e != nil && e.Draining && !u.Draining && e.StartMs == u.StartMs
}

// Update applies new or changed registrations, and removes those with removedIDs. The
// changes were made after since.
func (r *Roster) Update(changed []Upstream, removedIDs []string, since, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range changed {
		if now.Before(r.holdUntil) && r.leftBefore(&u) {
			r.held[u.ID] = u
			continue
		}
		r.use(u)
	}
	var removedEntries []*entry
	for _, id := range removedIDs {
		delete(r.held, id)
		if e := r.entries[id]; e != nil && e.keepUntil.IsZero() {
			removedEntries = append(removedEntries, e)
		}
	}
	r.remove(removedEntries, since, now)
	r.publish()
}

// use puts a registration in force.
func (r *Roster) use(u Upstream) {
	r.entries[u.ID] = &entry{Upstream: u}
	delete(r.held, u.ID)
	delete(r.departed, u.ID)
}

// forget removes the entry of an upstream that has left.
func (r *Roster) forget(e *entry, now time.Time) {
	delete(r.entries, e.ID)
	r.departed[e.ID] = departure{startMs: e.StartMs, at: now}
}

// remove removes registrations, or keeps them for GracePeriod if they may have
// expired only because the registry was unreachable. A draining upstream is not
// kept. Unless there was an outage, many that are removed together may as well have
// left, some time after since: then they are kept only as long as they surely serve.
func (r *Roster) remove(removed []*entry, since, now time.Time) {
	if len(removed) >= massLossMin && float64(len(removed)) >= massLossRatio*float64(len(r.entries)) {
		r.lossUntil = now.Add(GracePeriod)
	}
	for _, e := range removed {
		keepUntil := now
		if now.Before(r.lossUntil) {
			keepUntil = earliest(now.Add(GracePeriod), since.Add(r.drainTime-drainMargin))
		}
		if now.Before(r.outageUntil) {
			keepUntil = now.Add(GracePeriod)
		}
		if e.Draining || !keepUntil.After(now) {
			r.forget(e, now)
			continue
		}
		e.keepUntil = keepUntil
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Expire ends what has lasted its time: the grace period of upstreams, and what is held
// after a restore of the registry. It is to be called a few times per second.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, e := range r.entries {
		if !e.keepUntil.IsZero() && !now.Before(e.keepUntil) {
			r.forget(e, now)
			changed = true
		}
	}
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.at) > departedTTL })
	if !now.Before(r.holdUntil) && r.endHold() {
		changed = true
	}
	if changed {
		r.publish()
	}
}

// endHold puts in force what is held, and reports whether that is anything.
func (r *Roster) endHold() bool {
	changed := len(r.held) > 0 || !maps.Equal(r.excluded, r.listed)
	for _, u := range r.held {
		r.use(u)
	}
	r.excluded = r.listed
	return changed
}

// SetExcluded sets the failure domains that get no requests. Within HoldTime after a
// restore of the registry, those that were excluded before stay so.
func (r *Roster) SetExcluded(domains map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = maps.Clone(domains)
	next := make(map[string]bool)
	maps.Copy(next, domains)
	if now.Before(r.holdUntil) {
		maps.Copy(next, r.excluded)
	}
	if maps.Equal(next, r.excluded) {
		return
	}
	r.excluded = next
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
