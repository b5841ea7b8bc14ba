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
	adm, ok := e.admitOrRefuse(w, r, req.ID, req.Caller, req.Deadline)
	if !ok {
		return
	}
	defer adm.release()
	rec := newRecord("check", adm)
	reply, refusal := e.askShard(adm, &wire.SingleRequest{Item: req.Item})
	e.finishRecord(rec, adm, nil, refusal)
	if refusal != nil {
		e.writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, &query.Checked{
		ID:       adm.id,
		Snapshot: query.Snapshot{Layout: int(reply.Snapshot.GetLayout()), Version: reply.Snapshot.GetVersion()},
		Free:     reply.Yes,
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
	adm, refusal := e.admit(r.Context(), req.ID, req.Caller, req.Deadline)
	if refusal == nil {
		defer adm.release()
		rec := newRecord("book", adm)
		var b *query.Booked
		b, refusal = e.book(adm, &req)
		e.finishRecord(rec, adm, nil, refusal)
		if refusal == nil {
			writeJSON(w, http.StatusOK, b)
			return
		}
	}
	refusal.Key = req.Key
	e.writeRefusal(w, refusal)
}

// book acquires the claim of a booking and sends the booking once. If an earlier
// request with the key has executed it, book returns the recorded outcome.
func (e *Entry) book(adm *admission, req *query.Booking) (*query.Booked, *query.Refusal) {
	claim, recorded, err := e.Claims.Acquire(adm.ctx, req.Caller, req.Key, once.Digest(req.Item, req.Body))
	switch {
	case errors.Is(err, once.ErrKeyReused):
		r := adm.newRefusal(once.ErrKeyReused.Error(), query.RunNone)
		r.Status = http.StatusConflict
		return nil, r
	case errors.Is(err, once.ErrOutcomeUnknown):
		r := adm.newRefusal(once.ErrOutcomeUnknown.Error(), query.RunUnknown)
		r.Status = http.StatusConflict
		return nil, r
	case err != nil:
		e.Log.Emit(event.ClaimFailed, event.Fields{Step: "claim", Class: req.Caller, Err: err})
		return nil, adm.newRefusal(reasonClaim, query.RunNone)
	case recorded != nil:
		return &query.Booked{ID: adm.id, Key: req.Key, Done: true, Result: recorded.Result}, nil
	}
	reply, refusal := e.askShard(adm, &wire.SingleRequest{Item: req.Item, Key: req.Key, Nonce: claim.Nonce, Body: req.Body})
	switch {
	case refusal == nil:
		claim.Complete(adm.ctx, reply.Result)
		return &query.Booked{ID: adm.id, Key: req.Key, Done: true, Result: reply.Result}, nil
	case refusal.Run == query.RunNone:
		claim.Release(adm.ctx)
	}
	return nil, refusal
}

// askShard sends a check or a booking to the one shard that has the item. It asks up
// to maxHolders holders of the shard's cell, one after the other. A booking goes to
// another holder only if those before have certainly not sent it.
func (e *Entry) askShard(adm *admission, req *wire.SingleRequest) (*wire.SingleReply, *query.Refusal) {
	s := e.Config.View().Service(adm.selector.Service)
	if s == nil || len(s.Layouts) == 0 {
		return nil, adm.newRefusal(reasonSnapshot, query.RunNone)
	}
	l := e.currentLayout(s)
	shard := query.ShardOf(req.Item, l.Shards)
	cell := &l.Cells[shard/l.Cell]
	req.Request = adm.id
	req.Class = adm.selector.Caller
	req.Service = s.Name
	req.Snapshot = &wire.Snapshot{Layout: uint32(l.Number)}
	req.Group = uint32(cell.Group)
	req.Shard = uint32(shard)
	last := adm.newRefusal("no holder of the shard", query.RunNone)
	var tried []string
	for len(tried) < maxHolders && adm.ctx.Err() == nil {
		holder := e.Balancer.Pick(cell, e.Self, tried, time.Now())
		if holder == "" {
			break
		}
		tried = append(tried, holder)
		reply, err := e.askHolder(adm.ctx, holder, req)
		switch {
		case err == nil && reply.Done:
			return reply, nil
		case err != nil:
			last = adm.newRefusal(fmt.Sprintf("holder %s gave no answer: %v", holder, err), runAfterError(err))
		case !reply.Absent:
			last = adm.newRefusal(reply.Reason, query.Run(reply.Run))
		}
		if req.Key != "" && last.Run != query.RunNone {
			break
		}
	}
	return nil, last
}

// currentLayout returns the newest layout that all cells are known to serve or, if
// there is none, the newest layout.
func (e *Entry) currentLayout(s *conf.Service) *conf.Layout {
	if p, ok := e.Versions.Snapshot(s); ok {
		return s.Layout(p.Layout)
	}
	return &s.Layouts[len(s.Layouts)-1]
}

// askHolder sends one request to one holder and records the outcome for balancing.
func (e *Entry) askHolder(ctx context.Context, holder string, req *wire.SingleRequest) (*wire.SingleReply, error) {
	req.Remaining = remainingMicros(ctx)
	start := time.Now()
	e.Balancer.Begin(holder)
	reply, err := e.CellsClient(holder).Single(ctx, req)
	now := time.Now()
	e.Balancer.End(holder, now.Sub(start), err == nil, now)
	if err == nil && reply.Request != req.Request {
		return nil, errors.New("reply to another request")
	}
	return reply, err
}

// runAfterError returns whether a request to a holder may have been executed, given
// the error it ended with: certainly not if no connection could be opened.
func runAfterError(err error) query.Run {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return query.RunNone
	}
	return query.RunUnknown
}
