package flow

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/link"
)

// A leg brings a request, or one shard's part of it, to the upstreams of one
// service: to one at first, and to others after a failure or as a hedge.
type leg struct {
	flow    *Flow
	group   *group
	request *Request
	stat    *stat
	trace   *trace
	index   int // of the shard; 0 for a request that goes to one upstream
	aim     time.Time
	patient time.Time       // until when a request that waits to be sent can still be in time
	stays   bool            // it waits for longer, behind those that can be in time
	behind  bool            // it waits behind those from the start
	done    <-chan struct{} // closed when the request is answered
	out     chan<- outcome

	tried   []*target // upstreams that got the request and may have run it, or were not reached
	runs    int       // upstreams on which the request may have run
	sends   int       // requests that left
	flying  int       // requests without a result
	replies chan sent
	failure link.Reply // the last failure; the zero value if there was none
	poor    bool       // the budget has held a request back
}

// A sent is the reply to one request that was sent.
type sent struct {
	target *target
	reply  link.Reply
	extra  bool
}

// An outcome is what came of a leg.
type outcome struct {
	index int
	reply link.Reply // Unsent if no upstream got the request
	sends int
	why   string // why there is no success
}

// An attempt sends one request.
type attempt struct {
	leg    *leg
	target *target
	begun  time.Time
	cold   bool // it counts against the rate of a cold upstream
	extra  bool
}

func (t *attempt) run(ctx context.Context) {
	re := t.target.send(ctx, t.leg.request, t.leg.stat, t.begun)
	if t.cold {
		t.target.cold.Done(re.Sent)
	}
	t.leg.replies <- sent{target: t.target, reply: re, extra: t.extra}
}

// mostSends bounds the requests that a leg sends, refused ones counted.
const mostSends = 6

// run serves the leg and tells its outcome.
func (l *leg) run(ctx context.Context) {
	l.replies = make(chan sent, mostSends)
	l.out <- l.serve(ctx)
}

// serve sends the request until there is an answer, or none can come.
func (l *leg) serve(ctx context.Context) outcome {
	l.group.extra.CountFirst(time.Now())
	if why := l.first(ctx); why != "" {
		return l.end(link.Reply{Result: link.Unsent}, why)
	}
	hedge := time.NewTimer(l.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case s := <-l.replies:
			l.flying--
			if l.take(s) {
				return l.end(s.reply, "")
			}
			if l.flying == 0 && l.sends == 0 {
				// Nothing has left: the connection was taken by another
				// request, or could not be opened.
				l.tried = nil
				if why := l.first(ctx); why != "" {
					return l.end(link.Reply{Result: link.Unsent}, why)
				}
				continue
			}
			if l.again(ctx, s) || l.flying > 0 {
				continue
			}
			if !l.waits(s) {
				return l.end(l.failure, l.failure.Result.String())
			}
			hedge.Reset(hedgeLook)
		case <-hedge.C:
			if l.flying == 0 && time.Now().After(l.patient) {
				return l.end(l.failure, l.failure.Result.String())
			}
			if l.request.Route.Idempotent || l.flying == 0 {
				hedge.Reset(l.hedge(ctx))
			}
		case <-l.done:
			return l.end(l.failure, "answered")
		case <-ctx.Done():
			return l.settle(ctx)
		}
	}
}

// settle ends a leg whose context has ended. The requests in flight end with it,
// but an answer that has just come is an answer.
func (l *leg) settle(ctx context.Context) outcome {
	for ; l.flying > 0; l.flying-- {
		if s := <-l.replies; l.take(s) {
			return l.end(s.reply, "")
		}
	}
	return l.end(link.Reply{Result: link.Unknown, Err: ctx.Err()}, "deadline")
}

func (l *leg) end(re link.Reply, why string) outcome {
	return outcome{index: l.index, reply: re, sends: l.sends, why: why}
}

// first sends the first request, waiting for an upstream if that may help. It
// returns why none was sent, or nothing.
func (l *leg) first(ctx context.Context) string {
	if now := time.Now(); !l.group.line.crowded() && l.try(ctx, now) {
		return ""
	}
	for {
		late := l.behind || time.Now().After(l.patient)
		w := l.group.line.join(late, l.request.Route.Priority)
		now := time.Now()
		if (!late || !l.group.line.crowded()) && l.try(ctx, now) {
			l.group.line.leave(w, true)
			return ""
		}
		wait, why := l.waitFor(now, late)
		if wait <= 0 {
			l.group.line.leave(w, false)
			return why
		}
		woken, over := l.sleep(ctx, w, wait)
		sent := woken && l.try(ctx, time.Now())
		l.group.line.leave(w, sent)
		switch {
		case sent:
			return ""
		case over:
			return "deadline"
		}
	}
}

// try sends the request if an upstream can take it.
func (l *leg) try(ctx context.Context, now time.Time) bool {
	late := l.stays && (l.behind || now.After(l.patient)) && now.Before(l.request.pressing())
	t := l.flow.choose(l.group, &choice{request: l.request, stat: l.stat, late: late}, now)
	if t == nil {
		return false
	}
	cold, ok := t.allowed(now)
	if !ok {
		t.rep.End(now)
		return false
	}
	l.send(ctx, &attempt{leg: l, target: t, begun: now, cold: cold})
	return true
}

// lateLook is the time after which a late request looks without being woken.
const lateLook = 200 * time.Millisecond

// waitFor returns how long to wait for an upstream: not at all if that can't
// help, and then why.
func (l *leg) waitFor(now time.Time, late bool) (time.Duration, string) {
	switch l.flow.hope(l.group, &choice{request: l.request, stat: l.stat}, now) {
	case none:
		return 0, "no upstream"
	case soon:
		return probeHope, ""
	case later:
	}
	if late && l.stays {
		return lateLook, ""
	}
	return l.patient.Sub(now), "busy"
}

// sleep waits for a turn, and reports whether it came and whether the request
// is over.
func (l *leg) sleep(ctx context.Context, w *waiter, wait time.Duration) (woken, over bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return true, false
	case <-timer.C:
		return false, false
	case <-l.done:
	case <-ctx.Done():
	}
	return false, true
}

// allowed reports whether the upstream is cold, and whether a request may go to
// it. One that may go to a cold upstream is counted.
func (t *target) allowed(now time.Time) (cold, ok bool) {
	if !t.rep.Cold(now) {
		return false, true
	}
	return true, t.cold.Take(now)
}

// send sends the request to an upstream that has counted it in.
func (l *leg) send(ctx context.Context, t *attempt) {
	l.tried = append(l.tried, t.target)
	l.runs++
	l.sends++
	l.flying++
	go t.run(ctx)
}

// take takes in a reply, and reports whether it ends the leg.
func (l *leg) take(s sent) bool {
	if s.reply.Result != link.Whole || s.extra || len(l.tried) > 1 {
		// A first request that is answered is as it should be.
		l.trace.add(l.index, s)
	}
	switch s.reply.Result {
	case link.Whole:
		return true
	case link.Unsent:
		l.sends--
		l.runs--
		if s.extra {
			l.group.extra.Return(time.Now())
		}
		if l.failure.Result == link.Unsent {
			l.failure = s.reply
		}
		return false
	case link.Refused, link.Moved:
		l.runs--
	case link.Failed, link.Unknown:
	}
	// What may have run says more than what surely did not.
	if l.failure.Result != link.Failed && l.failure.Result != link.Unknown || s.reply.Result == link.Failed {
		l.failure = s.reply
	}
	return false
}

// again sends the request to another upstream after a failure, and reports
// whether it did.
func (l *leg) again(ctx context.Context, s sent) bool {
	ran := s.reply.Result == link.Failed || s.reply.Result == link.Unknown
	if ran && !l.request.Route.Idempotent || ctx.Err() != nil {
		return false
	}
	return l.extra(ctx, s.reply.Result == link.Unsent)
}

// waits reports whether the leg waits for the budget or an upstream after a
// reply that another one may make good.
func (l *leg) waits(s sent) bool {
	ran := s.reply.Result == link.Failed || s.reply.Result == link.Unknown
	if ran && !l.request.Route.Idempotent || l.runs >= l.request.Route.MaxAttempts || l.sends >= mostSends {
		return false
	}
	c := &choice{request: l.request, stat: l.stat, avoid: l.tried}
	now := time.Now()
	return now.Before(l.patient) && l.flow.hope(l.group, c, now) != none
}

// extra sends one more request if the limits allow it. One in place of a
// request that was never sent is not an extra one.
func (l *leg) extra(ctx context.Context, free bool) bool {
	if l.runs >= l.request.Route.MaxAttempts || l.sends >= mostSends {
		return false
	}
	now := time.Now()
	c := &choice{request: l.request, stat: l.stat, avoid: l.tried}
	t := l.flow.choose(l.group, c, now)
	if t == nil {
		return false
	}
	free = free && l.sends == 0
	cold, ok := t.allowed(now)
	if !ok || !free && !l.group.extra.Take(now) {
		t.rep.End(now)
		if cold && ok {
			t.cold.Done(time.Time{})
		}
		if !l.poor {
			l.trace.note(l.index, "budget")
		}
		l.poor = true
		return false
	}
	l.trace.note(l.index, "again "+t.up.ID)
	l.send(ctx, &attempt{leg: l, target: t, begun: now, cold: cold, extra: !free})
	return true
}

// Times between two looks at whether a hedge is due.
const (
	hedgeLook = 10 * time.Millisecond
	hedgeDone = time.Hour // no further hedge
)

// hedge sends a second request, and returns when to look again.
func (l *leg) hedge(ctx context.Context) time.Duration {
	if l.runs >= l.request.Route.MaxAttempts {
		return hedgeDone
	}
	if l.extra(ctx, l.failure.Result == link.Unsent && l.sends == 0) {
		return hedgeDone
	}
	return hedgeLook
}

// hedgeDelay returns how long the first request is waited for alone: beyond
// what such requests nearly always take, but early enough for a second one to
// be answered in time, which may need a connection first.
func (l *leg) hedgeDelay() time.Duration {
	first := l.tried[0]
	typical := l.stat.typical()
	d := first.far() + l.stat.tail.Value()
	latest := time.Until(l.aim) - l.hedgeTakes() - tailTimes*typical
	least := first.far() + l.stat.early.Value()
	return min(d, max(latest, least))
}

// hedgeTakes returns how long the way to another upstream takes.
func (l *leg) hedgeTakes() time.Duration {
	c := &choice{request: l.request, stat: l.stat, avoid: l.tried}
	t := l.flow.best(l.group, c, time.Now())
	if t == nil {
		return farRound
	}
	if t.pool.Idle() {
		return t.far()
	}
	return 2 * t.far()
}
