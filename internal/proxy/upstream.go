package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/boot"
	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/health"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
	"bronzedoor.dev/bronzedoor/internal/stated"
)

// Round-trip times that are assumed until a connection has been opened.
const (
	sameRegionRTT  = time.Millisecond      // within a region
	crossRegionRTT = 40 * time.Millisecond // between regions
)

// An upstream holds the state, the connections and the limits of one upstream process.
type upstream struct {
	info    *roster.Upstream // as listed in the roster
	proxy   *Proxy
	group   *group
	replica *health.Replica // health and load
	pool    *client.Pool
	stated  *stated.Process // what it has said of itself
	// maxLate is the number of requests that may be in flight when a late one
	// is sent, counting it; 0 counts as 1, as in health.Replica.
	maxLate atomic.Int32

	ctx    context.Context // canceled by close
	cancel context.CancelFunc

	mu           sync.Mutex
	probingSince time.Time // when probing began; zero if it is in rotation
}

// newUpstream returns the state of an upstream that has just become known.
func newUpstream(p *Proxy, g *group, info *roster.Upstream) *upstream {
	u := &upstream{
		info:    info,
		proxy:   p,
		group:   g,
		replica: &health.Replica{Slots: info.Slots},
		stated:  p.stated.Get(processKey(info)),
		pool:    &client.Pool{Address: info.Address, ID: info.ID, Codec: p.Codec, Dial: p.Dial, Memory: p.memory, Extra: p.extraConns},
	}
	u.pool.Held = func() bool { return u.stated.PauseWait(time.Now()) > 0 }
	u.ctx, u.cancel = context.WithCancel(p.baseCtx)
	return u
}

// processKey returns the key of an upstream's process.
func processKey(info *roster.Upstream) stated.Key {
	return stated.Key{ID: info.ID, StartMs: info.StartMs}
}

// lateSlotFactor is the number of requests in flight per slot of an upstream up to
// which late requests are sent to it: enough to keep the upstream busy, but few
// enough that on-time requests that come after them wait only briefly.
const lateSlotFactor = 2

// setLimits sets this daemon's share of the limits of an upstream that is used by
// the given number of daemons.
func (u *upstream) setLimits(s route.Service, share float64, users int) {
	if s.MaxConns > 0 {
		u.pool.SetMaxOpen(int(float64(s.MaxConns) * share))
	} else {
		u.pool.SetMaxOpen(u.info.Slots)
	}
	u.pool.SetSharing(s.MaxConns, users)
	limits := u.proxy.Limits()
	coldRate := -1.0
	if s.ColdRate > 0 {
		coldRate = (s.ColdRate*limits.ColdFactor + limits.ColdSlack) * share
	}
	u.stated.Cold.Set(coldRate, u.proxy.rampUp())
	u.stated.Rate.SetShare(share, u.proxy.rampUp())
	u.maxLate.Store(int32(lateSlotFactor * float64(u.info.Slots) * share))
}

// rtt returns the round-trip time to the upstream.
func (u *upstream) rtt() time.Duration {
	if d := u.pool.RTT(); d > 0 {
		return d
	}
	if u.info.Region == u.proxy.Region {
		return sameRegionRTT
	}
	return crossRegionRTT
}

// close cancels probing and closes the connections.
func (u *upstream) close() {
	u.cancel()
	u.pool.Close()
}

// markDown takes the upstream out of rotation and probes it until a connection to it
// can be opened.
func (u *upstream) markDown(reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.probingSince.IsZero() || u.ctx.Err() != nil {
		return
	}
	u.probingSince = time.Now()
	u.replica.SetDown(true)
	u.proxy.Log.Emit(event.UpstreamDown, event.Fields{Step: "send", Peer: u.info.Address, Class: u.info.Service, Detail: u.info.ID + ": " + reason})
	go (&prober{u}).run(u.ctx)
}

// probingFor returns how long the upstream has been probed; 0 if it is in rotation.
func (u *upstream) probingFor(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.probingSince.IsZero() {
		return 0
	}
	return now.Sub(u.probingSince)
}

// A prober tries to open a connection to an upstream that has failed.
type prober struct {
	*upstream
}

// Intervals between probes, which double from the minimum to the maximum.
const (
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
)

// run probes until a connection is open or ctx is done.
func (p *prober) run(ctx context.Context) {
	wait := minProbeInterval
	for ctx.Err() == nil {
		if p.pool.Probe(ctx) == nil {
			p.markUp()
			return
		}
		delay.Sleep(ctx, delay.Jitter(wait))
		wait = min(2*wait, maxProbeInterval)
	}
}

// markUp puts the upstream back in rotation.
func (p *prober) markUp() {
	p.mu.Lock()
	p.proxy.Log.Emit(event.UpstreamUp, event.Fields{
		Step:   "probe",
		Peer:   p.info.Address,
		Class:  p.info.Service,
		Detail: fmt.Sprintf("%s after %d ms", p.info.ID, time.Since(p.probingSince).Milliseconds()),
	})
	p.probingSince = time.Time{}
	p.replica.SetDown(false)
	p.mu.Unlock()
	p.group.queue.wakeAll()
}

// Thresholds above which an upstream may be dead that has not answered by the end of
// a request's context. For a request that may have been sent, both must be exceeded.
const (
	minSilence        = 300 * time.Millisecond // in any case
	minSilenceMedians = 8                      // in medians of the route's latency
)

// send sends a request to the upstream and records the result. started is the time
// that was passed to acquire.
func (u *upstream) send(ctx context.Context, q *Request, stats *latencyStats, started time.Time) client.Reply {
	re := u.pool.Do(ctx, q.Payload, q.Deadline, !q.Route.Idempotent)
	now := time.Now()
	u.replica.End(started)
	u.record(now, now.Sub(started), re, stats)
	u.proxy.Metrics.observeAttempt(u.group.name, re, now.Sub(started))
	u.group.queue.wake()
	return re
}

// record updates the state of the upstream and the latencies of the route with the
// result of a request that took the given time.
func (u *upstream) record(now time.Time, took time.Duration, re client.Reply, stats *latencyStats) {
	typical := stats.typical()
	if re.ColdFor > 0 {
		u.replica.SetCold(now.Add(re.ColdFor))
	}
	u.recordStated(re, now)
	switch re.Result {
	case client.Succeeded:
		u.proxy.Startup.Reach(boot.Reply)
		took = max(took-u.rtt(), 0)
		stats.add(took)
		u.replica.RecordLatency(now, took, typical, u.rtt())
		u.replica.RecordSuccess(now)
	case client.Failed:
		u.replica.RecordFailure(now)
	case client.Refused:
		u.replica.RecordFailure(now)
		u.replica.RecordShed(now)
	case client.Moved:
		u.replica.SetMoved()
	case client.Unsent:
		if !errors.Is(re.Err, client.ErrBusy) && !errors.Is(re.Err, client.ErrHeld) && (!isContextError(re.Err) || took > minSilence) {
			u.markDown(failureText(re))
		}
	case client.Unknown:
		if isContextError(re.Err) && took <= max(minSilence, minSilenceMedians*typical) {
			return
		}
		u.replica.RecordFailure(now)
		if re.AtConnLimit {
			// The upstream refuses further connections but is not down: the
			// pool goes on with those that it has.
			return
		}
		u.replica.RecordLatency(now, took, typical, u.rtt())
		u.markDown(failureText(re))
	}
}

// failureText describes why there is no reply.
func failureText(re client.Reply) string {
	if re.Err == nil {
		return "no answer to the request"
	}
	return re.Err.Error()
}

// isContextError reports whether err says that the context of a request is done.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
