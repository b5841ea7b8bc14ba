package tier

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/pace"
)

// Times of the daemons' records.
const (
	// defaultLease is how long a record lasts that is not renewed. At 1,200
	// daemons, renewals three times as often are 0.7 writes a second.
	defaultLease = 90 * time.Minute
	renewals     = 3                // renewals in a lease: one may be lost
	joinRetry    = 2 * time.Second  // between two tries to write the record
	joinLook     = 2 * time.Second  // between two looks whether it is still there
	missingMost  = 10 * time.Second // a record that was written is seen by then
	reapLooks    = 30               // looks for expired records in a lease
	reapMost     = 20               // records removed at one look, to spare the store
)

// lease returns how long a daemon's record lasts.
func (s *Settings) lease() time.Duration {
	if s.Lease > 0 {
		return s.Lease
	}
	return defaultLease
}

// A joiner keeps the daemon recorded as a member of the fleet.
type joiner struct {
	tier *Tier
}

// loop writes the record at the start, and again when its renewal is due or
// when it has been removed.
func (j *joiner) loop(ctx context.Context) {
	for term := 0; ctx.Err() == nil; {
		err := j.tier.Source.Join(ctx, j.tier.fleet.Self, term)
		if err != nil {
			j.tier.Log.Emit(event.MemberFailed, event.Fields{Step: "join", Err: err})
			pace.Sleep(ctx, pace.Jitter(joinRetry))
			continue
		}
		term++
		j.rest(ctx)
	}
}

// rest waits until the record is to be written again.
func (j *joiner) rest(ctx context.Context) {
	written := time.Now()
	due := pace.Jitter(j.tier.Settings.lease() / renewals)
	for pace.Sleep(ctx, joinLook) {
		age := time.Since(written)
		if age > due || age > missingMost && j.tier.fleet.Missing() {
			return
		}
	}
}

// A reaper removes the records of daemons that no longer renew them: the parts
// of what daemons share would shrink with each VM that is ever replaced. One
// daemon does so, the one that reads the store before all others.
type reaper struct {
	tier *Tier
	age  func(now time.Time) time.Duration // of what is known of the records

	mu     sync.Mutex
	leases mirror.Leases
}

// note takes in changed records.
func (r *reaper) note(changes []decoded[mirror.Member]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, c := range changes {
		if c.Deleted {
			r.leases.Forget(c.Name)
			continue
		}
		r.leases.Note(c.Name, c.Revision, now)
	}
}

// restart takes in that records were out of sight until now.
func (r *reaper) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.Restart(time.Now())
}

func (r *reaper) expired(most time.Duration) []mirror.Expired {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.Expired(time.Now(), most)
}

// loop looks for expired records until ctx ends.
func (r *reaper) loop(ctx context.Context) {
	lease := r.tier.Settings.lease()
	for pace.Sleep(ctx, lease/reapLooks) {
		// After an outage the records are read first: until then all of them
		// look as if nobody had renewed his.
		if r.tier.fleet.Known() && r.tier.fleet.Rank() == 0 && r.age(time.Now()) < feed.StaleAge {
			r.reap(ctx, lease)
		}
	}
}

// reap removes expired records. A daemon that comes back writes its own anew.
func (r *reaper) reap(ctx context.Context, lease time.Duration) {
	expired := r.expired(lease)
	for _, e := range expired[:min(len(expired), reapMost)] {
		if e.Name == r.tier.fleet.Self.Name {
			continue
		}
		err := r.tier.Source.Remove(ctx, e.Name, e.Revision)
		if err != nil {
			// It may have been renewed meanwhile; the next look tells.
			r.tier.Log.Emit(event.MemberFailed, event.Fields{Step: "reap", Peer: e.Name, Err: err})
			continue
		}
		r.tier.Log.Emit(event.MemberExpired, event.Fields{Step: "reap", Peer: e.Name, Detail: "not renewed for " + lease.String()})
	}
}
