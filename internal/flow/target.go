package flow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/pace"
	"bronzedoor.dev/bronzedoor/internal/pick"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// Round trips that are assumed until a connection was opened.
const (
	nearRound = time.Millisecond      // within a region
	farRound  = 40 * time.Millisecond // between regions
)

// A target is one upstream: its condition, its connections and its probe.
type target struct {
	up    *roster.Upstream
	flow  *Flow
	group *group
	rep   *pick.Replica
	pool  *link.Pool
	cold  limit.RateLimiter
	// lateRoom is the number of requests that may be outstanding there when
	// one is sent that is late; 0 counts as 1, as in pick.Replica.
	lateRoom atomic.Int32

	ctx    context.Context // ends when the upstream is gone
	cancel context.CancelFunc

	mu      sync.Mutex
	probing time.Time // since when; zero if it isn't
}

// lateRounds is the number of rounds of its slots that late requests may fill at
// an upstream: enough to keep it at work, and a short wait for those that come
// after them and can still be in time.
const lateRounds = 2

// share sets this daemon's part of the limits of an upstream that so many
// daemons use.
func (t *target) share(s route.Service, share float64, users int) {
	if s.MaxConns > 0 {
		t.pool.SetMax(int(float64(s.MaxConns) * share))
	} else {
		t.pool.SetMax(t.up.Slots)
	}
	t.pool.SetUsers(s.MaxConns, users)
	b := t.flow.limits()
	allowed := -1.0
	if s.ColdRate > 0 {
		allowed = t.flow.coldPart(time.Now()) * (s.ColdRate*b.ColdTimes + b.ColdSlack) * share
	}
	t.cold.Set(allowed)
	t.lateRoom.Store(int32(lateRounds * float64(t.up.Slots) * share))
}

// far returns the round trip to the upstream.
func (t *target) far() time.Duration {
	if d := t.pool.Round(); d > 0 {
		return d
	}
	if t.up.Region == t.flow.Region {
		return nearRound
	}
	return farRound
}

func (t *target) close() {
	t.cancel()
	t.pool.Close()
}

// fail takes the target out of use until a connection to it can be opened.
func (t *target) fail(why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.probing.IsZero() || t.ctx.Err() != nil {
		return
	}
	t.probing = time.Now()
	t.rep.SetDown(true)
	t.flow.Log.Emit(event.UpstreamDown, event.Fields{Step: "send", Peer: t.up.Address, Class: t.up.Service, Detail: t.up.ID + ": " + why})
	go (&prober{t}).run(t.ctx)
}

// probed returns for how long the target has been probed without success.
func (t *target) probed(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probing.IsZero() {
		return 0
	}
	return now.Sub(t.probing)
}

// A prober opens a connection to a target that failed.
type prober struct {
	*target
}

// Times between two probes.
const (
	probeFirst = 100 * time.Millisecond
	probeMost  = 800 * time.Millisecond
)

// run probes until a connection is open or ctx ends.
func (p *prober) run(ctx context.Context) {
	wait := probeFirst
	for ctx.Err() == nil {
		if p.pool.Probe(ctx) == nil {
			p.found()
			return
		}
		pace.Sleep(ctx, pace.Jitter(wait))
		wait = min(2*wait, probeMost)
	}
}

// found takes the target into use again.
func (p *prober) found() {
	p.mu.Lock()
	p.flow.Log.Emit(event.UpstreamUp, event.Fields{
		Step:   "probe",
		Peer:   p.up.Address,
		Class:  p.up.Service,
		Detail: fmt.Sprintf("%s after %d ms", p.up.ID, time.Since(p.probing).Milliseconds()),
	})
	p.probing = time.Time{}
	p.rep.SetDown(false)
	p.mu.Unlock()
	p.group.line.wakeAll()
}

// Signs that a silent upstream may be dead.
const (
	silentLeast = 300 * time.Millisecond // a shorter silence is no sign
	silentTimes = 8                      // nor is one of fewer typical latencies
)

// send sends a request to the target, which was counted in at the time begun,
// and learns from what comes of it.
func (t *target) send(ctx context.Context, q *Request, st *stat, begun time.Time) link.Reply {
	re := t.pool.Do(ctx, q.Payload, q.Due, !q.Route.Idempotent)
	now := time.Now()
	t.rep.End(begun)
	t.learn(now, now.Sub(begun), re, st)
	t.flow.Meter.reply(t.group.name, re.Result, now.Sub(begun))
	t.group.line.wake()
	return re
}

// learn takes in what came of a request.
func (t *target) learn(now time.Time, took time.Duration, re link.Reply, st *stat) {
	typical := st.typical()
	if re.Cold > 0 {
		t.rep.SetCold(now.Add(re.Cold))
	}
	switch re.Result {
	case link.Whole:
		took = max(took-t.far(), 0)
		st.add(took)
		t.rep.RecordLatency(now, took, typical, t.far())
		t.rep.RecordSuccess(now)
	case link.Failed:
		t.rep.RecordFailure(now)
	case link.Refused:
		t.rep.RecordFailure(now)
		t.rep.RecordShed(now)
	case link.Moved:
		t.rep.SetMoved()
	case link.Unsent:
		if !errors.Is(re.Err, link.ErrBusy) && (!ended(re.Err) || took > silentLeast) {
			t.fail(reason(re))
		}
	case link.Unknown:
		if ended(re.Err) && took <= max(silentLeast, silentTimes*typical) {
			return
		}
		t.rep.RecordFailure(now)
		if re.Over {
			// The pool keeps to the connections that it has.
			return
		}
		t.rep.RecordLatency(now, took, typical, t.far())
		t.fail(reason(re))
	}
}

// reason says in a few words why there is no answer.
func reason(re link.Reply) string {
	if re.Err == nil {
		return "no answer to the request"
	}
	return re.Err.Error()
}

// ended reports whether an error is the end of the request's context.
func ended(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
