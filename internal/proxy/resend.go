package proxy

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
)

// retry sends the request to another upstream after a failed attempt, and reports
// whether it did. A request that may have run is only sent again if its route is
// idempotent.
func (r *shardRequest) retry(ctx context.Context, res attemptResult) bool {
	ran := res.reply.Result == client.Failed || res.reply.Result == client.Unknown
	if ran && !r.request.Route.Idempotent || ctx.Err() != nil {
		return false
	}
	return r.sendAnother(ctx, res.reply.Result == client.Unsent, false)
}

// canRetryLater reports whether a retry after the failed attempt may become possible
// in time, when the budget allows it or an upstream can take it.
func (r *shardRequest) canRetryLater(res attemptResult) bool {
	ran := res.reply.Result == client.Failed || res.reply.Result == client.Unknown
	if ran && !r.request.Route.Idempotent || r.runs >= r.request.Route.MaxAttempts || r.sends >= maxSends {
		return false
	}
	c := &criteria{request: r.request, stats: r.stats, exclude: r.tried}
	now := time.Now()
	return now.Before(r.sendBy) && r.proxy.availability(r.group, c, now) != availNone
}

// sendAnother sends a further attempt, a retry or a hedge, if the limits allow it,
// and reports whether it did. The attempt is charged to the budget unless free is
// set and nothing has been sent so far: it then takes the place of a first attempt.
// hedge says that another attempt is in flight.
func (r *shardRequest) sendAnother(ctx context.Context, free, hedge bool) bool {
	if r.runs >= r.request.Route.MaxAttempts || r.sends >= maxSends {
		return false
	}
	now := time.Now()
	c := &criteria{request: r.request, stats: r.stats, exclude: r.tried, hedge: hedge}
	u := r.proxy.acquire(r.group, c, now)
	if u == nil {
		return false
	}
	free = free && r.sends == 0
	admission, ok := u.admit(now)
	if !ok || !free && !r.group.budget.Take(now) {
		u.replica.End(now)
		if ok {
			admission.done(time.Time{})
		}
		if !r.overBudget {
			r.trace.addNote(r.shard, "budget")
		}
		r.overBudget = true
		return false
	}
	r.trace.addNote(r.shard, "resend "+u.info.ID)
	r.send(ctx, &attempt{shardRequest: r, upstream: u, started: now, admission: admission, charged: !free})
	return true
}

// Delays until hedge is called again.
const (
	hedgeRecheck = 10 * time.Millisecond
	hedgeNever   = time.Hour // no further hedge is to be sent
)

// hedge sends a hedge if possible, and returns when to call it again.
func (r *shardRequest) hedge(ctx context.Context) time.Duration {
	if r.runs >= r.request.Route.MaxAttempts {
		return hedgeNever
	}
	if r.sendAnother(ctx, r.failure.Result == client.Unsent && r.sends == 0, r.inFlight > 0) {
		return hedgeNever
	}
	return hedgeRecheck
}

// hedgeDelay returns how long to wait for the first attempt before a hedge is sent:
// longer than nearly all such requests take, but early enough for the hedge to be
// answered on time, even if it has to open a connection.
func (r *shardRequest) hedgeDelay() time.Duration {
	first := r.tried[0]
	typical := r.stats.typical()
	d := first.rtt() + r.stats.hedgeAfter.Value()
	latest := time.Until(r.answerBy) - r.hedgeNetworkTime() - minHedgeMedians*typical
	earliest := first.rtt() + r.stats.earliestHedge.Value()
	return min(d, max(latest, earliest))
}

// hedgeNetworkTime returns the time that a hedge spends on the network: one round
// trip, and another one if a connection must be opened first.
func (r *shardRequest) hedgeNetworkTime() time.Duration {
	c := &criteria{request: r.request, stats: r.stats, exclude: r.tried, hedge: true}
	u := r.proxy.best(r.group, c, time.Now())
	if u == nil {
		return crossRegionRTT
	}
	if u.pool.HasIdle() {
		return u.rtt()
	}
	return 2 * u.rtt()
}
