package relay

import (
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/search"
)

// Limits and weights for the choice of a replica.
const (
	latencyWeight     = 0.2                   // weight of a new latency in the moving mean
	latencyHalfWeight = 2 * time.Second       // age at which a mean has half its weight
	minDialBackoff    = 50 * time.Millisecond // pause after a failed dial; doubles at each further failure
	maxDialBackoff    = time.Second           // limit of the doubling
	drainPause        = time.Second           // pause after an upstream reported that it drains
	closeLinger       = 5 * time.Millisecond  // time for which a closed connection still counts as open
	latencyTarget     = 50 * time.Millisecond // slower replies do not raise the limit of requests in flight
)

// An upstream is the state of one upstream. The mutex of its shard guards all
// fields but the address, which does not change.
type upstream struct {
	address     string // IP number and port
	conf        conf.Upstream
	limiter     limit.Adaptive // limits the requests in flight
	inFlight    int            // requests that have acquired the upstream
	openConns   int            // connections that are open, being opened, or closed within closeLinger
	closing     int            // those of openConns that have been closed
	idleConns   []*search.Conn // open connections that are not in use
	meanLatency time.Duration  // moving mean of replies and of requests past their deadline; 0 if unknown
	sampledAt   time.Time      // time of the last change of meanLatency
	pausedUntil time.Time      // no requests before this time: a dial failed, or the upstream drains
	backoff     time.Duration  // pause after the last failed dial; 0 after a success
	oldest      uint64         // oldest version that it last reported
	newest      uint64         // newest version that it last reported; 0 if unknown
	sent        int            // requests sent on an open connection
	probedAt    time.Time      // start of the last probe
	probing     bool           // a probe is in flight
}

// canSend reports whether the upstream may get one more request now.
func (u *upstream) canSend(now time.Time) bool {
	if u.conf.Excluded || now.Before(u.pausedUntil) {
		return false
	}
	if u.inFlight >= u.limiter.Limit(now) {
		return false
	}
	return len(u.idleConns) > 0 || u.openConns < u.limiter.Max
}

// holds reports whether the upstream may hold the version: true unless the
// upstream is known to lack it. Version 0 stands for any version.
func (u *upstream) holds(version uint64) bool {
	return version == 0 || u.newest == 0 || version >= u.oldest && version <= u.newest
}

// cost returns the expected wait at the upstream in nanoseconds. As the upstream's
// own mean latency ages, shardMean, the mean of the shard's replicas, replaces it.
func (u *upstream) cost(now time.Time, shardMean time.Duration) float64 {
	l := float64(shardMean)
	if u.meanLatency > 0 {
		age := float64(now.Sub(u.sampledAt)) / float64(latencyHalfWeight)
		weight := 1 / (1 + age)
		l = float64(u.meanLatency)*weight + l*(1-weight)
	}
	return l * float64(u.inFlight+1)
}

// recordLatency adds a latency to the moving mean.
func (u *upstream) recordLatency(d time.Duration, now time.Time) {
	if u.meanLatency == 0 {
		u.meanLatency = d
	} else {
		u.meanLatency += time.Duration(latencyWeight * float64(d-u.meanLatency))
	}
	u.sampledAt = now
}

// recordVersions records the versions that the upstream reported. It ignores a
// report without versions.
func (u *upstream) recordVersions(oldest, newest uint64) {
	if newest > 0 {
		u.oldest, u.newest = oldest, newest
	}
}

// recordDialFailure pauses the upstream after a failed dial or probe, for a time
// that doubles at each further failure.
func (u *upstream) recordDialFailure(now time.Time) {
	u.backoff = min(max(2*u.backoff, minDialBackoff), maxDialBackoff)
	u.pausedUntil = now.Add(u.backoff)
}

// takeIdle removes and returns an idle connection to the upstream's current
// process, or returns nil. It passes broken connections and those to an earlier
// process to closeConn.
func (u *upstream) takeIdle(closeConn func(*search.Conn)) *search.Conn {
	for len(u.idleConns) > 0 {
		c := u.idleConns[len(u.idleConns)-1]
		u.idleConns = u.idleConns[:len(u.idleConns)-1]
		if !c.Broken() && c.Info.StartID == u.limiter.StartID() {
			return c
		}
		closeConn(c)
	}
	return nil
}
