package proxy

import (
	"context"
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/boot"
	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// Timing of answers. Shares are fractions of the route's latency objective or of
// the caller's time, which runs from the arrival of a request to its deadline.
const (
	answerShare = 0.9  // share of the objective by which an answer is to leave
	sendByShare = 0.25 // share of the objective for which a request to a single service waits for an upstream
	// maxOnTimeShare is the share of the objective that a shard request may be
	// expected to wait in the queue to count as on time on arrival. It leaves
	// room for the variation of waits and for the work itself.
	maxOnTimeShare = 0.25
	// maxLateShare is the share of the caller's remaining time that a late shard
	// request may be expected to wait in the queue.
	maxLateShare = 0.4
	// promoteShare is the share of the caller's time after which a late request
	// is sent as if it were on time.
	promoteShare     = 0.5
	defaultObjective = 300 * time.Millisecond // objective of a route without one
)

// Linger is how long attempts in flight may go on after the answer.
const Linger = 400 * time.Millisecond

// Serve sends a request to upstreams and returns the answer, shortly after the
// deadline of the request at the latest. ctx is to be done when the caller has
// disconnected. Serve may be called concurrently.
func (p *Proxy) Serve(ctx context.Context, q *Request) Answer {
	p.Startup.Reach(boot.Request)
	tr := &trace{started: q.Arrived}
	if reason := p.limitDeadline(q); reason != "" {
		return p.finish(q, &Answer{Kind: Refused, RetryAfter: retryAfterDraining, Reason: reason}, tr)
	}
	shardRequests := int64(max(len(q.Route.Shards), 1))
	defer p.inFlight.Add(-shardRequests)
	if n := p.inFlight.Add(shardRequests); p.MemoryLimit > 0 && n > p.MemoryLimit/shardRequestMemory {
		return p.finish(q, &Answer{Kind: Refused, RetryAfter: retryAfterFull, Reason: fmt.Sprintf("%d shard requests in flight", n)}, tr)
	}
	workCtx, cancel := context.WithDeadline(p.serveCtx, q.Deadline)
	stop := context.AfterFunc(ctx, cancel)
	done := make(chan struct{})
	defer close(done)
	var a Answer
	if q.Route.Sharded() {
		a = p.gather(workCtx, q, tr, done)
	} else {
		a = p.forward(workCtx, q, tr, done)
	}
	if stop() {
		// Attempts in flight are not canceled at once, so that an upstream
		// that is nearly done keeps its connection.
		time.AfterFunc(Linger, cancel)
	} else if a.Kind != Served && a.Kind != Relayed {
		// An answer that is ready is delivered even so: a caller that has
		// closed only its sending side still reads it.
		a.Kind = CallerGone
	}
	return p.finish(q, &a, tr)
}

// finish counts and logs the answer to a request, and returns it.
func (p *Proxy) finish(q *Request, a *Answer, tr *trace) Answer {
	p.Metrics.observeAnswer(q, a)
	p.logAnswer(q, a, tr)
	return *a
}

// logAnswer logs the answer to a request, unless it is a complete success after the
// first one.
func (p *Proxy) logAnswer(q *Request, a *Answer, tr *trace) {
	id := event.RequestFailed
	switch {
	case a.Kind == Served && a.MissingShards == 0:
		p.Startup.Reach(boot.Answer)
		return
	case a.Kind == Served:
		id = event.PartialAnswer
	}
	p.Log.Emit(id, event.Fields{
		Step:    "serve",
		Request: q.Payload.ID,
		Class:   q.Route.Name,
		Detail:  fmt.Sprintf("%s after %d ms of %d, version %d: %s", a, time.Since(q.Arrived).Milliseconds(), q.Deadline.Sub(q.Arrived).Milliseconds(), q.Table.Version, tr),
	})
}

// latencyObjective returns the latency objective of a route, or the default.
func latencyObjective(r *route.Route) time.Duration {
	if r.LatencyTarget > 0 {
		return r.LatencyTarget
	}
	return defaultObjective
}

// newShardRequest returns the part of a request for one service.
func (p *Proxy) newShardRequest(q *Request, stats *latencyStats, tr *trace, service string, outcomes chan<- outcome, done <-chan struct{}) *shardRequest {
	objective := latencyObjective(q.Route)
	return &shardRequest{
		proxy:    p,
		group:    p.group(service),
		request:  q,
		stats:    stats,
		trace:    tr,
		answerBy: q.Arrived.Add(time.Duration(answerShare * float64(objective))),
		sendBy:   q.Arrived.Add(time.Duration(sendByShare * float64(objective))),
		outcomes: outcomes,
		done:     done,
	}
}

// forward sends a request of a route without shards to a single service, and passes
// the reply on.
func (p *Proxy) forward(ctx context.Context, q *Request, tr *trace, done <-chan struct{}) Answer {
	outcomes := make(chan outcome, 1)
	r := p.newShardRequest(q, p.routeStats(q.Route.Name), tr, p.splitter.Next(q.Table, q.Route), outcomes, done)
	r.run(ctx)
	o := <-outcomes
	switch re := o.reply; re.Result {
	case client.Succeeded:
		return Answer{Kind: Served, Status: re.Status, Header: re.Header, Body: re.Body}
	case client.Failed:
		return Answer{Kind: Relayed, Status: re.Status, Header: re.Header, Body: re.Body, Reason: "upstream failed"}
	case client.Unsent, client.Refused, client.Moved:
		return Answer{Kind: Refused, RetryAfter: max(p.retryAfter(r.group), p.rateLimitWait(r.group, &criteria{request: q}, time.Now())), Reason: o.reason}
	case client.Unknown:
		if isContextError(re.Err) {
			return Answer{Kind: TimedOut, Reason: o.reason}
		}
	}
	return Answer{Kind: Lost, Reason: o.reason}
}

// shardRequestMemory is the memory in bytes that each shard request in flight is
// assumed to take. It is four times the usual amount.
const shardRequestMemory = 64 << 10

// Suggested delays before a refused caller retries.
const (
	retryAfterFull = 500 * time.Millisecond // by then, requests in flight are answered or late
	retryAfterBusy = 150 * time.Millisecond // by then, a slot becomes free
	retryAfterDown = 700 * time.Millisecond // by then, an upstream may be back in rotation
)

// retryAfter returns the delay to suggest to a caller whose request the group could
// not serve.
func (p *Proxy) retryAfter(g *group) time.Duration {
	for _, u := range g.list() {
		if u.replica.Usable() {
			return retryAfterBusy
		}
	}
	return retryAfterDown
}

// Match returns the routing table in force and the route of a request. The table is
// nil before SetTable, and the route is nil if none matches.
func (p *Proxy) Match(host, path string) (*route.Table, *route.Route) {
	p.mu.Lock()
	t := p.table
	p.mu.Unlock()
	if t == nil {
		return nil, nil
	}
	return t, t.Match(host, path)
}

// String returns the kind and the reason of the answer on one line.
func (a *Answer) String() string {
	s := a.Kind.String()
	if a.Reason != "" {
		s += " (" + a.Reason + ")"
	}
	return s
}
