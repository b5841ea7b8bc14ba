package server

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror"
)

// Timing of the member records in the store.
const (
	// defaultLease is the time after which a record that is not renewed expires.
	// With 1,200 daemons and three renewals in a lease, renewing costs the store
	// 0.7 writes per second.
	defaultLease      = 90 * time.Minute
	renewalsPerLease  = 3                // so that one may be lost
	joinRetryDelay    = 2 * time.Second  // between attempts to write the record
	joinCheckInterval = 2 * time.Second  // between checks that it is still there
	visibleTimeout    = 10 * time.Second // time by which a written record is seen by its own daemon
	reapsPerLease     = 30               // checks for expired records per lease
	maxReapBatch      = 20               // records removed at one check, to limit load on the store
)

// lease returns the time after which a record that is not renewed expires.
func (s *Settings) lease() time.Duration {
	if s.Lease > 0 {
		return s.Lease
	}
	return defaultLease
}

// A joiner keeps this daemon's member record in the store.
type joiner struct {
	daemon *Daemon
}

// loop writes the record at the start, and again whenever its renewal is due or
// it has been removed. It returns when ctx ends.
func (j *joiner) loop(ctx context.Context) {
	attempts := 0
	for term := 0; ctx.Err() == nil; {
		attempts++
		existed, err := j.daemon.Source.PutMember(ctx, j.daemon.fleet.Self, term)
		if err != nil {
			j.daemon.Log.Emit(event.MemberWriteFailed, event.Fields{Step: "join", Err: err})
			delay.Sleep(ctx, delay.Jitter(joinRetryDelay))
			continue
		}
		if existed && attempts == 1 {
			// After a failed attempt, the record may be that attempt's.
			j.daemon.membership.confirm()
		}
		term++
		j.waitForRenewal(ctx)
	}
}

// waitForRenewal returns when the record must be written again, or ctx ends.
func (j *joiner) waitForRenewal(ctx context.Context) {
	written := time.Now()
	due := delay.Jitter(j.daemon.Settings.lease() / renewalsPerLease)
	for delay.Sleep(ctx, joinCheckInterval) {
		age := time.Since(written)
		if age > due || age > visibleTimeout && j.daemon.fleet.SelfMissing() {
			return
		}
	}
}

// settleTime is the time after which all daemons have seen a record that one of
// them has seen: a daemon with older data reads the store itself.
const settleTime = feed.StaleAge

// A membership records since when the other daemons count this one as a member. The
// zero value is a daemon without a record. It is safe for concurrent use.
type membership struct {
	mu        sync.Mutex
	seenSince time.Time // since when this daemon's own record has been among those it sees; zero while it is not
	confirmed bool      // that record is known to be from before the start of this process
}

// observe records whether the daemon's own record is among those that it sees now.
func (m *membership) observe(seen bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !seen:
		m.seenSince = time.Time{}
		m.confirmed = false
	case m.seenSince.IsZero():
		m.seenSince = now
	}
}

// confirm records that there was a record when this daemon wrote its own. So others
// have counted it all the while.
func (m *membership) confirm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = true
}

// countedSince returns since when all other daemons count this one; zero while they
// may not.
func (m *membership) countedSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.seenSince.IsZero():
		return time.Time{}
	case m.confirmed:
		return m.seenSince
	}
	return m.seenSince.Add(settleTime)
}

// A reaper removes the expired records of other daemons. Each record counts in
// the division of the shared limits, so without it every daemon's share would
// shrink with each VM that is replaced. Only the first daemon in the read order
// removes records.
type reaper struct {
	daemon     *Daemon
	recordsAge func(now time.Time) time.Duration // how old the known state of the records is

	mu     sync.Mutex
	leases mirror.Leases
}

// observe updates the leases with changed records.
func (r *reaper) observe(changes []decoded[mirror.Member]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, c := range changes {
		if c.Deleted {
			r.leases.Forget(c.Name)
			continue
		}
		r.leases.Observe(c.Name, c.Revision, now)
	}
}

// restartLeases restarts all leases. It is called after a time in which the
// records could not be read, so that renewals went unseen.
func (r *reaper) restartLeases() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.Restart(time.Now())
}

func (r *reaper) expired(maxAge time.Duration) []mirror.ExpiredRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.Expired(time.Now(), maxAge)
}

// loop removes expired records until ctx ends.
func (r *reaper) loop(ctx context.Context) {
	lease := r.daemon.Settings.lease()
	for delay.Sleep(ctx, lease/reapsPerLease) {
		// After an outage of the store the records must be read again first:
		// until then all of them look as if they had not been renewed.
		if r.daemon.fleet.Known() && r.daemon.fleet.Rank() == 0 && r.recordsAge(time.Now()) < feed.StaleAge {
			r.reap(ctx, lease)
		}
	}
}

// reap removes expired records. A daemon that was only unreachable writes its
// record again once it finds it missing.
func (r *reaper) reap(ctx context.Context, lease time.Duration) {
	expired := r.expired(lease)
	for _, e := range expired[:min(len(expired), maxReapBatch)] {
		if e.Name == r.daemon.fleet.Self.Name {
			continue
		}
		err := r.daemon.Source.RemoveMember(ctx, e.Name, e.Revision)
		if err != nil {
			// The record may have been renewed meanwhile. If not, the next
			// check tries again.
			r.daemon.Log.Emit(event.MemberWriteFailed, event.Fields{Step: "reap", Peer: e.Name, Err: err})
			continue
		}
		r.daemon.Log.Emit(event.MemberExpired, event.Fields{Step: "reap", Peer: e.Name, Detail: "not renewed for " + lease.String()})
	}
}
