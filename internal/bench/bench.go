package bench

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/world"
)

// A Config is what a run is told.
type Config struct {
	Seed uint64
	Set  []Pair // values that take the place of an experiment's own
}

// A Pair is one value of a Config.
type Pair struct {
	Key   string
	Value string
}

// ParsePairs reads values, each KEY=VALUE.
func ParsePairs(texts []string) ([]Pair, error) {
	var out []Pair
	for _, t := range texts {
		key, value, ok := strings.Cut(t, "=")
		if !ok {
			return nil, fmt.Errorf("--set %q is not KEY=VALUE", t)
		}
		out = append(out, Pair{Key: key, Value: value})
	}
	return out, nil
}

// An Experiment is one named run.
type Experiment struct {
	Name   string
	Help   string
	Values []Pair // that Set may change, with their defaults
	Run    func(ctx context.Context, e *Env) error
}

// An Env is what an experiment runs in.
type Env struct {
	Seed   uint64
	Report *Report
	values []Pair
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		demo(), path(), straggle(), cold(), domain(), over(), roll(), restart(), outage(), twice(), control(), mergeCost(),
	}
}

// Find returns the experiment of that name.
func Find(name string) (Experiment, error) {
	for _, x := range Experiments() {
		if x.Name == name {
			return x, nil
		}
	}
	return Experiment{}, fmt.Errorf("no experiment %q; --list names them", name)
}

// Run runs an experiment. The error says that it could not be run to its end;
// checks that failed stand in the report.
func Run(ctx context.Context, x Experiment, cfg Config) (*Report, error) {
	e := &Env{Seed: cfg.Seed, Report: &Report{Name: x.Name, Seed: cfg.Seed}, values: append([]Pair{}, x.Values...)}
	for _, p := range cfg.Set {
		if err := e.set(p); err != nil {
			return nil, err
		}
	}
	if err := x.Run(ctx, e); err != nil {
		return e.Report, fmt.Errorf("experiment %s: %w", x.Name, err)
	}
	e.Report.finish()
	return e.Report, nil
}

func (e *Env) set(p Pair) error {
	for i := range e.values {
		if e.values[i].Key != p.Key {
			continue
		}
		if _, err := strconv.ParseFloat(p.Value, 64); err != nil {
			return fmt.Errorf("--set %s: %q is not a number", p.Key, p.Value)
		}
		e.values[i].Value = p.Value
		return nil
	}
	keys := make([]string, 0, len(e.values))
	for _, v := range e.values {
		keys = append(keys, v.Key)
	}
	return fmt.Errorf("--set %s: the experiment has only %s", p.Key, strings.Join(keys, ", "))
}

// value returns a value that the experiment declares.
func (e *Env) value(key string) float64 {
	for _, v := range e.values {
		if v.Key == key {
			f, err := strconv.ParseFloat(v.Value, 64)
			if err != nil {
				panic("bench: default of " + key + " is not a number")
			}
			return f
		}
	}
	panic("bench: no value " + key)
}

func (e *Env) int(key string) int {
	return int(e.value(key))
}

// seconds returns a value as a time.
func (e *Env) seconds(key string) time.Duration {
	return time.Duration(e.value(key) * float64(time.Second))
}

// Domains of the two users.
var (
	ghana   = []string{"accra", "kumasi", "takoradi"}
	nigeria = []string{"lagos", "kano", "enugu"}
)

// planner is Kpakpo's planner catalogue at today's size.
func planner() world.Spec {
	return world.Spec{
		Service: "planner",
		Caller:  "kpakpo",
		Docs:    2000,
		Shards:  10,
		Cell:    5,
		Blocks:  3,
		Domains: ghana,
		Nature:  fakes.SearcherBehavior{Slots: 4, MaxConns: 35, ServiceTime: 4 * time.Millisecond, Jitter: 2 * time.Millisecond, DialDelay: 6 * time.Millisecond, RampStep: 10},
		Policy:  object.Selector{Deadline: 1000, Early: 120, Floor: 70, Hedge: 4, Tries: 3},
	}
}

// desk is the Trust's curator desk at today's size.
func desk() world.Spec {
	s := planner()
	s.Service = "desk"
	s.Caller = "trust"
	s.Domains = nigeria
	s.Nature.Slots = 2
	s.Nature.MaxConns = 25
	s.Policy = object.Selector{Deadline: 2000, Floor: 90, Hedge: 4, Tries: 4}
	return s
}

// startWait bounds the time until a world is ready.
const startWait = 20 * time.Second

// build starts a world with services and so many daemons in their domains.
func build(ctx context.Context, seed uint64, daemons int, change func(*world.World), specs ...world.Spec) (*world.World, error) {
	w, err := world.New(seed, nil)
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(w)
	}
	if err := fill(ctx, w, daemons, specs); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func fill(ctx context.Context, w *world.World, daemons int, specs []world.Spec) error {
	for _, s := range specs {
		if err := w.AddService(ctx, s); err != nil {
			return err
		}
	}
	domains := specs[0].Domains
	for i := range daemons {
		n, err := w.AddNode(domains[i%len(domains)])
		if err != nil {
			return err
		}
		if err := w.StartNode(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	return w.Ready(ctx)
}

// load returns a load of one class.
func load(w *world.World, caller string, rate float64, seed uint64) *world.Load {
	return &world.Load{World: w, Judge: &world.Judge{World: w}, Caller: caller, Rate: rate, Top: 10, Seed: seed}
}

// promises adds the checks that every load must pass.
func (r *Report) promises(name string, t world.LoadTally) {
	r.zero(name+": untrue answers", t.Untrue)
	r.zero(name+": requests without answer or refusal", t.Failed)
	if t.First != "" {
		r.is(name+": first trouble", t.Untrue+t.Failed == 0, "none that counts", t.First)
	}
}

// upstreams adds the checks that every upstream must pass.
func (r *Report) upstreams(w *world.World) {
	t := w.Totals("")
	r.zero("cold upstreams given more than they bear", t.ColdOverloads)
	r.zero("connections above an upstream's cap", t.ConnsRejected)
}
