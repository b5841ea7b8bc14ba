package bench

import (
	"context"
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/testbed"
)

// Bounds of tail latency and its cost, from the system's target.
const (
	tailBound  = 1.5 // ratio of p99 with slow replicas to p99 without
	extraBound = 5   // percent of extra shard requests at the upstreams
)

// straggle compares replica choice and hedging policies with slow replicas.
func straggle() Experiment {
	return Experiment{
		Name:     "straggle",
		Help:     "1 in 100 shard requests 10 times slower, one searcher 5 times slower, another at intervals",
		Settings: []Setting{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}, {"stretch", "10"}, {"often", "0.01"}, {"slow", "5"}},
		Run:      runStraggle,
	}
}

// A variant is a named policy that the experiment straggle compares.
type variant struct {
	name   string
	policy func(*relay.Policy)
	hedge  int // extra shard requests allowed, in percent
}

func runStraggle(ctx context.Context, e *Env) error {
	variants := []variant{
		{name: "random replica, no hedge", policy: func(p *relay.Policy) { p.RandomReplica, p.NoHedge = true, true }},
		{name: "two choices, no hedge", policy: func(p *relay.Policy) { p.NoHedge = true }},
		{name: "random replica, hedge", policy: func(p *relay.Policy) { p.RandomReplica = true }, hedge: 4},
		{name: "losers cancelled", policy: func(p *relay.Policy) { p.CancelSlower = true }, hedge: 4},
		{name: "system", policy: func(*relay.Policy) {}, hedge: 4},
	}
	for i, v := range variants {
		if err := e.runVariant(ctx, v, i == len(variants)-1); err != nil {
			return err
		}
	}
	return nil
}

// runVariant measures a policy first with healthy replicas (clean) and then with
// slow ones (bad). Only the candidate, which is the system's own policy, is checked
// against the bounds.
func (e *Env) runVariant(ctx context.Context, v variant, candidate bool) error {
	s := plannerSpec()
	s.Selector.HedgePercent = v.hedge
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), func(sys *testbed.System) { sys.RelayPolicy = v.policy }, s)
	if err != nil {
		return err
	}
	defer sys.Close()
	sys.Warm()
	l := newLoad(sys, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("seconds"))
	l.Reset()
	l.Run(ctx, e.seconds("seconds"))
	clean := l.Quantile(0.99)

	straggler := &straggler{env: e, sys: sys, stop: make(chan struct{}), done: make(chan struct{})}
	go straggler.run()
	l.Reset()
	before := sys.Totals("").Executed
	l.Run(ctx, e.seconds("seconds"))
	straggler.end()
	bad := l.Quantile(0.99)
	t := l.Stats()
	extra := 100 * (float64(sys.Totals("").Executed-before)/float64(t.Sent*s.Shards) - 1)

	r := e.Report
	r.addFigure(v.name+": clean p99", ms(clean), "ms")
	r.addFigure(v.name+": bad p50", ms(l.Quantile(0.5)), "ms")
	r.addFigure(v.name+": bad p99", ms(bad), "ms")
	r.addFigure(v.name+": bad p99.9", ms(l.Quantile(0.999)), "ms")
	r.addFigure(v.name+": extra requests", extra, "%")
	if !candidate {
		return nil
	}
	r.checkAtMost("p99 of the bad day over the clean day", ms(bad)/ms(clean), tailBound, "")
	r.checkAtMost("extra requests", extra, extraBound, "%")
	r.checkAtLeast("coverage", 100*t.Coverage(), 100, "%")
	r.checkAnswers("bad day", t)
	return nil
}

// A straggler slows searchers down until it is stopped.
type straggler struct {
	env  *Env
	sys  *testbed.System
	stop chan struct{}
	done chan struct{}
}

// run makes a share of all shard requests outliers, keeps one searcher slow, and
// makes another slow in every second half-second.
func (s *straggler) run() {
	defer close(s.done)
	for _, h := range s.sys.Upstreams {
		h.UpdateBehavior(func(n *fakes.SearcherBehavior) {
			n.OutlierFactor, n.OutlierShare = s.env.int("stretch"), s.env.value("often")
		})
	}
	s.sys.Upstreams[4].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Slowdown = s.env.int("slow") })
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for slow := 1; ; slow = s.env.int("slow") + 1 - slow {
		s.sys.Upstreams[13].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Slowdown = slow })
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
	}
}

func (s *straggler) end() {
	close(s.stop)
	<-s.done
}

// cold restarts searchers under load, so that they are cold.
func cold() Experiment {
	return Experiment{
		Name:     "cold",
		Help:     "under load, one searcher restarts unannounced, then a domain, then all searchers",
		Settings: []Setting{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}},
		Run:      runCold,
	}
}

func runCold(ctx context.Context, e *Env) error {
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, plannerSpec())
	if err != nil {
		return err
	}
	defer sys.Close()
	l := newLoad(sys, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("seconds"))
	l.Reset()
	l.Run(ctx, e.seconds("seconds"))
	e.reportLoad(l, "before")
	for _, p := range []struct {
		name    string
		affects func(h *testbed.Upstream) bool
	}{
		{"one searcher", func(h *testbed.Upstream) bool { return h.Address == sys.Upstreams[0].Address }},
		{"one domain", func(h *testbed.Upstream) bool { return h.Domain == outDomain }},
		{"all searchers", func(*testbed.Upstream) bool { return true }},
	} {
		before := sys.Totals("").ColdOverloads
		for _, h := range sys.Upstreams {
			if p.affects(h) {
				h.Restart()
			}
		}
		l.Reset()
		l.Run(ctx, e.seconds("seconds"))
		e.reportLoad(l, p.name+" cold")
		e.Report.checkZero(p.name+" cold: given more than it bears", sys.Totals("").ColdOverloads-before)
	}
	e.Report.checkUpstreams(sys)
	return nil
}

// reportLoad adds a load's figures and the checks that every load must pass.
func (e *Env) reportLoad(l *testbed.Load, name string) {
	t := l.Stats()
	e.Report.addFigure(name+": p50", ms(l.Quantile(0.5)), "ms")
	e.Report.addFigure(name+": p99", ms(l.Quantile(0.99)), "ms")
	e.Report.addFigure(name+": coverage", 100*t.Coverage(), "%")
	e.Report.addFigure(name+": refused", float64(t.Refused), "queries")
	e.Report.checkAnswers(name, t)
}

// domain takes a failure domain out of rotation and back under load.
func domain() Experiment {
	return Experiment{
		Name:     "domain",
		Help:     "a failure domain out and back under load",
		Settings: []Setting{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}},
		Run:      runDomain,
	}
}

// lastWorkBound is the time in seconds after which a domain that is taken out of
// rotation may receive no new work.
const lastWorkBound = 3

func runDomain(ctx context.Context, e *Env) error {
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, plannerSpec())
	if err != nil {
		return err
	}
	defer sys.Close()
	l := newLoad(sys, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("seconds"))
	for _, state := range []string{"before", "out", "in"} {
		begun := time.Now()
		if state != "before" {
			if _, err := sys.SetLabel(ctx, "domain/"+outDomain, "state", state); err != nil {
				return err
			}
		}
		l.Reset()
		l.Run(ctx, e.seconds("seconds"))
		e.reportLoad(l, state)
		t := l.Stats()
		e.Report.checkZero(state+": queries lost", t.Refused+t.Failed)
		e.Report.checkAtLeast(state+": coverage", 100*t.Coverage(), 100, "%")
		if state == "out" {
			last := max(lastArrival(sys, outDomain).Sub(begun), 0)
			e.Report.checkAtMost("seconds until the last new work", last.Seconds(), lastWorkBound, " s")
		}
	}
	e.Report.checkUpstreams(sys)
	return nil
}

// over loads the searchers beyond their capacity.
func over() Experiment {
	return Experiment{
		Name:     "over",
		Help:     "2 and 5 times the searchers' capacity from one class, with a light load from another",
		Settings: []Setting{{"daemons", "4"}, {"seconds", "4"}, {"work", "0.02"}, {"light", "10"}},
		Run:      runOver,
	}
}

// Bounds under overload, from the system's target.
const (
	usefulBound   = 90 // percent of the capacity spent on complete answers
	refusalBound  = 10 // median time until a refusal, in milliseconds
	recoveryBound = 5  // seconds from the end of the overload until no query is refused
)

func runOver(ctx context.Context, e *Env) error {
	s := plannerSpec()
	s.Shards = 4
	s.Cell = 2
	s.Behavior.Slots = 2
	s.Behavior.MaxConns = 12
	s.Behavior.ServiceTime = e.seconds("work")
	s.Behavior.Jitter = 0
	s.Selector.MaxInFlight = 24
	s.Selector.MaxQueued = 24
	light := s
	light.Caller = "light"
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, s)
	if err != nil {
		return err
	}
	defer sys.Close()
	if err := addSelector(ctx, sys, &light); err != nil {
		return err
	}
	sys.Warm()
	capacity := float64(len(s.Domains)*s.Behavior.Slots) / e.value("work")
	calm := newLoad(sys, "kpakpo", capacity/2, e.Seed)
	calm.Run(ctx, e.seconds("seconds"))
	e.reportLoad(calm, "half load")
	for _, times := range []float64{2, 5} {
		if err := e.overload(ctx, sys, times, capacity); err != nil {
			return err
		}
	}
	time.Sleep(recoveryBound * time.Second / 2)
	after := newLoad(sys, "kpakpo", capacity/2, e.Seed+2)
	after.Run(ctx, e.seconds("seconds"))
	e.reportLoad(after, "after")
	e.Report.checkZero("after: refused", after.Stats().Refused)
	return nil
}

// overload sends factor times the capacity in one caller class and a light load in
// another, and checks that the light one is not refused.
func (e *Env) overload(ctx context.Context, sys *testbed.System, factor, capacity float64) error {
	heavy := newLoad(sys, "kpakpo", factor*capacity, e.Seed)
	refusals := &refusalTimes{}
	heavy.OnReply = refusals.record
	light := newLoad(sys, "light", e.value("light"), e.Seed+1)
	lightDone := make(chan struct{})
	go (&backgroundLoad{load: light, length: e.seconds("seconds"), done: lightDone}).run(ctx)
	heavy.Run(ctx, e.seconds("seconds"))
	<-lightDone
	name := fmt.Sprintf("%g times", factor)
	e.reportLoad(heavy, name+" heavy")
	e.reportLoad(light, name+" light")
	useful := 100 * float64(heavy.Stats().Complete+light.Stats().Complete) / e.seconds("seconds").Seconds() / capacity
	e.Report.checkAtLeast(name+": useful work", useful, usefulBound, "%")
	e.Report.checkZero(name+": light refused", light.Stats().Refused)
	e.Report.checkAtMost(name+": refusals' median time", ms(refusals.median()), refusalBound, " ms")
	return nil
}

// A backgroundLoad is a load that runs in parallel with another.
type backgroundLoad struct {
	load   *testbed.Load
	length time.Duration
	done   chan struct{}
}

func (s *backgroundLoad) run(ctx context.Context) {
	defer close(s.done)
	s.load.Run(ctx, s.length)
}
