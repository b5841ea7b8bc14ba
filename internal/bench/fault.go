package bench

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/testbed"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// refusalTimes collects how long it took until requests were refused.
type refusalTimes struct {
	mu    sync.Mutex
	times []time.Duration
}

// record is called for every reply to a load. It records refusals of queries that
// were not run.
func (r *refusalTimes) record(reply *testbed.Reply) {
	var refusal *query.Refusal
	if !errors.As(reply.Err, &refusal) || refusal.Run != query.RunNone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, reply.Latency)
}

func (r *refusalTimes) median() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.times) == 0 {
		return 0
	}
	slices.Sort(r.times)
	return r.times[len(r.times)/2]
}

// addSelector stores the selector of a spec whose service exists already, and
// waits until it is in force.
func addSelector(ctx context.Context, sys *testbed.System, s *testbed.Spec) error {
	rev, err := admin.Edit(ctx, sys.Editor, object.KindSelector, s.Caller, func(p *object.Selector) {
		*p = s.Selector
		p.Caller, p.Service = s.Caller, s.Service
	})
	if err != nil {
		return err
	}
	sys.Specs = append(sys.Specs, *s)
	return sys.WaitApplied(ctx, rev)
}

// checkNoLoss adds the checks of an experiment in which no query may be refused.
func (e *Env) checkNoLoss(l *testbed.Load, name string) {
	e.reportLoad(l, name)
	e.Report.checkZero(name+": refused", l.Stats().Refused)
}

// A disturbance is something that is done to a system while it is under load.
type disturbance struct {
	name string
	act  func(ctx context.Context, sys *testbed.System) error
}

// disturb starts a system and runs a load for as long as d acts on it.
func (e *Env) disturb(ctx context.Context, d disturbance) error {
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, plannerSpec())
	if err != nil {
		return err
	}
	defer sys.Close()
	l := newLoad(sys, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, 2*time.Second)
	l.Reset()
	done := make(chan struct{})
	go (&backgroundLoad{load: l, length: time.Hour, done: done}).run(ctx)
	err = d.act(ctx, sys)
	l.Stop()
	<-done
	e.checkNoLoss(l, d.name)
	e.Report.checkUpstreams(sys)
	return err
}

// roll changes index versions and layouts under load.
func roll() Experiment {
	return Experiment{
		Name:     "roll",
		Help:     "index versions and layouts roll under load",
		Settings: []Setting{{"daemons", "4"}, {"rate", "60"}},
		Run: func(ctx context.Context, e *Env) error {
			return e.disturb(ctx, disturbance{name: "roll", act: rollVersionsAndLayouts})
		},
	}
}

func rollVersionsAndLayouts(ctx context.Context, sys *testbed.System) error {
	for range 2 {
		for _, h := range sys.Upstreams {
			h.AdvanceVersion()
			time.Sleep(30 * time.Millisecond)
		}
	}
	next := plannerSpec()
	next.Shards = 15
	if err := sys.AddService(ctx, next); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	_, err := sys.Editor.Remove(ctx, object.KindLayout, object.LayoutName(next.Service, 1))
	time.Sleep(2 * time.Second)
	return err
}

// restart stops and starts all daemons in turn under load.
func restart() Experiment {
	return Experiment{
		Name:     "restart",
		Help:     "every daemon replaced in turn under load",
		Settings: []Setting{{"daemons", "6"}, {"rate", "60"}},
		Run: func(ctx context.Context, e *Env) error {
			return e.disturb(ctx, disturbance{name: "restart", act: replaceAll})
		},
	}
}

func replaceAll(_ context.Context, sys *testbed.System) error {
	for _, n := range sys.Nodes {
		if err := sys.StopNode(n); err != nil {
			return err
		}
		if err := sys.StartNode(n); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// outage makes the store unavailable for the middle half of the run.
func outage() Experiment {
	return Experiment{
		Name:     "outage",
		Help:     "the store is gone for the run's middle half, and a daemon is replaced meanwhile",
		Settings: []Setting{{"daemons", "6"}, {"rate", "60"}, {"seconds", "8"}},
		Run: func(ctx context.Context, e *Env) error {
			return e.disturb(ctx, disturbance{name: "outage", act: func(_ context.Context, sys *testbed.System) error {
				quarter := e.seconds("seconds") / 4
				time.Sleep(quarter)
				sys.Store.SetFaults(fakes.StoreFaults{Down: true})
				err := sys.StopNode(sys.Nodes[1])
				if err == nil {
					err = sys.StartNode(sys.Nodes[1])
				}
				time.Sleep(2 * quarter)
				sys.Store.SetFaults(fakes.StoreFaults{})
				time.Sleep(quarter)
				return err
			}})
		},
	}
}

// twice sends bookings while writes to the store lose their answers and searchers
// reset connections or mix up answers, and counts how often each booking ran.
func twice() Experiment {
	return Experiment{
		Name:     "twice",
		Help:     "bookings, each tried three times, while the store and searchers fail",
		Settings: []Setting{{"daemons", "4"}, {"keys", "60"}, {"lose", "0.5"}},
		Run:      runTwice,
	}
}

func runTwice(ctx context.Context, e *Env) error {
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, plannerSpec())
	if err != nil {
		return err
	}
	defer sys.Close()
	l := newLoad(sys, "kpakpo", 60, e.Seed)
	l.Run(ctx, 2*time.Second)
	sys.Store.SetFaults(fakes.StoreFaults{LoseReplies: e.value("lose")})
	for i, h := range sys.Upstreams {
		h.UpdateBehavior(func(n *fakes.SearcherBehavior) { n.ResetConn, n.WrongRequest = i%5 == 0, i%7 == 0 })
	}
	b := &bookings{sys: sys}
	for i := range e.int("keys") {
		b.wg.Add(1)
		go (&bookingAttempts{bookings: b, number: i}).run(ctx)
	}
	b.wg.Wait()
	e.Report.checkZero("keys executed more than once", b.repeated)
	e.Report.checkZero("keys executed though every try was told that it was not run", b.deniedButRan)
	e.Report.checkZero("keys said to be done and not executed", b.doneNotRun)
	e.Report.addFigure("keys done", float64(b.done), "keys")
	return nil
}

// bookings counts the outcomes of the keys.
type bookings struct {
	sys *testbed.System
	wg  sync.WaitGroup

	mu           sync.Mutex
	repeated     int
	deniedButRan int
	doneNotRun   int
	done         int
}

// bookingAttempts sends the booking with one key three times, through different
// daemons.
type bookingAttempts struct {
	bookings *bookings
	number   int
}

func (t *bookingAttempts) run(ctx context.Context) {
	defer t.bookings.wg.Done()
	sys := t.bookings.sys
	key := fmt.Sprintf("key-%d", t.number)
	done, unrun := false, true
	for try := range 3 {
		n := sys.Nodes[(t.number+try)%len(sys.Nodes)]
		_, err := sys.ClientOf(n).Book(ctx, &query.Booking{Caller: "kpakpo", Key: key, Item: fmt.Sprintf("floor-%d", t.number)})
		var refusal *query.Refusal
		done = done || err == nil
		unrun = unrun && errors.As(err, &refusal) && refusal.Run == query.RunNone
	}
	executed := executions(sys, key)
	t.bookings.mu.Lock()
	defer t.bookings.mu.Unlock()
	if executed > 1 {
		t.bookings.repeated++
	}
	if unrun && executed > 0 {
		t.bookings.deniedButRan++
	}
	if done {
		t.bookings.done++
	}
	if done && executed == 0 {
		t.bookings.doneNotRun++
	}
}
