package proxy

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/merge"
)

// A collector collects the replies to the shard requests of one request.
type collector struct {
	request  *Request
	minParts int             // fewest parts for a successful answer
	pending  int             // shards without an outcome yet
	sends    int             // attempts sent for all shards
	parts    [][]byte        // reply bodies, one for each shard that answered
	proofs   []string        // proofs of these replies
	requests []*shardRequest // by shard
	resolved []bool          // shards with an outcome
	missing  []string        // shards without a part, each with a reason
}

// minPartsFor returns how many of n shards make up the fraction; at least 1.
func minPartsFor(n int, fraction float64) int {
	// The tolerance keeps 0.7 of ten shards at seven, although 0.7 is not exact.
	const rounding = 1e-9
	return max(int(math.Ceil(fraction*float64(n)-rounding)), 1)
}

// gather sends a shard request to each shard of the route and merges the replies.
// It returns once every shard has an outcome, once too many shards have failed, or
// at the answer time derived from the latency objective if there are enough parts
// by then. After that time it waits only until there are enough parts.
func (p *Proxy) gather(ctx context.Context, q *Request, tr *trace, done <-chan struct{}) Answer {
	n := len(q.Route.Shards)
	c := &collector{request: q, minParts: minPartsFor(n, q.Route.MinCoverage), pending: n, resolved: make([]bool, n)}
	if reachable := p.reachable(q); reachable < c.minParts {
		return Answer{Kind: Refused, RetryAfter: retryAfterDown, Reason: fmt.Sprintf("%d of %d shards reachable", reachable, n)}
	}
	stats := p.routeStats(q.Route.Name)
	b := p.backlog(q)
	if n-b.overloaded < c.minParts {
		return Answer{
			Kind:       Refused,
			RetryAfter: max(min(max(b.longestWait, retryAfterBusy), retryAfterFull), b.rateLimitWait),
			Reason:     fmt.Sprintf("%d of %d shards overloaded, queue wait %d ms, rate limit wait %d ms", b.overloaded, n, b.longestWait.Milliseconds(), b.rateLimitWait.Milliseconds()),
		}
	}
	outcomes := make(chan outcome, n)
	var answerBy time.Time
	for i, service := range q.Route.Shards {
		r := p.newShardRequest(q, stats, tr, service, outcomes, done)
		r.shard = i
		r.sendBy = r.answerBy.Add(-2 * stats.typical())
		r.queueLate = true
		r.startLate = n-b.late < c.minParts
		answerBy = r.answerBy
		c.requests = append(c.requests, r)
		go r.run(ctx)
	}
	timer := time.NewTimer(time.Until(answerBy))
	defer timer.Stop()
	late := false
	for c.pending > 0 && c.feasible() {
		select {
		case o := <-outcomes:
			c.add(o)
		case <-timer.C:
			late = true
		case <-ctx.Done():
			return c.answer(TimedOut)
		}
		if late && len(c.parts) >= c.minParts {
			break
		}
	}
	return c.answer(Lost)
}

// A backlog summarizes the expected queue waits of a request at all its shards.
type backlog struct {
	late        int           // shards at which the request could not be on time
	overloaded  int           // of these, shards at which it would wait too long even as a late request
	longestWait time.Duration // longest expected wait of an on-time request in a queue
	// rateLimitWait is the longest wait because all upstreams of a shard state rate
	// limits.
	rateLimitWait time.Duration
}

// backlog estimates the waits in the queues of all shards of a request, so that
// one decision holds for all its shard requests. If each shard decided on its own,
// each would delay different requests. Most answers would then wait for one shard
// or another, and the work of the other shards would be wasted.
func (p *Proxy) backlog(q *Request) backlog {
	now := time.Now()
	maxOnTime := time.Duration(maxOnTimeShare * float64(latencyObjective(q.Route)))
	maxLate := time.Duration(maxLateShare * float64(q.Deadline.Sub(now)))
	var b backlog
	c := &criteria{request: q}
	for _, service := range q.Route.Shards {
		g := p.group(service)
		onTime, late := g.queue.expectedWait(q.Route.Priority, now)
		limited := p.rateLimitWait(g, c, now)
		b.longestWait = max(b.longestWait, onTime)
		b.rateLimitWait = max(b.rateLimitWait, limited)
		if max(onTime, limited) > maxOnTime {
			b.late++
		}
		// A late request would only take the turn of one that can be on time.
		if onTime > maxOnTime && late > maxLate || limited > maxOnTime {
			b.overloaded++
		}
	}
	return b
}

// reachable counts the shards that have an upstream in rotation, or one that is
// being probed and may be back shortly.
func (p *Proxy) reachable(q *Request) int {
	n := 0
	now := time.Now()
	c := &criteria{request: q}
	for _, service := range q.Route.Shards {
		if p.availability(p.group(service), c, now) != availNone {
			n++
		}
	}
	return n
}

// feasible reports whether there can still be enough parts.
func (c *collector) feasible() bool {
	return len(c.parts)+c.pending >= c.minParts
}

// add records the outcome of one shard.
func (c *collector) add(o outcome) {
	c.pending--
	c.resolved[o.shard] = true
	c.sends += o.sends
	if o.reply.Result != client.Succeeded {
		c.missing = append(c.missing, fmt.Sprintf("%d: %s", o.shard, o.reason))
		return
	}
	if slices.Contains(c.proofs, o.reply.Proof) {
		// Proofs are unique to a shard, so one of the two replies is wrong.
		c.missing = append(c.missing, fmt.Sprintf("%d: duplicate proof", o.shard))
		return
	}
	c.parts = append(c.parts, o.reply.Body)
	c.proofs = append(c.proofs, o.reply.Proof)
}

// answer merges the collected parts into an answer. With too few parts the kind is
// Refused if nothing was sent to any shard, or else failure.
func (c *collector) answer(failure Kind) Answer {
	n := len(c.request.Route.Shards)
	reason := ""
	if len(c.parts) < n {
		now := time.Now()
		for i, resolved := range c.resolved {
			if !resolved {
				c.missing = append(c.missing, fmt.Sprintf("%d: %s", i, c.requests[i].progress(now)))
			}
		}
		reason = fmt.Sprintf("%d of %d shards, missing %v", len(c.parts), n, c.missing)
	}
	if len(c.parts) < c.minParts {
		if c.pending == 0 && c.sends == 0 {
			return Answer{Kind: Refused, RetryAfter: retryAfterBusy, Reason: reason}
		}
		return Answer{Kind: failure, RetryAfter: retryAfterBusy, Reason: reason}
	}
	return Answer{
		Kind:          Served,
		Status:        http.StatusOK,
		Body:          merge.Greatest(c.parts, c.request.Route.TopK),
		Proofs:        c.proofs,
		MissingShards: n - len(c.parts),
		Reason:        reason,
	}
}
