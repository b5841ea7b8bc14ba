package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/once"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

func (e *Entry) handleCheck(w http.ResponseWriter, r *http.Request) {
	var req query.Check
	if !decode(e, w, r, &req, (*query.Check).Validate) {
		return
	}
	t, ok := e.begin(w, r, req.ID, req.Caller, req.Deadline)
	if !ok {
		return
	}
	defer t.leave()
	rec := newRecord("check", t)
	re, refusal := e.single(t, &wire.SingleRequest{Item: req.Item})
	e.keep(rec, t, nil, refusal)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	respond(w, http.StatusOK, &query.Checked{
		ID:       t.id,
		Snapshot: query.Snapshot{Layout: int(re.Snapshot.GetLayout()), Version: re.Snapshot.GetVersion()},
		Free:     re.Yes,
	})
}

func (e *Entry) handleBook(w http.ResponseWriter, r *http.Request) {
	var req query.Booking
	if !decode(e, w, r, &req, (*query.Booking).Validate) {
		return
	}
	if req.Key == "" {
		req.Key = once.NewKey()
	}
	t, refusal := e.admit(r.Context(), req.ID, req.Caller, req.Deadline)
	if refusal == nil {
		defer t.leave()
		rec := newRecord("book", t)
		var b *query.Booked
		b, refusal = e.book(t, &req)
		e.keep(rec, t, nil, refusal)
		if refusal == nil {
			respond(w, http.StatusOK, b)
			return
		}
	}
	refusal.Key = req.Key
	e.refuse(w, refusal)
}

// book makes the claim of a booking and sends it once.
func (e *Entry) book(t *ticket, req *query.Booking) (*query.Booked, *query.Refusal) {
	claim, done, err := e.Claims.Acquire(t.ctx, req.Caller, req.Key, once.Digest(req.Item, req.Body))
	switch {
	case errors.Is(err, once.ErrKeyReused):
		r := t.refusal(once.ErrKeyReused.Error(), query.RunNone)
		r.Status = http.StatusConflict
		return nil, r
	case errors.Is(err, once.ErrOutcomeUnknown):
		r := t.refusal(once.ErrOutcomeUnknown.Error(), query.RunUnknown)
		r.Status = http.StatusConflict
		return nil, r
	case err != nil:
		e.Log.Emit(event.ClaimFailed, event.Fields{Step: "claim", Class: req.Caller, Err: err})
		return nil, t.refusal(reasonClaim, query.RunNone)
	case done != nil:
		return &query.Booked{ID: t.id, Key: req.Key, Done: true, Result: done.Result}, nil
	}
	re, refusal := e.single(t, &wire.SingleRequest{Item: req.Item, Key: req.Key, Nonce: claim.Nonce, Body: req.Body})
	switch {
	case refusal == nil:
		claim.Complete(t.ctx, re.Result)
		return &query.Booked{ID: t.id, Key: req.Key, Done: true, Result: re.Result}, nil
	case refusal.Run == query.RunNone:
		claim.Release(t.ctx)
	}
	return nil, refusal
}

// single asks the one shard that has the item. A booking goes to another
// holder only when the one before has certainly not sent it.
func (e *Entry) single(t *ticket, req *wire.SingleRequest) (*wire.SingleReply, *query.Refusal) {
	s := e.Book.View().Service(t.selector.Service)
	if s == nil || len(s.Layouts) == 0 {
		return nil, t.refusal(reasonSnapshot, query.RunNone)
	}
	l := e.current(s)
	shard := query.ShardOf(req.Item, l.Shards)
	cell := &l.Cells[shard/l.Cell]
	req.Request = t.id
	req.Class = t.selector.Caller
	req.Service = s.Name
	req.Snapshot = &wire.Snapshot{Layout: uint32(l.Number)}
	req.Group = uint32(cell.Group)
	req.Shard = uint32(shard)
	last := t.refusal("no holder of the shard", query.RunNone)
	var tried []string
	for len(tried) < maxHolders && t.ctx.Err() == nil {
		holder := e.Routes.Pick(cell, e.Self, tried, time.Now())
		if holder == "" {
			break
		}
		tried = append(tried, holder)
		re, err := e.askSingle(t.ctx, holder, req)
		switch {
		case err == nil && re.Done:
			return re, nil
		case err != nil:
			last = t.refusal(fmt.Sprintf("holder %s gave no answer: %v", holder, err), unsentRun(err))
		case !re.Absent:
			last = t.refusal(re.Reason, query.Run(re.Run))
		}
		if req.Key != "" && last.Run != query.RunNone {
			break
		}
	}
	return nil, last
}

// current returns the newest layout that is known to be served, or the newest.
func (e *Entry) current(s *conf.Service) *conf.Layout {
	if p, ok := e.Pins.Snapshot(s); ok {
		return s.Layout(p.Layout)
	}
	return &s.Layouts[len(s.Layouts)-1]
}

func (e *Entry) askSingle(ctx context.Context, holder string, req *wire.SingleRequest) (*wire.SingleReply, error) {
	req.Remaining = remaining(ctx)
	begun := time.Now()
	e.Routes.Begin(holder)
	re, err := e.Cells(holder).Single(ctx, req)
	now := time.Now()
	e.Routes.End(holder, now.Sub(begun), err == nil, now)
	if err == nil && re.Request != req.Request {
		return nil, errors.New("reply to another request")
	}
	return re, err
}

// unsentRun says what is known of a request to a holder that gave no answer.
func unsentRun(err error) query.Run {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return query.RunNone
	}
	return query.RunUnknown
}
