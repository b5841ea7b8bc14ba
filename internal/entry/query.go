package entry

import (
	"context"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/merge"
	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// finishMargin is kept back from a query's time for merging and answering.
const finishMargin = 2 * time.Millisecond

// maxRounds is the number of times that a query is fanned out: once, and once
// more when its snapshot was not held everywhere.
const maxRounds = 2

func (e *Entry) handleQuery(w http.ResponseWriter, r *http.Request) {
	var req query.Request
	if !decode(e, w, r, &req, (*query.Request).Validate) {
		return
	}
	t, ok := e.begin(w, r, req.ID, req.Caller, req.Deadline)
	if !ok {
		return
	}
	defer t.leave()
	req.ID = t.id
	rec := newRecord("query", t)
	a, refusal := e.query(t, &req, rec)
	e.keep(rec, t, a, refusal)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	respond(w, http.StatusOK, a)
}

// query answers one request before its deadline.
func (e *Entry) query(t *ticket, req *query.Request, rec *Record) (*query.Answer, *query.Refusal) {
	service := e.Book.View().Service(t.selector.Service)
	if service == nil {
		return nil, t.refusal(reasonSnapshot, query.RunNone)
	}
	floor := max(t.selector.MinCoverage, req.Floor)
	var f *fan
	for round := range maxRounds {
		snapshot, ok := e.pin(t.ctx, service, req, round)
		if !ok {
			break
		}
		next := e.fan(t, service, snapshot, req, floor)
		if next == nil {
			break
		}
		f = next
		f.run()
		rec.round(f)
		if req.Snapshot != nil || !f.outdated() || t.ctx.Err() != nil {
			break
		}
	}
	if f == nil {
		return nil, t.refusal(reasonSnapshot, query.RunNone)
	}
	coverage := f.merge.Coverage(string(search.CauseDeadline))
	if coverage.Percent() < floor || coverage.Merged == 0 {
		r := t.refusal(reasonCoverage, query.RunUnknown)
		r.Coverage = &coverage
		return nil, r
	}
	hits := f.merge.Hits()
	return &query.Answer{
		ID:       t.id,
		Snapshot: f.snapshot,
		Coverage: coverage,
		Hits:     hits,
		More:     len(hits) == req.Top,
	}, nil
}

func (t *ticket) refusal(reason string, run query.Run) *query.Refusal {
	return &query.Refusal{ID: t.id, Reason: reason, Run: run}
}

// pin returns the snapshot to read. When none is known, the cells are asked
// once.
func (e *Entry) pin(ctx context.Context, s *conf.Service, req *query.Request, round int) (query.Snapshot, bool) {
	if req.Snapshot != nil {
		return *req.Snapshot, round == 0
	}
	if p, ok := e.Pins.Snapshot(s); ok {
		return p, true
	}
	for i := range s.Layouts {
		e.learn(ctx, s.Name, &s.Layouts[i], 0)
	}
	return e.Pins.Snapshot(s)
}

// A fan is one round of a query: a call for each cell, merged.
type fan struct {
	entry    *Entry
	ticket   *ticket
	layout   *conf.Layout
	snapshot query.Snapshot
	request  *query.Request
	floor    int
	merge    *merge.Merger
	replies  chan *wire.SearchReply
	done     chan struct{} // receives when a call has ended
	sent     int           // requests sent to upstreams
	early    bool          // answered before every cell had replied
}

func (e *Entry) fan(t *ticket, s *conf.Service, snapshot query.Snapshot, req *query.Request, floor int) *fan {
	l := s.Layout(snapshot.Layout)
	if l == nil {
		return nil
	}
	return &fan{
		entry:    e,
		ticket:   t,
		layout:   l,
		snapshot: snapshot,
		request:  req,
		floor:    floor,
		merge:    merge.New(l.Shards, req.Top),
		replies:  make(chan *wire.SearchReply, maxHolders*maxTurns*len(l.Cells)),
		done:     make(chan struct{}, len(l.Cells)),
	}
}

// run asks all cells and merges what comes, until all have replied, the
// deadline is near, or the floor is reached after the early time.
func (f *fan) run() {
	ctx, cancel := f.bound()
	defer cancel()
	for g := range f.layout.Cells {
		c := &cellCall{fan: f, cell: &f.layout.Cells[g]}
		go c.run(ctx)
	}
	early := time.NewTimer(f.earlyIn())
	defer early.Stop()
	late := false
	for open := len(f.layout.Cells); open > 0; {
		select {
		case re := <-f.replies:
			f.add(re)
		case <-f.done:
			open--
		case <-early.C:
			late = true
		case <-ctx.Done():
			f.drain()
			return
		}
		if late && f.enough() {
			f.early = true
			return
		}
	}
	f.drain()
}

// bound keeps the finish margin back from the ticket's time.
func (f *fan) bound() (context.Context, context.CancelFunc) {
	due, ok := f.ticket.ctx.Deadline()
	if !ok || time.Until(due) < 4*finishMargin {
		return context.WithCancel(f.ticket.ctx)
	}
	return context.WithDeadline(f.ticket.ctx, due.Add(-finishMargin))
}

func (f *fan) earlyIn() time.Duration {
	s := f.ticket.selector
	if s.EarlyMs == 0 {
		return s.Deadline()
	}
	return max(time.Duration(s.EarlyMs)*time.Millisecond-time.Since(f.ticket.begun), 0)
}

// enough reports whether the floor is reached.
func (f *fan) enough() bool {
	return f.merge.NumMerged()*100 >= f.floor*f.layout.Shards
}

func (f *fan) drain() {
	for {
		select {
		case re := <-f.replies:
			f.add(re)
		default:
			return
		}
	}
}

// add merges one reply of one cell.
func (f *fan) add(re *wire.SearchReply) {
	f.sent += int(re.Sent)
	shards := make([]int, 0, len(re.Merged))
	for _, n := range re.Merged {
		shards = append(shards, int(n))
	}
	hits := make([]query.Hit, 0, len(re.Hits))
	for _, h := range re.Hits {
		hits = append(hits, query.Hit{ID: h.Id, Score: h.Score})
	}
	f.merge.Add(shards, hits)
	for _, m := range re.Misses {
		f.merge.SetReason(int(m.Shard), m.Reason)
	}
}

// outdated reports whether a shard is missing because it does not hold the
// snapshot, so that a newer one may serve the whole query.
func (f *fan) outdated() bool {
	for _, m := range f.merge.Coverage("").Missed {
		if m.Reason == string(search.CauseVersion) {
			return true
		}
	}
	return false
}
