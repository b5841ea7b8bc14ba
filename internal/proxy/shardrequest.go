package proxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
)

// A shardRequest is the part of a request for one shard, or the whole request if
// its route has no shards. It is sent to one upstream of the service first, and to
// others as retries or hedges.
//
// It is on time while it can still meet the latency objective of its route, and
// late afterwards. Late shard requests yield to those that are on time.
type shardRequest struct {
	proxy     *Proxy
	group     *group
	request   *Request
	stats     *latencyStats
	trace     *trace
	shard     int             // number of the shard; 0 if the route has no shards
	answerBy  time.Time       // when the answer is to leave
	sendBy    time.Time       // it is on time if it is sent by then, and late otherwise
	queueLate bool            // once late, it goes on waiting behind those on time instead of failing
	startLate bool            // it counts as late from the start
	done      <-chan struct{} // closed when the caller's request has been answered
	outcomes  chan<- outcome  // receives the only outcome

	firstSend atomic.Pointer[sendRecord] // first attempt; nil while the request waits in the queue

	tried          []*upstream        // upstreams that an attempt was made to; excluded from further ones
	runs           int                // upstreams on which the request may have run or may still run
	sends          int                // attempts sent, without those that turned out as Unsent
	inFlight       int                // attempts without a result
	cancelAttempts context.CancelFunc // ends the attempts in flight
	results        chan attemptResult // of attempts in flight
	failure        client.Reply       // reply to report if no attempt succeeds; zero before the first failure
	overBudget     bool               // the budget has denied an attempt
}

// An attemptResult is the result of one attempt.
type attemptResult struct {
	upstream *upstream
	reply    client.Reply
	charged  bool // the attempt was charged to the budget
}

// A sendRecord says when and where a shard request was sent.
type sendRecord struct {
	at       time.Time
	upstream string // ID
}

// progress describes a shard request without an outcome, for the log.
func (r *shardRequest) progress(now time.Time) string {
	s := r.firstSend.Load()
	if s == nil {
		return "in the queue"
	}
	return fmt.Sprintf("sent to %s %d ms ago", s.upstream, now.Sub(s.at).Milliseconds())
}

// An outcome is the final result of a shard request.
type outcome struct {
	shard  int          // number of the shard
	reply  client.Reply // Unsent if no attempt was sent
	sends  int          // attempts sent
	reason string       // why there is no success; empty on success
}

// An attempt sends a shard request to one upstream, once.
type attempt struct {
	shardRequest *shardRequest
	upstream     *upstream
	started      time.Time
	admission    admission // under the rate limits of the upstream; its done is called once the result is known
	charged      bool      // it is charged to the budget for retries and hedges
}

// run sends the shard request and delivers the result.
func (a *attempt) run(ctx context.Context) {
	re := a.upstream.send(ctx, a.shardRequest.request, a.shardRequest.stats, a.started)
	a.admission.done(re.SentAt)
	a.shardRequest.results <- attemptResult{upstream: a.upstream, reply: re, charged: a.charged}
}

// maxSends is the most attempts of one shard request, including refused ones.
const maxSends = 6

// run executes the shard request and delivers its outcome.
func (r *shardRequest) run(ctx context.Context) {
	r.results = make(chan attemptResult, maxSends)
	ctx, r.cancelAttempts = context.WithCancel(ctx)
	r.outcomes <- r.do(ctx)
}

// do sends attempts until one succeeds, no further one is allowed, or the request
// is over.
func (r *shardRequest) do(ctx context.Context) outcome {
	r.group.budget.CountFirst(time.Now())
	if reason := r.sendFirst(ctx); reason != "" {
		return r.outcome(client.Reply{Result: client.Unsent}, reason)
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case res := <-r.results:
			r.inFlight--
			if r.handle(res) {
				return r.outcome(res.reply, "")
			}
			if r.inFlight == 0 && r.sends == 0 {
				// Nothing was sent: another request took the connection,
				// or no connection could be opened.
				r.tried = nil
				if reason := r.sendFirst(ctx); reason != "" {
					return r.outcome(client.Reply{Result: client.Unsent}, reason)
				}
				continue
			}
			if r.retry(ctx, res) || r.inFlight > 0 {
				continue
			}
			if !r.canRetryLater(res) {
				return r.outcome(r.failure, r.failure.Result.String())
			}
			hedge.Reset(hedgeRecheck)
		case <-hedge.C:
			if r.inFlight == 0 && time.Now().After(r.sendBy) {
				return r.outcome(r.failure, r.failure.Result.String())
			}
			if r.request.Route.Idempotent || r.inFlight == 0 {
				hedge.Reset(r.hedge(ctx))
			}
		case <-r.done:
			if r.group.queue.hasOnTime() {
				// The upstream may drop what it has not begun, for those
				// that wait. Otherwise the connection is worth more.
				r.cancelAttempts()
			}
			return r.outcome(r.failure, "answered")
		case <-ctx.Done():
			return r.finishCanceled(ctx)
		}
	}
}

// finishCanceled returns the outcome after the context is done. The attempts in
// flight end with the context, but one that has just succeeded still counts.
func (r *shardRequest) finishCanceled(ctx context.Context) outcome {
	for ; r.inFlight > 0; r.inFlight-- {
		if res := <-r.results; r.handle(res) {
			return r.outcome(res.reply, "")
		}
	}
	return r.outcome(client.Reply{Result: client.Unknown, Err: ctx.Err()}, "deadline")
}

func (r *shardRequest) outcome(re client.Reply, reason string) outcome {
	return outcome{shard: r.shard, reply: re, sends: r.sends, reason: reason}
}

// sendFirst sends the first attempt. If no upstream can take it, sendFirst waits in
// the queue as long as that may help. It returns why it sent nothing, or "".
func (r *shardRequest) sendFirst(ctx context.Context) string {
	if now := time.Now(); !r.group.queue.hasOnTime() && r.trySend(ctx, now) {
		return ""
	}
	for {
		late := r.startLate || time.Now().After(r.sendBy)
		w := r.group.queue.enqueue(late, r.request.Route.Priority)
		now := time.Now()
		if (!late || !r.group.queue.hasOnTime()) && r.trySend(ctx, now) {
			r.group.queue.dequeue(w, true)
			return ""
		}
		wait, reason := r.queueWait(now, late)
		if wait <= 0 {
			r.group.queue.dequeue(w, false)
			return reason
		}
		woken, ended := r.awaitTurn(ctx, w, wait)
		sent := woken && r.trySend(ctx, time.Now())
		r.group.queue.dequeue(w, sent)
		switch {
		case sent:
			return ""
		case ended:
			return "deadline"
		}
	}
}

// trySend sends an attempt and reports true, or reports false if no upstream can
// take it now.
func (r *shardRequest) trySend(ctx context.Context, now time.Time) bool {
	late := r.queueLate && (r.startLate || now.After(r.sendBy)) && now.Before(r.request.promoteAt())
	u := r.proxy.acquire(r.group, &criteria{request: r.request, stats: r.stats, late: late}, now)
	if u == nil {
		return false
	}
	admission, ok := u.admit(now)
	if !ok {
		u.replica.End(now)
		return false
	}
	r.send(ctx, &attempt{shardRequest: r, upstream: u, started: now, admission: admission})
	return true
}

// lateRecheck is how long a late request waits in the queue before it tries again
// without having been woken.
const lateRecheck = 200 * time.Millisecond

// queueWait returns how long to wait for an upstream in the queue. If waiting cannot
// help, the time is 0 or less, and the text says why.
func (r *shardRequest) queueWait(now time.Time, late bool) (time.Duration, string) {
	c := &criteria{request: r.request, stats: r.stats}
	switch r.proxy.availability(r.group, c, now) {
	case availNone:
		return 0, "no upstream"
	case availProbing:
		return probeWait, ""
	case availBusy:
	}
	if now.Add(r.proxy.rateLimitWait(r.group, c, now)).After(r.latestSend()) {
		return 0, "rate limit"
	}
	r.group.wakeWhenAdmitted(r.proxy, c, now)
	if late && r.queueLate {
		return lateRecheck, ""
	}
	return r.sendBy.Sub(now), "busy"
}

// latestSend returns until when the request may wait in the queue.
func (r *shardRequest) latestSend() time.Time {
	if r.queueLate {
		return r.request.Deadline
	}
	return r.sendBy
}

// awaitTurn waits until w is woken, the request has ended, or the wait has passed.
// It reports whether w was woken, and whether the request has ended.
func (r *shardRequest) awaitTurn(ctx context.Context, w *waiter, wait time.Duration) (woken, ended bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
		return true, false
	case <-timer.C:
		return false, false
	case <-r.done:
	case <-ctx.Done():
	}
	return false, true
}

// send starts an attempt whose upstream was returned by acquire.
func (r *shardRequest) send(ctx context.Context, a *attempt) {
	r.firstSend.CompareAndSwap(nil, &sendRecord{at: a.started, upstream: a.upstream.info.ID})
	r.tried = append(r.tried, a.upstream)
	r.runs++
	r.sends++
	r.inFlight++
	go a.run(ctx)
}

// handle records the result of an attempt, and reports whether it was a success.
func (r *shardRequest) handle(res attemptResult) bool {
	if res.reply.Result != client.Succeeded || res.charged || len(r.tried) > 1 {
		// The plain success of a first attempt is not worth a trace step.
		r.trace.addResult(r.shard, res)
	}
	switch res.reply.Result {
	case client.Succeeded:
		return true
	case client.Unsent:
		r.sends--
		r.runs--
		if res.charged {
			r.group.budget.Return(time.Now())
		}
		if r.failure.Result == client.Unsent {
			r.failure = res.reply
		}
		return false
	case client.Refused, client.Moved:
		r.runs--
	case client.Failed, client.Unknown:
	}
	// A failure that may have run takes precedence over one that surely did not.
	if r.failure.Result != client.Failed && r.failure.Result != client.Unknown || res.reply.Result == client.Failed {
		r.failure = res.reply
	}
	return false
}
