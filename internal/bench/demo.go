package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/world"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// demo is the whole system at today's size, with maintenance under load.
func demo() Experiment {
	return Experiment{
		Name:   "demo",
		Help:   "both users' services, a domain out and back, a daemon replaced, bookings",
		Values: []Pair{{"daemons", "6"}, {"rate", "60"}, {"seconds", "3"}},
		Run:    runDemo,
	}
}

func runDemo(ctx context.Context, e *Env) error {
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, planner(), desk())
	if err != nil {
		return err
	}
	defer w.Close()
	d := &demonstration{env: e, world: w}
	for _, caller := range []string{"kpakpo", "trust"} {
		d.loads = append(d.loads, load(w, caller, e.value("rate"), e.Seed))
	}
	for _, p := range []struct {
		name string
		act  func(context.Context) error
	}{
		{"start", nothing},
		{"steady", nothing},
		{"domain out", d.out},
		{"domain back", d.back},
		{"daemon replaced", d.replace},
		{"bookings", d.book},
	} {
		if err := d.phase(ctx, p.name, p.act); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	e.Report.upstreams(w)
	return nil
}

func nothing(context.Context) error {
	return nil
}

// A demonstration is one run of the demo.
type demonstration struct {
	env   *Env
	world *world.World
	loads []*world.Load
}

// phase acts while both classes send, and checks their answers.
func (d *demonstration) phase(ctx context.Context, name string, act func(context.Context) error) error {
	var work sync.WaitGroup
	for _, l := range d.loads {
		l.Reset()
		work.Add(1)
		go (&runner{load: l, work: &work, length: d.env.seconds("seconds")}).run(ctx)
	}
	err := act(ctx)
	work.Wait()
	r := d.env.Report
	for _, l := range d.loads {
		t := l.Tally()
		title := name + ", " + l.Caller
		r.promises(title, t)
		r.zero(title+": refused", t.Refused)
		r.figure(title+": p50", ms(l.Quantile(0.5)), "ms")
		r.figure(title+": p99", ms(l.Quantile(0.99)), "ms")
		r.figure(title+": coverage", 100*t.Coverage(), "%")
	}
	return err
}

// A runner runs one load for a time.
type runner struct {
	load   *world.Load
	work   *sync.WaitGroup
	length time.Duration
}

func (r *runner) run(ctx context.Context) {
	defer r.work.Done()
	r.load.Run(ctx, r.length)
}

// outDomain is the domain of the demo that is taken out.
const outDomain = "kumasi"

func (d *demonstration) out(ctx context.Context) error {
	rev, err := d.world.Label(ctx, "domain/"+outDomain, "state", "out")
	if err != nil {
		return err
	}
	begun := time.Now()
	if err := d.world.InForce(ctx, rev); err != nil {
		return err
	}
	d.env.Report.most("domain out: in force", time.Since(begun).Seconds(), 5, " s")
	return nil
}

func (d *demonstration) back(ctx context.Context) error {
	last := lastWork(d.world, outDomain)
	d.env.Report.is("domain out: no work at the end", time.Since(last) > d.env.seconds("seconds")/4, "none in the last quarter", time.Since(last).Round(time.Millisecond).String()+" ago")
	_, err := d.world.Label(ctx, "domain/"+outDomain, "state", "in")
	return err
}

// lastWork returns when a searcher of a domain last got a part.
func lastWork(w *world.World, domain string) time.Time {
	var last time.Time
	for _, h := range w.Hosts {
		if h.Domain == domain {
			if t := h.Stats().LastArrival; t.After(last) {
				last = t
			}
		}
	}
	return last
}

func (d *demonstration) replace(context.Context) error {
	n := d.world.Nodes[0]
	if err := d.world.LeaveNode(n); err != nil {
		return err
	}
	return d.world.StartNode(n)
}

// book books some items, each twice through different entries.
func (d *demonstration) book(ctx context.Context) error {
	const items = 20
	wrong := 0
	for i := range items {
		req := query.Booking{Caller: "kpakpo", Item: fmt.Sprintf("floor-%d", i), Key: fmt.Sprintf("key-%d", i)}
		for try := range 2 {
			n := d.world.Nodes[(i+try+1)%len(d.world.Nodes)]
			if b, err := d.world.Caller(n).Book(ctx, &req); err != nil || !b.Done {
				wrong++
			}
		}
		if runs(d.world, req.Key) != 1 {
			wrong++
		}
	}
	d.env.Report.zero("bookings not run exactly once", wrong)
	return nil
}

// runs returns how often the searchers executed a booking.
func runs(w *world.World, key string) int {
	n := 0
	for _, h := range w.Hosts {
		n += h.Executions(key)
	}
	return n
}
