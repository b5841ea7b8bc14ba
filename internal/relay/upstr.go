package relay

import (
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/search"
)

// Constants of the choice between replicas.
const (
	latencyGain = 0.2                   // weight of the newest latency in the mean
	latencyAge  = 2 * time.Second       // age after which a mean is worth half
	dialRetry   = 50 * time.Millisecond // pause after a failed dial, doubled up to dialMost
	dialMost    = time.Second
	drainPause  = time.Second           // pause after an upstream said that it drains
	closeLinger = 5 * time.Millisecond  // until a closed connection no longer counts
	timelyGoal  = 50 * time.Millisecond // a slower answer does not raise a limit
)

// An upstr is what the relay knows of one upstream. Its shard's mutex guards
// all but the address, which does not change.
type upstr struct {
	address string // IP number and port
	conf    conf.Upstream
	ramp    limit.Ramp
	flight  int            // requests in flight
	open    int            // connections open, being opened or just closed
	idle    []*search.Conn // open and unused
	latency time.Duration  // moving mean of good answers; 0 if there are none
	sampled time.Time      // when latency was last moved
	retryAt time.Time      // not before: the last dial failed, or it drains
	backoff time.Duration
	oldest  uint64 // versions held, as last heard; newest 0 if unknown
	newest  uint64
	sent    int       // requests sent
	probed  time.Time // when it was last looked at
	probing bool      // a look is in the air
}

// usable reports whether the upstream may get one more request now.
func (u *upstr) usable(now time.Time) bool {
	if u.conf.Excluded || now.Before(u.retryAt) {
		return false
	}
	if u.flight >= u.ramp.Limit(now) {
		return false
	}
	return len(u.idle) > 0 || u.open < u.ramp.Max
}

// holds reports whether the upstream is known not to lack a version.
func (u *upstr) holds(version uint64) bool {
	return version == 0 || u.newest == 0 || version >= u.oldest && version <= u.newest
}

// cost ranks the upstream: its expected wait, given the mean of its peers for
// an upstream that has no recent latency of its own.
func (u *upstr) cost(now time.Time, peers time.Duration) float64 {
	l := float64(peers)
	if u.latency > 0 {
		age := float64(now.Sub(u.sampled)) / float64(latencyAge)
		keep := 1 / (1 + age)
		l = float64(u.latency)*keep + l*(1-keep)
	}
	return l * float64(u.flight+1)
}

// sample moves the mean latency.
func (u *upstr) sample(d time.Duration, now time.Time) {
	if u.latency == 0 {
		u.latency = d
	} else {
		u.latency += time.Duration(latencyGain * float64(d-u.latency))
	}
	u.sampled = now
}

// heard takes in the versions that the upstream says it holds.
func (u *upstr) heard(oldest, newest uint64) {
	if newest > 0 {
		u.oldest, u.newest = oldest, newest
	}
}

// refused puts the upstream aside for a while after a failed dial.
func (u *upstr) refused(now time.Time) {
	u.backoff = min(max(2*u.backoff, dialRetry), dialMost)
	u.retryAt = now.Add(u.backoff)
}

// takeIdle removes an idle connection to the current start, or returns nil.
// Connections to an earlier start are given to drop.
func (u *upstr) takeIdle(drop func(*search.Conn)) *search.Conn {
	for len(u.idle) > 0 {
		c := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		if !c.Broken() && c.Start.Start == u.ramp.Start() {
			return c
		}
		drop(c)
	}
	return nil
}
