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

// finishMargin is the part of a query's time that is reserved for merging and
// answering.
const finishMargin = 2 * time.Millisecond

// maxRounds is how often a query is fanned out at most: once, and once more if a
// shard did not hold its snapshot.
const maxRounds = 2

func (e *Entry) handleQuery(w http.ResponseWriter, r *http.Request) {
	var req query.Request
	if !decode(e, w, r, &req, (*query.Request).Validate) {
		return
	}
	adm, ok := e.admitOrRefuse(w, r, req.ID, req.Caller, req.Deadline)
	if !ok {
		return
	}
	defer adm.release()
	req.ID = adm.id
	rec := newRecord("query", adm)
	a, refusal := e.answerQuery(adm, &req, rec)
	e.finishRecord(rec, adm, a, refusal)
	if refusal != nil {
		e.writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

// answerQuery answers one query before its deadline, and adds its rounds to rec.
func (e *Entry) answerQuery(adm *admission, req *query.Request, rec *Record) (*query.Answer, *query.Refusal) {
	service := e.Config.View().Service(adm.selector.Service)
	if service == nil {
		return nil, adm.newRefusal(reasonSnapshot, query.RunNone)
	}
	floor := max(adm.selector.MinCoverage, req.Floor)
	var f *fanOut
	for round := range maxRounds {
		snapshot, ok := e.chooseSnapshot(adm.ctx, service, req, round)
		if !ok {
			break
		}
		next := e.newFanOut(adm, service, snapshot, req, floor)
		if next == nil {
			break
		}
		f = next
		f.run()
		rec.addRound(f)
		if req.Snapshot != nil || !f.missesVersion() || adm.ctx.Err() != nil {
			break
		}
	}
	if f == nil {
		return nil, adm.newRefusal(reasonSnapshot, query.RunNone)
	}
	coverage := f.merger.Coverage(string(search.CauseDeadline))
	if coverage.Percent() < floor || coverage.Merged == 0 {
		r := adm.newRefusal(reasonCoverage, query.RunUnknown)
		r.Coverage = &coverage
		return nil, r
	}
	hits := f.merger.Hits()
	return &query.Answer{
		ID:       adm.id,
		Snapshot: f.snapshot,
		Coverage: coverage,
		Hits:     hits,
		More:     len(hits) == req.Top,
	}, nil
}

func (a *admission) newRefusal(reason string, run query.Run) *query.Refusal {
	return &query.Refusal{ID: a.id, Reason: reason, Run: run}
}

// chooseSnapshot returns the snapshot to read in a round: the one that the request
// names, in round 0 only, or the newest one that all cells can serve. If that is
// unknown, it asks the cells once, and then leaves out those that can't tell. It
// reports false if no cell can.
func (e *Entry) chooseSnapshot(ctx context.Context, s *conf.Service, req *query.Request, round int) (query.Snapshot, bool) {
	if req.Snapshot != nil {
		return *req.Snapshot, round == 0
	}
	if p, ok := e.Versions.Snapshot(s); ok {
		return p, true
	}
	for i := range s.Layouts {
		e.refreshVersions(ctx, s.Name, &s.Layouts[i], 0)
	}
	if p, ok := e.Versions.Snapshot(s); ok {
		return p, true
	}
	return e.Versions.PartialSnapshot(s)
}

// A fanOut is one round of a query. It queries each cell and merges the replies.
type fanOut struct {
	entry     *Entry
	admission *admission
	layout    *conf.Layout
	snapshot  query.Snapshot
	request   *query.Request
	floor     int // least coverage in percent
	merger    *merge.Merger
	replies   chan *wire.SearchReply // has room for all replies, since cell queries may outlive the round
	cellDone  chan struct{}          // receives when a cell query has ended
	sent      int                    // attempts, as counted in the merged replies
	early     bool                   // ended before every cell was done
}

// newFanOut returns a fan-out at a snapshot, or nil if its layout is unknown.
func (e *Entry) newFanOut(adm *admission, s *conf.Service, snapshot query.Snapshot, req *query.Request, floor int) *fanOut {
	l := s.Layout(snapshot.Layout)
	if l == nil {
		return nil
	}
	return &fanOut{
		entry:     e,
		admission: adm,
		layout:    l,
		snapshot:  snapshot,
		request:   req,
		floor:     floor,
		merger:    merge.New(l.Shards, req.Top),
		replies:   make(chan *wire.SearchReply, maxHolders*maxCellRounds*len(l.Cells)),
		cellDone:  make(chan struct{}, len(l.Cells)),
	}
}

// run queries all cells and merges their replies until all cells are done, the
// deadline is near, or the selector's early time has passed and the coverage floor is
// reached.
func (f *fanOut) run() {
	ctx, cancel := f.withMargin()
	defer cancel()
	for g := range f.layout.Cells {
		c := &cellQuery{fanOut: f, cell: &f.layout.Cells[g]}
		go c.run(ctx)
	}
	early := time.NewTimer(f.untilEarly())
	defer early.Stop()
	earlyPassed := false
	for running := len(f.layout.Cells); running > 0; {
		select {
		case reply := <-f.replies:
			f.mergeReply(reply)
		case <-f.cellDone:
			running--
		case <-early.C:
			earlyPassed = true
		case <-ctx.Done():
			f.mergeReceived()
			return
		}
		if earlyPassed && f.floorReached() {
			f.early = true
			return
		}
	}
	f.mergeReceived()
}

// withMargin returns a context that ends finishMargin before the query's deadline, or
// at the deadline if little time is left.
func (f *fanOut) withMargin() (context.Context, context.CancelFunc) {
	deadline, ok := f.admission.ctx.Deadline()
	if !ok || time.Until(deadline) < 4*finishMargin {
		return context.WithCancel(f.admission.ctx)
	}
	return context.WithDeadline(f.admission.ctx, deadline.Add(-finishMargin))
}

// untilEarly returns the time from now to the selector's early time, or its whole
// deadline if it has no early time.
func (f *fanOut) untilEarly() time.Duration {
	s := f.admission.selector
	if s.EarlyMs == 0 {
		return s.Deadline()
	}
	return max(time.Duration(s.EarlyMs)*time.Millisecond-time.Since(f.admission.start), 0)
}

// floorReached reports whether the merged shards reach the coverage floor.
func (f *fanOut) floorReached() bool {
	return f.merger.NumMerged()*100 >= f.floor*f.layout.Shards
}

// mergeReceived merges the replies that have been received, without waiting.
func (f *fanOut) mergeReceived() {
	for {
		select {
		case reply := <-f.replies:
			f.mergeReply(reply)
		default:
			return
		}
	}
}

// mergeReply merges one reply for one cell.
func (f *fanOut) mergeReply(reply *wire.SearchReply) {
	f.sent += int(reply.Sent)
	shards := make([]int, 0, len(reply.Merged))
	for _, n := range reply.Merged {
		shards = append(shards, int(n))
	}
	hits := make([]query.Hit, 0, len(reply.Hits))
	for _, h := range reply.Hits {
		hits = append(hits, query.Hit{ID: h.Id, Score: h.Score})
	}
	f.merger.Add(shards, hits)
	for _, m := range reply.Misses {
		f.merger.SetReason(int(m.Shard), m.Reason)
	}
}

// missesVersion reports whether a shard is missing because it does not hold the
// snapshot. All shards may then hold a newer one.
func (f *fanOut) missesVersion() bool {
	for _, m := range f.merger.Coverage("").Missed {
		if m.Reason == string(search.CauseVersion) {
			return true
		}
	}
	return false
}
