package flow

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/merge"
)

// A gather collects the parts of one request's answer.
type gather struct {
	request *Request
	least   int // parts in an answer, at the least
	open    int // shards without an outcome
	sends   int
	parts   [][]byte
	proofs  []string
	seen    []bool   // shards with an outcome
	missing []string // why shards are missing
}

// leastParts returns how many of n shards make up a share.
func leastParts(n int, share float64) int {
	// A share of 0.7 of ten shards is seven, whatever the rounding of 0.7.
	const rounding = 1e-9
	return max(int(math.Ceil(share*float64(n)-rounding)), 1)
}

// gather asks all shards of a route and merges their parts. The answer leaves
// when all parts are in or those that are out can't come in time; a part is
// waited for past the objective only while there are too few.
func (f *Flow) gather(ctx context.Context, q *Request, tr *trace, done <-chan struct{}) Answer {
	n := len(q.Route.Shards)
	g := &gather{request: q, least: leastParts(n, q.Route.MinCoverage), open: n, seen: make([]bool, n)}
	if reachable := f.reachable(q); reachable < g.least {
		return Answer{Kind: Refused, Again: againDown, Reason: fmt.Sprintf("%d of %d shards reachable", reachable, n)}
	}
	st := f.stat(q.Route.Name)
	b := f.backlog(q)
	if n-b.hopeless < g.least {
		return Answer{Kind: Refused, Again: min(max(b.longest, againBusy), againFull), Reason: fmt.Sprintf("%d of %d shards have no room for %d ms", b.hopeless, n, b.longest.Milliseconds())}
	}
	out := make(chan outcome, n)
	var aim time.Time
	for i, service := range q.Route.Shards {
		l := f.leg(q, st, tr, service, out, done)
		l.index = i
		l.patient = l.aim.Add(-2 * st.typical())
		l.stays = true
		l.behind = n-b.late < g.least
		aim = l.aim
		go l.run(ctx)
	}
	timer := time.NewTimer(time.Until(aim))
	defer timer.Stop()
	late := false
	for g.open > 0 && g.possible() {
		select {
		case o := <-out:
			g.take(o)
		case <-timer.C:
			late = true
		case <-ctx.Done():
			return g.end(Late)
		}
		if late && len(g.parts) >= g.least {
			break
		}
	}
	return g.end(Lost)
}

// A backlog is what waits at a request's shards, as far as it matters to the request.
type backlog struct {
	late     int           // shards whose part could not be in time
	hopeless int           // shards whose part would take most of the time that the caller has
	longest  time.Duration // wait in a line
}

// backlog looks at the lines of a request's shards. Each shard on its own would
// make another part of the requests late; then most answers would wait for one
// shard or another, and the work on the others would be lost. So it is decided
// once, for all parts of a request.
func (f *Flow) backlog(q *Request) backlog {
	now := time.Now()
	intime := time.Duration(waitShare * float64(goal(q.Route)))
	most := time.Duration(lateShare * float64(q.Due.Sub(now)))
	var b backlog
	for _, service := range q.Route.Shards {
		fresh, late := f.group(service).line.wait(q.Route.Priority, now)
		b.longest = max(b.longest, fresh)
		if fresh > intime {
			b.late++
		}
		if fresh > intime && late > most {
			b.hopeless++
		}
	}
	return b
}

// reachable counts the shards that have a replica in use, or one that may be
// back in a moment.
func (f *Flow) reachable(q *Request) int {
	n := 0
	now := time.Now()
	c := &choice{request: q}
	for _, service := range q.Route.Shards {
		if f.hope(f.group(service), c, now) != none {
			n++
		}
	}
	return n
}

// possible reports whether there can still be enough parts.
func (g *gather) possible() bool {
	return len(g.parts)+g.open >= g.least
}

// take takes in the outcome of one shard.
func (g *gather) take(o outcome) {
	g.open--
	g.seen[o.index] = true
	g.sends += o.sends
	if o.reply.Result != link.Whole {
		g.missing = append(g.missing, fmt.Sprintf("%d: %s", o.index, o.why))
		return
	}
	if slices.Contains(g.proofs, o.reply.Proof) {
		// Two shards can't have given the same proof: one of them is wrong.
		g.missing = append(g.missing, fmt.Sprintf("%d: proof seen before", o.index))
		return
	}
	g.parts = append(g.parts, o.reply.Body)
	g.proofs = append(g.proofs, o.reply.Proof)
}

// end makes the answer of the parts that are in.
func (g *gather) end(failure Kind) Answer {
	n := len(g.request.Route.Shards)
	reason := ""
	if len(g.parts) < n {
		for i, seen := range g.seen {
			if !seen {
				g.missing = append(g.missing, fmt.Sprintf("%d: open", i))
			}
		}
		reason = fmt.Sprintf("%d of %d shards, without %v", len(g.parts), n, g.missing)
	}
	if len(g.parts) < g.least {
		if g.open == 0 && g.sends == 0 {
			return Answer{Kind: Refused, Again: againBusy, Reason: reason}
		}
		return Answer{Kind: failure, Again: againBusy, Reason: reason}
	}
	return Answer{
		Kind:   Served,
		Status: http.StatusOK,
		Body:   merge.Greatest(g.parts, g.request.Route.TopK),
		Proofs: g.proofs,
		Missed: n - len(g.parts),
		Reason: reason,
	}
}
