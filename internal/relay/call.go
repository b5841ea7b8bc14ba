package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/search"
)

// A call asks one shard for one part, with retries and hedges.
type call struct {
	shard    *shard
	selector *object.Selector
	part     search.ShardRequest
	results  chan result
	work     *tally // of the relay: attempts that are still in the air
	due      time.Time

	tried []string // addresses that were sent to
	sent  int      // requests sent
	air   int      // requests in the air
	from  []*upstr // one for each request, in the order of sending
	last  error    // most telling error so far
}

// A result is what came of one attempt.
type result struct {
	index int // into call.from
	reply search.Reply
	err   error
}

// An attempt is one request of a call.
type attempt struct {
	call  *call
	index int
	up    *upstr
}

// run sends the request and hands in the result. It outlives the call when
// another attempt was faster.
func (a *attempt) run(ctx context.Context, done context.CancelFunc) {
	defer a.call.work.Done()
	defer done()
	re, err := a.call.shard.send(ctx, a.up, search.PathQuery, &a.call.part)
	a.call.results <- result{index: a.index, reply: re, err: err}
}

// do returns the shard's reply, or the most telling error, before ctx ends.
func (c *call) do(ctx context.Context) (search.Reply, error) {
	c.results = make(chan result, c.selector.Tries+1)
	c.due, _ = ctx.Deadline()
	b := c.shard.policy.of(c.selector.Caller)
	b.earn(c.selector.Hedge)
	up, err := c.shard.take(ctx, c.want())
	if err != nil {
		return search.Reply{}, err
	}
	c.begin(ctx, up)
	timer := time.NewTimer(c.shard.quant.Value())
	defer timer.Stop()
	for {
		select {
		case r := <-c.results:
			if r.err == nil {
				return r.reply, nil
			}
			if !c.again(ctx, b, r) {
				return search.Reply{}, c.last
			}
		case <-timer.C:
			if !c.hedge(ctx, b) {
				// Those that are merely late are done by the next look, so
				// that what the budget earns goes to the slowest.
				timer.Reset(c.shard.quant.Value() / 2)
			}
		case <-ctx.Done():
			return search.Reply{}, &search.Error{Cause: search.CauseDeadline, Err: ctx.Err()}
		}
	}
}

func (c *call) want() *want {
	return &want{
		class:   c.selector.Caller,
		pick:    c.selector.Pick,
		version: c.part.Snapshot.Version,
		avoid:   c.tried,
	}
}

// begin sends one request to a replica that was taken.
func (c *call) begin(ctx context.Context, up *upstr) {
	c.tried = append(slices.Clone(c.tried), up.address)
	c.from = append(c.from, up)
	c.sent++
	c.air++
	if !c.shard.policy.Cancel {
		// A slower request is let finish, which keeps its connection.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, done := context.WithDeadline(ctx, c.due)
	a := &attempt{call: c, index: len(c.from) - 1, up: up}
	c.work.Add()
	go a.run(ctx, done)
}

// hedge sends one more request if the class has a budget for it and another
// replica is free now. It reports false when a later look may do better.
func (c *call) hedge(ctx context.Context, b *budgets) bool {
	if c.shard.policy.NoHedge || c.sent >= c.selector.Tries {
		return true
	}
	up := c.shard.takeNow(c.want())
	if up == nil {
		return false
	}
	if !b.hedge.Spend() {
		c.shard.release(up)
		return false
	}
	c.begin(ctx, up)
	return true
}

// again takes in a failed attempt, and reports whether an answer may still come.
func (c *call) again(ctx context.Context, b *budgets, r result) bool {
	c.air--
	c.note(r.err)
	if unsent(r.err) {
		// Nothing reached the upstream, so nothing counts against the budgets.
		c.sent--
	}
	if ctx.Err() != nil || c.sent >= c.selector.Tries || len(c.from) > 2*c.selector.Tries {
		return c.air > 0
	}
	if !unsent(r.err) && !c.shard.policy.NoLimit && !b.retry.Spend() {
		return c.air > 0
	}
	if c.air > 0 {
		if up := c.shard.takeNow(c.want()); up != nil {
			c.begin(ctx, up)
		}
		return true
	}
	up, err := c.shard.take(ctx, c.want())
	if err != nil && unwaited(err) && retryable(c.last) {
		// Every replica has been tried: start over.
		c.tried = nil
		up, err = c.shard.take(ctx, c.want())
	}
	if err != nil {
		return false
	}
	c.begin(ctx, up)
	return true
}

// note keeps the error that tells a caller most.
func (c *call) note(err error) {
	if c.last == nil || unsent(c.last) || !unsent(err) {
		c.last = err
	}
}

func unsent(err error) bool {
	var e *search.Error
	return errors.As(err, &e) && (e.Cause == search.CauseDial || e.Cause == search.CauseCold)
}

// unwaited reports whether a replica was refused without a wait.
func unwaited(err error) bool {
	return err == errNone || err == errMoved || err == errCold || err == errVersion
}

// retryable reports whether the same replica may do better the next time.
func retryable(err error) bool {
	switch search.CauseOf(err) {
	case search.CauseVersion, search.CausePartial, search.CauseRefused, search.CauseNoReplica:
		return false
	}
	return true
}
