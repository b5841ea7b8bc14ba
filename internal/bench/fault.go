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
	"bronzedoor.dev/bronzedoor/internal/world"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// refusals are the times until requests were refused.
type refusals struct {
	mu    sync.Mutex
	times []time.Duration
}

// note is a load's hook.
func (r *refusals) note(reply *world.Reply) {
	var refusal *query.Refusal
	if !errors.As(reply.Err, &refusal) || refusal.Run != query.RunNone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, reply.Took)
}

func (r *refusals) median() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.times) == 0 {
		return 0
	}
	slices.Sort(r.times)
	return r.times[len(r.times)/2]
}

// addSelector writes the selector of a spec whose service is there already.
func addSelector(ctx context.Context, w *world.World, s *world.Spec) error {
	rev, err := admin.Edit(ctx, w.Editor, object.KindSelector, s.Caller, func(p *object.Selector) {
		*p = s.Policy
		p.Caller, p.Service = s.Caller, s.Service
	})
	if err != nil {
		return err
	}
	w.Specs = append(w.Specs, *s)
	return w.InForce(ctx, rev)
}

// kept adds the checks of an experiment in which nothing may be lost.
func (e *Env) kept(l *world.Load, name string) {
	e.phase(l, name)
	e.Report.zero(name+": refused", l.Tally().Refused)
}

// A disturbance runs a load while something is done to a world.
type disturbance struct {
	name string
	act  func(ctx context.Context, w *world.World) error
}

func (e *Env) disturb(ctx context.Context, d disturbance) error {
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, planner())
	if err != nil {
		return err
	}
	defer w.Close()
	l := load(w, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, 2*time.Second)
	l.Reset()
	done := make(chan struct{})
	go (&side{load: l, length: time.Hour, done: done}).run(ctx)
	err = d.act(ctx, w)
	l.Halt()
	<-done
	e.kept(l, d.name)
	e.Report.upstreams(w)
	return err
}

// roll rolls index versions and layouts under load.
func roll() Experiment {
	return Experiment{
		Name:   "roll",
		Help:   "index versions and layouts roll under load",
		Values: []Pair{{"daemons", "4"}, {"rate", "60"}},
		Run: func(ctx context.Context, e *Env) error {
			return e.disturb(ctx, disturbance{name: "roll", act: rollAll})
		},
	}
}

func rollAll(ctx context.Context, w *world.World) error {
	for range 2 {
		for _, h := range w.Hosts {
			h.AdvanceVersion()
			time.Sleep(30 * time.Millisecond)
		}
	}
	next := planner()
	next.Shards = 15
	if err := w.AddService(ctx, next); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	_, err := w.Editor.Remove(ctx, object.KindLayout, object.LayoutName(next.Service, 1))
	time.Sleep(2 * time.Second)
	return err
}

// restart restarts all daemons in turn under load.
func restart() Experiment {
	return Experiment{
		Name:   "restart",
		Help:   "every daemon replaced in turn under load",
		Values: []Pair{{"daemons", "6"}, {"rate", "60"}},
		Run: func(ctx context.Context, e *Env) error {
			return e.disturb(ctx, disturbance{name: "restart", act: replaceAll})
		},
	}
}

func replaceAll(_ context.Context, w *world.World) error {
	for _, n := range w.Nodes {
		if err := w.LeaveNode(n); err != nil {
			return err
		}
		if err := w.StartNode(n); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

// outage takes the store away for the run's middle half.
func outage() Experiment {
	return Experiment{
		Name:   "outage",
		Help:   "the store is gone for the run's middle half, and a daemon is replaced meanwhile",
		Values: []Pair{{"daemons", "6"}, {"rate", "60"}, {"seconds", "8"}},
		Run: func(ctx context.Context, e *Env) error {
			return e.disturb(ctx, disturbance{name: "outage", act: func(_ context.Context, w *world.World) error {
				quarter := e.seconds("seconds") / 4
				time.Sleep(quarter)
				w.Store.SetFaults(fakes.StoreFaults{Down: true})
				err := w.LeaveNode(w.Nodes[1])
				if err == nil {
					err = w.StartNode(w.Nodes[1])
				}
				time.Sleep(2 * quarter)
				w.Store.SetFaults(fakes.StoreFaults{})
				time.Sleep(quarter)
				return err
			}})
		},
	}
}

// twice books under every fault and counts executions.
func twice() Experiment {
	return Experiment{
		Name:   "twice",
		Help:   "bookings, each tried three times, while the store and searchers fail",
		Values: []Pair{{"daemons", "4"}, {"keys", "60"}, {"lose", "0.5"}},
		Run:    runTwice,
	}
}

func runTwice(ctx context.Context, e *Env) error {
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, planner())
	if err != nil {
		return err
	}
	defer w.Close()
	l := load(w, "kpakpo", 60, e.Seed)
	l.Run(ctx, 2*time.Second)
	w.Store.SetFaults(fakes.StoreFaults{LoseReplies: e.value("lose")})
	for i, h := range w.Hosts {
		h.UpdateBehavior(func(n *fakes.SearcherBehavior) { n.ResetConn, n.WrongRequest = i%5 == 0, i%7 == 0 })
	}
	b := &bookings{world: w}
	for i := range e.int("keys") {
		b.work.Add(1)
		go (&bookingTries{all: b, number: i}).run(ctx)
	}
	b.work.Wait()
	e.Report.zero("keys executed more than once", b.twice)
	e.Report.zero("keys executed though every try was told that it was not run", b.untrue)
	e.Report.zero("keys said to be done and not executed", b.lost)
	e.Report.figure("keys done", float64(b.done), "keys")
	return nil
}

// bookings are the record of the experiment.
type bookings struct {
	world *world.World
	work  sync.WaitGroup

	mu     sync.Mutex
	twice  int
	untrue int
	lost   int
	done   int
}

// bookingTries tries one key three times.
type bookingTries struct {
	all    *bookings
	number int
}

func (t *bookingTries) run(ctx context.Context) {
	defer t.all.work.Done()
	w := t.all.world
	key := fmt.Sprintf("key-%d", t.number)
	done, unrun := false, true
	for try := range 3 {
		n := w.Nodes[(t.number+try)%len(w.Nodes)]
		_, err := w.Caller(n).Book(ctx, &query.Booking{Caller: "kpakpo", Key: key, Item: fmt.Sprintf("floor-%d", t.number)})
		var refusal *query.Refusal
		done = done || err == nil
		unrun = unrun && errors.As(err, &refusal) && refusal.Run == query.RunNone
	}
	executed := runs(w, key)
	t.all.mu.Lock()
	defer t.all.mu.Unlock()
	if executed > 1 {
		t.all.twice++
	}
	if unrun && executed > 0 {
		t.all.untrue++
	}
	if done {
		t.all.done++
	}
	if done && executed == 0 {
		t.all.lost++
	}
}
