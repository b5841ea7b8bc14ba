package flow

import (
	"context"
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// Constants of an answer's timing.
const (
	aimShare  = 0.9  // an answer leaves before this share of the latency objective
	sendShare = 0.25 // a request waits for an upstream up to this share of it
	// waitShare is the share of it that a part may be expected to wait in line
	// when its request is let in. Waits differ, and the work takes its time too.
	waitShare = 0.25
	// lateShare is the share of the caller's time that the parts of a late
	// request may be expected to wait in line.
	lateShare = 0.4
	// pressShare is the share of the caller's time after which a late request
	// is sent as if it were in time.
	pressShare = 0.5
	aimFirst   = 300 * time.Millisecond // objective of a route that sets none
	linger     = 400 * time.Millisecond // how long upstreams may go on once there is an answer
)

// Serve answers a request. ctx ends when the caller has left.
func (f *Flow) Serve(ctx context.Context, q *Request) Answer {
	work, cancel := context.WithDeadline(f.base, q.Due)
	stop := context.AfterFunc(ctx, cancel)
	tr := &trace{begun: q.Arrived}
	legs := int64(max(len(q.Route.Shards), 1))
	defer f.legs.Add(-legs)
	if n := f.legs.Add(legs); f.Memory > 0 && n > f.Memory/legMemory {
		cancel()
		stop()
		a := Answer{Kind: Refused, Again: againFull, Reason: fmt.Sprintf("%d parts in work", n)}
		f.Meter.answer(q, &a)
		f.tell(q, &a, tr)
		return a
	}
	done := make(chan struct{})
	defer close(done)
	var a Answer
	if q.Route.Sharded() {
		a = f.gather(work, q, tr, done)
	} else {
		a = f.forward(work, q, tr, done)
	}
	if stop() {
		// A replica that is nearly done keeps its connection.
		time.AfterFunc(linger, cancel)
	} else if a.Kind != Served && a.Kind != Relayed {
		// An answer that is ready is delivered: a caller that has closed one
		// way of its connection still reads it.
		a.Kind = Gone
	}
	f.Meter.answer(q, &a)
	f.tell(q, &a, tr)
	return a
}

// tell logs what became of a request, unless it is a whole success.
func (f *Flow) tell(q *Request, a *Answer, tr *trace) {
	id := event.Answered
	switch {
	case a.Kind == Served && a.Missed == 0:
		return
	case a.Kind == Served:
		id = event.Partial
	}
	f.Log.Emit(id, event.Fields{
		Step:    "serve",
		Request: q.Payload.ID,
		Class:   q.Route.Name,
		Detail:  fmt.Sprintf("%s after %d ms of %d, version %d: %s", a, time.Since(q.Arrived).Milliseconds(), q.Due.Sub(q.Arrived).Milliseconds(), q.Table.Version, tr),
	})
}

// goal returns a route's latency objective.
func goal(r *route.Route) time.Duration {
	if r.LatencyTarget > 0 {
		return r.LatencyTarget
	}
	return aimFirst
}

// leg returns a leg of a request.
func (f *Flow) leg(q *Request, st *stat, tr *trace, service string, out chan<- outcome, done <-chan struct{}) *leg {
	target := goal(q.Route)
	return &leg{
		flow:    f,
		group:   f.group(service),
		request: q,
		stat:    st,
		trace:   tr,
		aim:     q.Arrived.Add(time.Duration(aimShare * float64(target))),
		patient: q.Arrived.Add(time.Duration(sendShare * float64(target))),
		out:     out,
		done:    done,
	}
}

// forward sends a request to one service and passes the answer on.
func (f *Flow) forward(ctx context.Context, q *Request, tr *trace, done <-chan struct{}) Answer {
	out := make(chan outcome, 1)
	l := f.leg(q, f.stat(q.Route.Name), tr, f.split.Next(q.Table, q.Route), out, done)
	l.run(ctx)
	o := <-out
	switch re := o.reply; re.Result {
	case link.Whole:
		return Answer{Kind: Served, Status: re.Status, Header: re.Header, Body: re.Body}
	case link.Failed:
		return Answer{Kind: Relayed, Status: re.Status, Header: re.Header, Body: re.Body, Reason: "upstream failed"}
	case link.Unsent, link.Refused, link.Moved:
		return Answer{Kind: Refused, Again: f.again(l.group), Reason: o.why}
	case link.Unknown:
		if ended(re.Err) {
			return Answer{Kind: Late, Reason: o.why}
		}
	}
	return Answer{Kind: Lost, Reason: o.why}
}

// legMemory is the memory in bytes that is reckoned for each part of a request in
// work, four times of what it usually takes.
const legMemory = 64 << 10

// Times after which a refused caller is best back.
const (
	againFull = 500 * time.Millisecond // requests in work are answered, or late
	againBusy = 150 * time.Millisecond // a slot becomes free
	againDown = 700 * time.Millisecond // an upstream may have come back
)

// again returns when a caller is best back whom a service could not serve.
func (f *Flow) again(g *group) time.Duration {
	for _, t := range g.list() {
		if t.rep.Usable() {
			return againBusy
		}
	}
	return againDown
}

// Find returns the route of a request, or nil.
func (f *Flow) Find(host, path string) (*route.Table, *route.Route) {
	f.mu.Lock()
	t := f.table
	f.mu.Unlock()
	if t == nil {
		return nil, nil
	}
	return t, t.Match(host, path)
}

// String returns the answer's kind and reason on one line.
func (a *Answer) String() string {
	s := a.Kind.String()
	if a.Reason != "" {
		s += " (" + a.Reason + ")"
	}
	return s
}
