package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Limits on the requests to the holders of one cell.
const (
	maxHolders     = 3                     // holders asked in one round
	maxCellRounds  = 4                     // rounds, while permits are moving or upstreams are cold
	cellRoundPause = 20 * time.Millisecond // before the second round, then doubled
)

// errNotHeld says that a daemon holds no permits of the cell.
var errNotHeld = errors.New("the daemon holds no permits of the cell")

// A cellQuery gets one cell's part of a query. It asks one holder, and another one if
// the first is slow, fails, or misses shards.
type cellQuery struct {
	fanOut *fanOut
	cell   *conf.Cell

	tried     []string // identities of the holders asked in this round
	results   chan holderResult
	inFlight  int      // requests to holders
	wanted    []uint32 // shards still missing; nil for all
	transient bool     // another round may get the missing shards
}

// A holderResult is the result of one request to one holder.
type holderResult struct {
	holder string
	reply  *wire.SearchReply
	err    error
}

// A holderRequest is one request to one holder.
type holderRequest struct {
	query  *cellQuery
	holder string
	shards []uint32 // nil for all of the cell
}

// run sends the request and passes on the result. It may outlive the query if
// another holder was faster; the buffer of results has room for all.
func (h *holderRequest) run(ctx context.Context) {
	e := h.query.fanOut.entry
	start := time.Now()
	e.Balancer.Begin(h.holder)
	reply, err := e.CellsClient(h.holder).Search(ctx, h.query.newRequest(ctx, h.shards))
	if err == nil {
		err = h.query.checkReply(reply)
	}
	now := time.Now()
	// The holder is not at fault if the request was canceled.
	ok := err == nil || errors.Is(ctx.Err(), context.Canceled)
	e.Balancer.End(h.holder, now.Sub(start), ok, now)
	if err == nil {
		e.Metrics.hedgeDelay.Add(now.Sub(start))
	}
	h.query.results <- holderResult{holder: h.holder, reply: reply, err: err}
}

// run asks holders in up to maxCellRounds rounds. It ends earlier if the cell is
// complete, ctx ends, or another round can't help.
func (c *cellQuery) run(ctx context.Context) {
	defer c.finish()
	c.results = make(chan holderResult, maxHolders*maxCellRounds)
	pause := cellRoundPause
	for range maxCellRounds {
		c.tried = nil
		c.transient = false
		if c.runRound(ctx) || !c.transient {
			return
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		pause *= 2
	}
}

// runRound asks one holder after the other, and a second one at the same time as a
// hedge. It reports whether the cell is complete or ctx has ended.
func (c *cellQuery) runRound(ctx context.Context) bool {
	if !c.askNext(ctx) {
		c.transient = true
		return ctx.Err() != nil
	}
	hedgeTimer := time.NewTimer(c.fanOut.entry.Metrics.hedgeDelay.Value())
	defer hedgeTimer.Stop()
	for c.inFlight > 0 {
		select {
		case r := <-c.results:
			c.inFlight--
			if c.handleResult(r) {
				return true
			}
			c.askNext(ctx)
		case <-hedgeTimer.C:
			c.sendHedge(ctx)
		case <-ctx.Done():
			return true
		}
	}
	return false
}

func (c *cellQuery) finish() {
	c.fanOut.cellDone <- struct{}{}
}

// askNext sends a request to the next holder. It reports false if there is none
// left, maxHolders were asked, or ctx has ended.
func (c *cellQuery) askNext(ctx context.Context) bool {
	e := c.fanOut.entry
	if len(c.tried) >= maxHolders || ctx.Err() != nil {
		return false
	}
	holder := e.Balancer.Pick(c.cell, e.Self, c.tried, time.Now())
	if holder == "" {
		return false
	}
	c.tried = append(c.tried, holder)
	c.inFlight++
	h := &holderRequest{query: c, holder: holder, shards: c.wanted}
	go h.run(ctx)
	return true
}

// sendHedge asks a second holder if one request is in flight and the hedge budget of
// the caller class allows it.
func (c *cellQuery) sendHedge(ctx context.Context) {
	m := c.fanOut.entry.Metrics
	if c.inFlight != 1 || !m.hedgeBudget(c.fanOut.admission.selector.Caller).Take() {
		return
	}
	c.askNext(ctx)
}

// handleResult passes a reply on to the fan-out and sets wanted to the shards that it
// misses. It reports whether no other holder could return more shards of this
// snapshot.
func (c *cellQuery) handleResult(r holderResult) bool {
	if r.err != nil {
		c.transient = c.transient || errors.Is(r.err, errNotHeld)
		return false
	}
	e := c.fanOut.entry
	e.Versions.Record(c.cell.Name, r.reply.Newest, time.Now())
	c.fanOut.replies <- r.reply
	c.wanted = nil
	complete := true
	for _, m := range r.reply.Misses {
		c.wanted = append(c.wanted, m.Shard)
		switch search.Cause(m.Reason) {
		case search.CauseCold, search.CauseNoPermits, search.CauseReset, search.CauseTruncated, search.CauseDial:
			c.transient = true
			complete = false
		case search.CauseVersion, search.CauseNoReplica:
		default:
			complete = false
		}
	}
	return complete
}

func (c *cellQuery) newRequest(ctx context.Context, shards []uint32) *wire.SearchRequest {
	f := c.fanOut
	req := &wire.SearchRequest{
		Request:  f.admission.id,
		Class:    f.admission.selector.Caller,
		Service:  f.layout.Service,
		Snapshot: &wire.Snapshot{Layout: uint32(f.snapshot.Layout), Version: f.snapshot.Version},
		Group:    uint32(c.cell.Group),
		Text:     f.request.Text,
		Top:      uint32(f.request.Top),
		Only:     shards,
		Revision: f.entry.Config.Revision(),
	}
	if a := f.request.After; a != nil {
		req.AfterId, req.AfterScore = a.ID, a.Score
	}
	req.Remaining = remainingMicros(ctx)
	return req
}

// remainingMicros returns the time until the deadline of ctx in microseconds, or a
// minute if there is no deadline.
func remainingMicros(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return uint64(time.Minute / time.Microsecond)
	}
	return uint64(max(time.Until(deadline), 0) / time.Microsecond)
}

// checkReply returns an error unless the reply belongs to the request: errNotHeld if
// the daemon holds no permits of the cell.
func (c *cellQuery) checkReply(reply *wire.SearchReply) error {
	switch {
	case reply.Absent:
		return errNotHeld
	case reply.Request != c.fanOut.admission.id || int(reply.Group) != c.cell.Group:
		return fault.New("cell", "", "reply is for request %q and group %d", reply.Request, reply.Group)
	case int(reply.Snapshot.GetLayout()) != c.fanOut.snapshot.Layout || reply.Snapshot.GetVersion() != c.fanOut.snapshot.Version:
		return fault.New("cell", "", "reply is for another snapshot")
	}
	for _, n := range reply.Merged {
		if int(n) < c.cell.FirstShard || int(n) >= c.cell.FirstShard+len(c.cell.Shards) {
			return fault.New("cell", "", "reply has shard %d, which is not of the cell", n)
		}
	}
	return nil
}

// Durations that concern the refresh of cells' versions.
const (
	refreshInterval = 500 * time.Millisecond // between two checks for unknown or stale versions
	refreshMaxAge   = 30 * time.Second       // age at which versions are stale
	refreshTimeout  = time.Second            // for one cell
)

// loop asks for the versions that cells can serve until ctx ends. Replies to
// queries carry them too; the loop covers services that get no queries.
func (e *Entry) loop(ctx context.Context) {
	defer e.goroutines.Done()
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		v := e.Config.View()
		for i := range v.Services {
			s := &v.Services[i]
			for l := range s.Layouts {
				e.refreshVersions(ctx, s.Name, &s.Layouts[l], refreshMaxAge)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// refreshVersions asks for the versions of those cells of a layout whose versions are
// unknown or were reported maxAge ago or earlier, and waits for the replies.
func (e *Entry) refreshVersions(ctx context.Context, service string, l *conf.Layout, maxAge time.Duration) {
	groups := e.Versions.StaleGroups(l, time.Now(), max(maxAge, 1))
	done := make(chan struct{}, len(groups))
	for _, g := range groups {
		q := &versionsRequest{entry: e, service: service, layout: l, cell: &l.Cells[g]}
		go q.run(ctx, done)
	}
	for range groups {
		<-done
	}
}

// A versionsRequest asks the holders of one cell for the versions it can serve.
type versionsRequest struct {
	entry   *Entry
	service string
	layout  *conf.Layout
	cell    *conf.Cell
}

// run asks up to maxHolders holders until one reports the versions.
func (q *versionsRequest) run(ctx context.Context, done chan<- struct{}) {
	defer q.finish(done)
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	e := q.entry
	var tried []string
	for len(tried) < maxHolders && ctx.Err() == nil {
		holder := e.Balancer.Pick(q.cell, e.Self, tried, time.Now())
		if holder == "" {
			return
		}
		tried = append(slices.Clone(tried), holder)
		reply, err := e.CellsClient(holder).Search(ctx, &wire.SearchRequest{
			Service:   q.service,
			Snapshot:  &wire.Snapshot{Layout: uint32(q.layout.Number)},
			Group:     uint32(q.cell.Group),
			Remaining: remainingMicros(ctx),
		})
		if err == nil && !reply.Absent && reply.Newest > 0 {
			e.Versions.Record(q.cell.Name, reply.Newest, time.Now())
			return
		}
	}
}

func (q *versionsRequest) finish(done chan<- struct{}) {
	done <- struct{}{}
}
