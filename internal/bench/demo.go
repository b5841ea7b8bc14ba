package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/testbed"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// demo runs the whole system at its current size, with maintenance under load.
func demo() Experiment {
	return Experiment{
		Name:     "demo",
		Help:     "both users' services, a domain out and back, a daemon replaced, bookings",
		Settings: []Setting{{"daemons", "6"}, {"rate", "60"}, {"seconds", "3"}},
		Run:      runDemo,
	}
}

func runDemo(ctx context.Context, e *Env) error {
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, plannerSpec(), deskSpec())
	if err != nil {
		return err
	}
	defer sys.Close()
	d := &demoRun{env: e, sys: sys}
	for _, caller := range []string{"kpakpo", "trust"} {
		d.loads = append(d.loads, newLoad(sys, caller, e.value("rate"), e.Seed))
	}
	for _, p := range []struct {
		name string
		act  func(context.Context) error
	}{
		{"start", noAction},
		{"steady", noAction},
		{"domain out", d.takeDomainOut},
		{"domain back", d.bringDomainBack},
		{"daemon replaced", d.replaceDaemon},
		{"bookings", d.book},
	} {
		if err := d.phase(ctx, p.name, p.act); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	e.Report.checkUpstreams(sys)
	return nil
}

func noAction(context.Context) error {
	return nil
}

// A demoRun is one run of the experiment demo.
type demoRun struct {
	env   *Env
	sys   *testbed.System
	loads []*testbed.Load
}

// phase calls act while both caller classes send, and checks their answers.
func (d *demoRun) phase(ctx context.Context, name string, act func(context.Context) error) error {
	var work sync.WaitGroup
	for _, l := range d.loads {
		l.Reset()
		work.Add(1)
		go (&loadRunner{load: l, wg: &work, length: d.env.seconds("seconds")}).run(ctx)
	}
	err := act(ctx)
	work.Wait()
	r := d.env.Report
	for _, l := range d.loads {
		t := l.Stats()
		title := name + ", " + l.Caller
		r.checkAnswers(title, t)
		r.checkZero(title+": refused", t.Refused)
		r.addFigure(title+": p50", ms(l.Quantile(0.5)), "ms")
		r.addFigure(title+": p99", ms(l.Quantile(0.99)), "ms")
		r.addFigure(title+": coverage", 100*t.Coverage(), "%")
	}
	return err
}

// A loadRunner runs one load for a given time.
type loadRunner struct {
	load   *testbed.Load
	wg     *sync.WaitGroup
	length time.Duration
}

func (r *loadRunner) run(ctx context.Context) {
	defer r.wg.Done()
	r.load.Run(ctx, r.length)
}

// outDomain is the failure domain that experiments take out of rotation or restart.
const outDomain = "kumasi"

func (d *demoRun) takeDomainOut(ctx context.Context) error {
	rev, err := d.sys.SetLabel(ctx, "domain/"+outDomain, "state", "out")
	if err != nil {
		return err
	}
	begun := time.Now()
	if err := d.sys.WaitApplied(ctx, rev); err != nil {
		return err
	}
	d.env.Report.checkAtMost("domain out: in force", time.Since(begun).Seconds(), 5, " s")
	return nil
}

func (d *demoRun) bringDomainBack(ctx context.Context) error {
	last := lastArrival(d.sys, outDomain)
	d.env.Report.check("domain out: no work at the end", time.Since(last) > d.env.seconds("seconds")/4, "none in the last quarter", time.Since(last).Round(time.Millisecond).String()+" ago")
	_, err := d.sys.SetLabel(ctx, "domain/"+outDomain, "state", "in")
	return err
}

// lastArrival returns when a searcher in a domain last received a shard request.
func lastArrival(sys *testbed.System, domain string) time.Time {
	var last time.Time
	for _, h := range sys.Upstreams {
		if h.Domain == domain {
			if t := h.Stats().LastArrival; t.After(last) {
				last = t
			}
		}
	}
	return last
}

func (d *demoRun) replaceDaemon(context.Context) error {
	n := d.sys.Nodes[0]
	if err := d.sys.StopNode(n); err != nil {
		return err
	}
	return d.sys.StartNode(n)
}

// book books some items, each twice with the same key through different daemons,
// and checks that each booking runs exactly once.
func (d *demoRun) book(ctx context.Context) error {
	const items = 20
	wrong := 0
	for i := range items {
		req := query.Booking{Caller: "kpakpo", Item: fmt.Sprintf("floor-%d", i), Key: fmt.Sprintf("key-%d", i)}
		for try := range 2 {
			n := d.sys.Nodes[(i+try+1)%len(d.sys.Nodes)]
			if b, err := d.sys.ClientOf(n).Book(ctx, &req); err != nil || !b.Done {
				wrong++
			}
		}
		if executions(d.sys, req.Key) != 1 {
			wrong++
		}
	}
	d.env.Report.checkZero("bookings not run exactly once", wrong)
	return nil
}

// executions returns how often the searchers ran the booking with a key.
func executions(sys *testbed.System, key string) int {
	n := 0
	for _, h := range sys.Upstreams {
		n += h.Executions(key)
	}
	return n
}
