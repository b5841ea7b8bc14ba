package bench

import (
	"context"
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/world"
)

// Bounds of the tail, from the target.
const (
	tailBound  = 1.5 // p99 of a bad day over p99 of a clean one
	extraBound = 5   // percent of extra requests at the upstreams
)

// straggle compares policies against slow replicas.
func straggle() Experiment {
	return Experiment{
		Name:   "straggle",
		Help:   "1 in 100 parts 10 times slow, one searcher 5 times slow, one now and then",
		Values: []Pair{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}, {"stretch", "10"}, {"often", "0.01"}, {"slow", "5"}},
		Run:    runStraggle,
	}
}

// A variant is one policy of an experiment.
type variant struct {
	name   string
	policy func(*relay.Policy)
	hedge  int // percent
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
		if err := e.straggleVariant(ctx, v, i == len(variants)-1); err != nil {
			return err
		}
	}
	return nil
}

// straggleVariant measures a clean day and a bad one under one policy. Only the
// candidate is held to the bounds.
func (e *Env) straggleVariant(ctx context.Context, v variant, candidate bool) error {
	s := planner()
	s.Policy.Hedge = v.hedge
	w, err := build(ctx, e.Seed, e.int("daemons"), func(w *world.World) { w.Policy = v.policy }, s)
	if err != nil {
		return err
	}
	defer w.Close()
	w.Warm()
	l := load(w, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("seconds"))
	l.Reset()
	l.Run(ctx, e.seconds("seconds"))
	clean := l.Quantile(0.99)

	straggler := &straggler{env: e, world: w, stop: make(chan struct{}), done: make(chan struct{})}
	go straggler.run()
	l.Reset()
	before := w.Totals("").Executed
	l.Run(ctx, e.seconds("seconds"))
	straggler.end()
	bad := l.Quantile(0.99)
	t := l.Tally()
	extra := 100 * (float64(w.Totals("").Executed-before)/float64(t.Sent*s.Shards) - 1)

	r := e.Report
	r.figure(v.name+": clean p99", ms(clean), "ms")
	r.figure(v.name+": bad p50", ms(l.Quantile(0.5)), "ms")
	r.figure(v.name+": bad p99", ms(bad), "ms")
	r.figure(v.name+": bad p99.9", ms(l.Quantile(0.999)), "ms")
	r.figure(v.name+": extra requests", extra, "%")
	if !candidate {
		return nil
	}
	r.most("p99 of the bad day over the clean day", ms(bad)/ms(clean), tailBound, "")
	r.most("extra requests", extra, extraBound, "%")
	r.least("coverage", 100*t.Coverage(), 100, "%")
	r.promises("bad day", t)
	return nil
}

// A straggler makes searchers slow.
type straggler struct {
	env   *Env
	world *world.World
	stop  chan struct{}
	done  chan struct{}
}

// run makes one searcher slow throughout and another now and then.
func (s *straggler) run() {
	defer close(s.done)
	for _, h := range s.world.Hosts {
		h.UpdateBehavior(func(n *fakes.SearcherBehavior) {
			n.OutlierFactor, n.OutlierShare = s.env.int("stretch"), s.env.value("often")
		})
	}
	s.world.Hosts[4].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Slowdown = s.env.int("slow") })
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for slow := 1; ; slow = s.env.int("slow") + 1 - slow {
		s.world.Hosts[13].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Slowdown = slow })
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

// cold restarts searchers under load.
func cold() Experiment {
	return Experiment{
		Name:   "cold",
		Help:   "a searcher restarts in silence, then a whole domain, under load",
		Values: []Pair{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}},
		Run:    runCold,
	}
}

func runCold(ctx context.Context, e *Env) error {
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, planner())
	if err != nil {
		return err
	}
	defer w.Close()
	l := load(w, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("seconds"))
	l.Reset()
	l.Run(ctx, e.seconds("seconds"))
	e.phase(l, "before")
	for _, p := range []struct {
		name string
		hit  func(h *world.Host) bool
	}{
		{"one searcher", func(h *world.Host) bool { return h.Address == w.Hosts[0].Address }},
		{"one domain", func(h *world.Host) bool { return h.Domain == outDomain }},
		{"all searchers", func(*world.Host) bool { return true }},
	} {
		before := w.Totals("").ColdOverloads
		for _, h := range w.Hosts {
			if p.hit(h) {
				h.Restart()
			}
		}
		l.Reset()
		l.Run(ctx, e.seconds("seconds"))
		e.phase(l, p.name+" cold")
		e.Report.zero(p.name+" cold: given more than it bears", w.Totals("").ColdOverloads-before)
	}
	e.Report.upstreams(w)
	return nil
}

// phase adds a load's figures and the checks that every load must pass.
func (e *Env) phase(l *world.Load, name string) {
	t := l.Tally()
	e.Report.figure(name+": p50", ms(l.Quantile(0.5)), "ms")
	e.Report.figure(name+": p99", ms(l.Quantile(0.99)), "ms")
	e.Report.figure(name+": coverage", 100*t.Coverage(), "%")
	e.Report.figure(name+": refused", float64(t.Refused), "queries")
	e.Report.promises(name, t)
}

// domain takes a failure domain out and back under load.
func domain() Experiment {
	return Experiment{
		Name:   "domain",
		Help:   "a failure domain out and back under load",
		Values: []Pair{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}},
		Run:    runDomain,
	}
}

// quietBound is the time after which a domain that is out gets no work, in seconds.
const quietBound = 3

func runDomain(ctx context.Context, e *Env) error {
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, planner())
	if err != nil {
		return err
	}
	defer w.Close()
	l := load(w, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("seconds"))
	for _, state := range []string{"before", "out", "in"} {
		begun := time.Now()
		if state != "before" {
			if _, err := w.Label(ctx, "domain/"+outDomain, "state", state); err != nil {
				return err
			}
		}
		l.Reset()
		l.Run(ctx, e.seconds("seconds"))
		e.phase(l, state)
		t := l.Tally()
		e.Report.zero(state+": queries lost", t.Refused+t.Failed)
		e.Report.least(state+": coverage", 100*t.Coverage(), 100, "%")
		if state == "out" {
			last := max(lastWork(w, outDomain).Sub(begun), 0)
			e.Report.most("seconds until the last new work", last.Seconds(), quietBound, " s")
		}
	}
	e.Report.upstreams(w)
	return nil
}

// over loads the searchers beyond what they bear.
func over() Experiment {
	return Experiment{
		Name:   "over",
		Help:   "2 and 5 times the load that the searchers bear, with a light class beside",
		Values: []Pair{{"daemons", "4"}, {"seconds", "4"}, {"work", "0.02"}, {"light", "10"}},
		Run:    runOver,
	}
}

// Bounds under overload, from the target.
const (
	usefulBound = 90 // percent of the capacity
	refuseBound = 10 // milliseconds until a refusal
	returnBound = 5  // seconds until all is well after the load falls
)

func runOver(ctx context.Context, e *Env) error {
	s := planner()
	s.Shards = 4
	s.Cell = 2
	s.Nature.Slots = 2
	s.Nature.MaxConns = 12
	s.Nature.ServiceTime = e.seconds("work")
	s.Nature.Jitter = 0
	s.Policy.Flight = 24
	s.Policy.Queue = 24
	light := s
	light.Caller = "light"
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, s)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := addSelector(ctx, w, &light); err != nil {
		return err
	}
	w.Warm()
	capacity := float64(len(s.Domains)*s.Nature.Slots) / e.value("work")
	calm := load(w, "kpakpo", capacity/2, e.Seed)
	calm.Run(ctx, e.seconds("seconds"))
	e.phase(calm, "half load")
	for _, times := range []float64{2, 5} {
		if err := e.overload(ctx, w, times, capacity); err != nil {
			return err
		}
	}
	time.Sleep(returnBound * time.Second / 2)
	after := load(w, "kpakpo", capacity/2, e.Seed+2)
	after.Run(ctx, e.seconds("seconds"))
	e.phase(after, "after")
	e.Report.zero("after: refused", after.Tally().Refused)
	return nil
}

// overload sends a multiple of the capacity in one class and a little in another.
func (e *Env) overload(ctx context.Context, w *world.World, times, capacity float64) error {
	heavy := load(w, "kpakpo", times*capacity, e.Seed)
	refusals := &refusals{}
	heavy.Every = refusals.note
	thin := load(w, "light", e.value("light"), e.Seed+1)
	work := make(chan struct{})
	go (&side{load: thin, length: e.seconds("seconds"), done: work}).run(ctx)
	heavy.Run(ctx, e.seconds("seconds"))
	<-work
	name := fmt.Sprintf("%g times", times)
	e.phase(heavy, name+" heavy")
	e.phase(thin, name+" light")
	useful := 100 * float64(heavy.Tally().Whole+thin.Tally().Whole) / e.seconds("seconds").Seconds() / capacity
	e.Report.least(name+": useful work", useful, usefulBound, "%")
	e.Report.zero(name+": light refused", thin.Tally().Refused)
	e.Report.most(name+": refusals' median time", ms(refusals.median()), refuseBound, " ms")
	return nil
}

// A side is a load that runs beside another.
type side struct {
	load   *world.Load
	length time.Duration
	done   chan struct{}
}

func (s *side) run(ctx context.Context) {
	defer close(s.done)
	s.load.Run(ctx, s.length)
}
