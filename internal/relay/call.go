package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/search"
)

// A call sends one shard request, with retries and hedges.
type call struct {
	shard    *shard
	selector *object.Selector
	req      search.ShardRequest
	results  chan result
	wg       *waitGroup // of the relay: attempts in flight
	deadline time.Time

	tried     []string    // addresses of replicas that have been tried
	sent      int         // attempts, less those that sent nothing
	inFlight  int         // attempts in flight
	upstreams []*upstream // upstream of each attempt, in the order of starting
	bestErr   error       // most informative error so far
}

// A result is the result of one attempt.
type result struct {
	index int // index in call.upstreams
	reply search.Reply
	err   error
}

// An attempt is one send of a call to one upstream.
type attempt struct {
	call  *call
	index int
	up    *upstream
}

// run sends the request and delivers the result to the call. It may outlive the
// call if another attempt was faster.
func (a *attempt) run(ctx context.Context, cancel context.CancelFunc) {
	defer a.call.wg.Done()
	defer cancel()
	re, err := a.call.shard.send(ctx, a.up, search.PathShard, &a.call.req)
	a.call.results <- result{index: a.index, reply: re, err: err}
}

// do sends the request and returns the first good reply, or the most informative
// error once no attempt is in flight and none may follow. It returns when ctx ends.
func (c *call) do(ctx context.Context) (search.Reply, error) {
	c.results = make(chan result, c.selector.MaxAttempts+1)
	c.deadline, _ = ctx.Deadline()
	b := c.shard.policy.forClass(c.selector.Caller)
	b.add(c.selector.HedgePercent)
	up, err := c.shard.acquire(ctx, c.criteria())
	if err != nil {
		return search.Reply{}, err
	}
	c.start(ctx, up)
	timer := time.NewTimer(c.shard.hedgeDelay.Value())
	defer timer.Stop()
	for {
		select {
		case r := <-c.results:
			if r.err == nil {
				return r.reply, nil
			}
			if !c.handleFailure(ctx, b, r) {
				return search.Reply{}, c.bestErr
			}
		case <-timer.C:
			if !c.tryHedge(ctx, b) {
				// By the next check, requests that are only a little late are
				// done, so the budget is spent on the slowest.
				timer.Reset(c.shard.hedgeDelay.Value() / 2)
			}
		case <-ctx.Done():
			return search.Reply{}, &search.Error{Cause: search.CauseDeadline, Err: ctx.Err()}
		}
	}
}

// criteria returns what the next attempt needs of a replica.
func (c *call) criteria() *criteria {
	return &criteria{
		class:   c.selector.Caller,
		labels:  c.selector.MatchLabels,
		version: c.req.Snapshot.Version,
		exclude: c.tried,
	}
}

// start starts an attempt at a replica that has been acquired.
func (c *call) start(ctx context.Context, up *upstream) {
	c.tried = append(slices.Clone(c.tried), up.address)
	c.upstreams = append(c.upstreams, up)
	c.sent++
	c.inFlight++
	if !c.shard.policy.CancelSlower {
		// The slower attempt finishes after the call, so its connection stays usable.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	a := &attempt{call: c, index: len(c.upstreams) - 1, up: up}
	c.wg.Add()
	go a.run(ctx, cancel)
}

// tryHedge starts one more attempt if another replica is free now and the class
// has a hedge in its budget. It reports false if a later try may succeed.
func (c *call) tryHedge(ctx context.Context, b *budgets) bool {
	if c.shard.policy.NoHedge || c.sent >= c.selector.MaxAttempts {
		return true
	}
	up := c.shard.tryAcquire(c.criteria())
	if up == nil {
		return false
	}
	if !b.hedge.Take() {
		c.shard.release(up)
		return false
	}
	c.start(ctx, up)
	return true
}

// handleFailure records a failed attempt and retries if the limits allow it. It
// reports whether an attempt is in flight afterwards.
func (c *call) handleFailure(ctx context.Context, b *budgets, r result) bool {
	c.inFlight--
	c.recordErr(r.err)
	if notSent(r.err) {
		// Nothing was sent, so the attempt does not count.
		c.sent--
	}
	if ctx.Err() != nil || c.sent >= c.selector.MaxAttempts || len(c.upstreams) > 2*c.selector.MaxAttempts {
		return c.inFlight > 0
	}
	if !notSent(r.err) && !c.shard.policy.UnlimitedRetries && !b.retry.Take() {
		return c.inFlight > 0
	}
	if c.inFlight > 0 {
		if up := c.shard.tryAcquire(c.criteria()); up != nil {
			c.start(ctx, up)
		}
		return true
	}
	up, err := c.shard.acquire(ctx, c.criteria())
	if err != nil && noReplica(err) && retryable(c.bestErr) {
		// Every usable replica has been tried: try them again.
		c.tried = nil
		up, err = c.shard.acquire(ctx, c.criteria())
	}
	if err != nil {
		return false
	}
	c.start(ctx, up)
	return true
}

// recordErr keeps the most informative error: the latest one, but one of an
// attempt that sent something goes before those that sent nothing.
func (c *call) recordErr(err error) {
	if c.bestErr == nil || notSent(c.bestErr) || !notSent(err) {
		c.bestErr = err
	}
}

// notSent reports whether err means that nothing was sent to the upstream.
func notSent(err error) bool {
	var e *search.Error
	return errors.As(err, &e) && (e.Cause == search.CauseDial || e.Cause == search.CauseCold)
}

// noReplica reports whether acquire failed at once, because no replica becomes
// usable by waiting.
func noReplica(err error) bool {
	return err == errNoReplica || err == errNoPermits || err == errCold || err == errVersion
}

// retryable reports whether a second attempt at the same replica may succeed.
func retryable(err error) bool {
	switch search.CauseOf(err) {
	case search.CauseVersion, search.CausePartial, search.CauseRefused, search.CauseNoReplica:
		return false
	}
	return true
}
