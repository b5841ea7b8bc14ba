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

// Bounds of the requests to the holders of one cell.
const (
	maxHolders = 3                     // asked in one round
	maxTurns   = 4                     // rounds, while permits or warmth are on their way
	turnPause  = 20 * time.Millisecond // before the second round, then doubled
)

// errAbsent says that a daemon holds nothing of the cell.
var errAbsent = errors.New("the daemon does not hold the cell")

// A cellCall asks the holders of one cell: one, and another when the first is
// slow, fails, or lacks shards.
type cellCall struct {
	fan  *fan
	cell *conf.Cell

	tried   []string // identities that were asked
	results chan holderResult
	air     int      // requests in the air
	only    []uint32 // shards still wanted; nil for all
	passing bool     // what is missing may come by itself
}

// holderResult is what came of one request to one holder.
type holderResult struct {
	holder string
	reply  *wire.SearchReply
	err    error
}

// holderCall is one request to one holder.
type holderCall struct {
	call   *cellCall
	holder string
	only   []uint32
}

// run asks the holder and hands the result in. It may outlive the query, when
// another holder was faster.
func (h *holderCall) run(ctx context.Context) {
	e := h.call.fan.entry
	begun := time.Now()
	e.Routes.Begin(h.holder)
	re, err := e.Cells(h.holder).Search(ctx, h.call.request(ctx, h.only))
	if err == nil {
		err = h.call.check(re)
	}
	now := time.Now()
	// A request that was given up says nothing bad of its holder.
	ok := err == nil || errors.Is(ctx.Err(), context.Canceled)
	e.Routes.End(h.holder, now.Sub(begun), ok, now)
	h.call.results <- holderResult{holder: h.holder, reply: re, err: err}
}

// run asks holders until the cell is complete, ctx ends, or more rounds are of
// no use.
func (c *cellCall) run(ctx context.Context) {
	defer c.end()
	c.results = make(chan holderResult, maxHolders*maxTurns)
	pause := turnPause
	for range maxTurns {
		c.tried = nil
		c.passing = false
		if c.round(ctx) || !c.passing {
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

// round asks the holders in turn, and reports whether the cell is complete or
// ctx has ended.
func (c *cellCall) round(ctx context.Context) bool {
	if !c.ask(ctx) {
		c.passing = true
		return ctx.Err() != nil
	}
	hedge := time.NewTimer(c.fan.entry.Metrics.cells.Value())
	defer hedge.Stop()
	for c.air > 0 {
		select {
		case r := <-c.results:
			c.air--
			if c.take(r) {
				return true
			}
			c.ask(ctx)
		case <-hedge.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return true
		}
	}
	return false
}

func (c *cellCall) end() {
	c.fan.done <- struct{}{}
}

// ask sends to the next holder. It reports false when there is none.
func (c *cellCall) ask(ctx context.Context) bool {
	e := c.fan.entry
	if len(c.tried) >= maxHolders || ctx.Err() != nil {
		return false
	}
	holder := e.Routes.Pick(c.cell, e.Self, c.tried, time.Now())
	if holder == "" {
		return false
	}
	c.tried = append(c.tried, holder)
	c.air++
	h := &holderCall{call: c, holder: holder, only: c.only}
	go h.run(ctx)
	return true
}

// hedge asks a second holder when the first is slow and the class has budget.
func (c *cellCall) hedge(ctx context.Context) {
	m := c.fan.entry.Metrics
	if c.air != 1 || !m.hedges(c.fan.ticket.selector.Caller).Take() {
		return
	}
	c.ask(ctx)
}

// take hands in a reply, and reports whether the cell is complete as far as it
// can be at this snapshot.
func (c *cellCall) take(r holderResult) bool {
	if r.err != nil {
		c.passing = c.passing || errors.Is(r.err, errAbsent)
		return false
	}
	e := c.fan.entry
	e.Pins.Record(c.cell.Name, r.reply.Oldest, r.reply.Newest, time.Now())
	c.fan.replies <- r.reply
	c.only = nil
	complete := true
	for _, m := range r.reply.Misses {
		c.only = append(c.only, m.Shard)
		switch search.Cause(m.Reason) {
		case search.CauseCold, search.CauseNoPermits, search.CauseReset, search.CauseTruncated, search.CauseDial:
			c.passing = true
			complete = false
		case search.CauseVersion, search.CauseNoReplica:
		default:
			complete = false
		}
	}
	return complete
}

func (c *cellCall) request(ctx context.Context, only []uint32) *wire.SearchRequest {
	f := c.fan
	req := &wire.SearchRequest{
		Request:  f.ticket.id,
		Class:    f.ticket.selector.Caller,
		Service:  f.layout.Service,
		Snapshot: &wire.Snapshot{Layout: uint32(f.snapshot.Layout), Version: f.snapshot.Version},
		Group:    uint32(c.cell.Group),
		Text:     f.request.Text,
		Top:      uint32(f.request.Top),
		Only:     only,
		Revision: f.entry.Book.Revision(),
	}
	if a := f.request.After; a != nil {
		req.AfterId, req.AfterScore = a.ID, a.Score
	}
	req.Remaining = remaining(ctx)
	return req
}

// remaining returns ctx's time in microseconds.
func remaining(ctx context.Context) uint64 {
	due, ok := ctx.Deadline()
	if !ok {
		return uint64(time.Minute / time.Microsecond)
	}
	return uint64(max(time.Until(due), 0) / time.Microsecond)
}

// check compares a reply with what was asked.
func (c *cellCall) check(re *wire.SearchReply) error {
	switch {
	case re.Absent:
		return errAbsent
	case re.Request != c.fan.ticket.id || int(re.Group) != c.cell.Group:
		return fault.New("cell", "", "reply to %q of group %d", re.Request, re.Group)
	case int(re.Snapshot.GetLayout()) != c.fan.snapshot.Layout || re.Snapshot.GetVersion() != c.fan.snapshot.Version:
		return fault.New("cell", "", "reply of another snapshot")
	}
	for _, n := range re.Merged {
		if int(n) < c.cell.FirstShard || int(n) >= c.cell.FirstShard+len(c.cell.Shards) {
			return fault.New("cell", "", "reply of shard %d", n)
		}
	}
	return nil
}

// Times of the search for snapshots.
const (
	learnEvery = 500 * time.Millisecond // between two looks at what is not known
	learnAge   = 30 * time.Second       // age after which a quiet cell is asked again
	learnWait  = time.Second            // for one cell
)

// loop keeps the pins of quiet services known until ctx ends.
func (e *Entry) loop(ctx context.Context) {
	defer e.duties.Done()
	t := time.NewTicker(learnEvery)
	defer t.Stop()
	for {
		v := e.Book.View()
		for i := range v.Services {
			s := &v.Services[i]
			for l := range s.Layouts {
				e.learn(ctx, s.Name, &s.Layouts[l], learnAge)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// learn asks the cells of a layout of which nothing has been heard for age.
func (e *Entry) learn(ctx context.Context, service string, l *conf.Layout, age time.Duration) {
	groups := e.Pins.StaleGroups(l, time.Now(), max(age, 1))
	done := make(chan struct{}, len(groups))
	for _, g := range groups {
		q := &inquiry{entry: e, service: service, layout: l, cell: &l.Cells[g]}
		go q.run(ctx, done)
	}
	for range groups {
		<-done
	}
}

// An inquiry asks one cell for its versions.
type inquiry struct {
	entry   *Entry
	service string
	layout  *conf.Layout
	cell    *conf.Cell
}

func (q *inquiry) run(ctx context.Context, done chan<- struct{}) {
	defer q.end(done)
	ctx, cancel := context.WithTimeout(ctx, learnWait)
	defer cancel()
	e := q.entry
	var tried []string
	for len(tried) < maxHolders && ctx.Err() == nil {
		holder := e.Routes.Pick(q.cell, e.Self, tried, time.Now())
		if holder == "" {
			return
		}
		tried = append(slices.Clone(tried), holder)
		re, err := e.Cells(holder).Search(ctx, &wire.SearchRequest{
			Service:   q.service,
			Snapshot:  &wire.Snapshot{Layout: uint32(q.layout.Number)},
			Group:     uint32(q.cell.Group),
			Remaining: remaining(ctx),
		})
		if err == nil && !re.Absent && re.Newest > 0 {
			e.Pins.Record(q.cell.Name, re.Oldest, re.Newest, time.Now())
			return
		}
	}
}

func (q *inquiry) end(done chan<- struct{}) {
	done <- struct{}{}
}
