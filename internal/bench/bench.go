package bench

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/testbed"
)

// A Config holds the options of a run.
type Config struct {
	Seed      uint64
	Overrides []Setting // replace the defaults of the experiment's settings
}

// A Setting is a named number that an experiment reads, such as a duration in
// seconds or a number of daemons.
type Setting struct {
	Key   string
	Value string
}

// ParseSettings parses settings, each in the form KEY=VALUE.
func ParseSettings(texts []string) ([]Setting, error) {
	var out []Setting
	for _, t := range texts {
		key, value, ok := strings.Cut(t, "=")
		if !ok {
			return nil, fmt.Errorf("--set %q is not KEY=VALUE", t)
		}
		out = append(out, Setting{Key: key, Value: value})
	}
	return out, nil
}

// An Experiment is a named scenario that fills in a Report.
type Experiment struct {
	Name     string
	Help     string
	Settings []Setting // with their defaults; Config.Overrides may change them
	Run      func(ctx context.Context, e *Env) error
}

// An Env gives an experiment its seed and settings, and collects its results.
type Env struct {
	Seed     uint64
	Report   *Report
	settings []Setting
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		demo(), path(), straggle(), cold(), domain(), over(), roll(), restart(), outage(), twice(), control(), mergeCost(),
	}
}

// Find returns the experiment with that name, or an error if there is none.
func Find(name string) (Experiment, error) {
	for _, x := range Experiments() {
		if x.Name == name {
			return x, nil
		}
	}
	return Experiment{}, fmt.Errorf("no experiment %q; --list names them", name)
}

// Run runs an experiment. It returns an error if a setting is invalid or if the
// experiment could not run to its end. Failed checks are not errors; they are in
// the report.
func Run(ctx context.Context, x Experiment, cfg Config) (*Report, error) {
	e := &Env{Seed: cfg.Seed, Report: &Report{Name: x.Name, Seed: cfg.Seed}, settings: append([]Setting{}, x.Settings...)}
	for _, p := range cfg.Overrides {
		if err := e.set(p); err != nil {
			return nil, err
		}
	}
	if err := x.Run(ctx, e); err != nil {
		return e.Report, fmt.Errorf("experiment %s: %w", x.Name, err)
	}
	e.Report.setPass()
	return e.Report, nil
}

func (e *Env) set(p Setting) error {
	for i := range e.settings {
		if e.settings[i].Key != p.Key {
			continue
		}
		if _, err := strconv.ParseFloat(p.Value, 64); err != nil {
			return fmt.Errorf("--set %s: %q is not a number", p.Key, p.Value)
		}
		e.settings[i].Value = p.Value
		return nil
	}
	keys := make([]string, 0, len(e.settings))
	for _, v := range e.settings {
		keys = append(keys, v.Key)
	}
	return fmt.Errorf("--set %s: the experiment has only the settings %s", p.Key, strings.Join(keys, ", "))
}

// value returns the value of a setting. It panics if the experiment does not
// declare the setting.
func (e *Env) value(key string) float64 {
	for _, v := range e.settings {
		if v.Key == key {
			f, err := strconv.ParseFloat(v.Value, 64)
			if err != nil {
				panic("bench: default of " + key + " is not a number")
			}
			return f
		}
	}
	panic("bench: no setting " + key)
}

func (e *Env) int(key string) int {
	return int(e.value(key))
}

// seconds returns a setting in seconds as a duration.
func (e *Env) seconds(key string) time.Duration {
	return time.Duration(e.value(key) * float64(time.Second))
}

// Failure domains of the two users of the system.
var (
	ghanaDomains   = []string{"accra", "kumasi", "takoradi"}
	nigeriaDomains = []string{"lagos", "kano", "enugu"}
)

// plannerSpec describes the planner catalogue of the user Kpakpo at its current size.
func plannerSpec() testbed.Spec {
	return testbed.Spec{
		Service:  "planner",
		Caller:   "kpakpo",
		Docs:     2000,
		Shards:   10,
		Cell:     5,
		Blocks:   3,
		Domains:  ghanaDomains,
		Behavior: fakes.SearcherBehavior{Slots: 4, MaxConns: 35, ServiceTime: 4 * time.Millisecond, Jitter: 2 * time.Millisecond, DialDelay: 6 * time.Millisecond, RampStep: 10},
		Selector: object.Selector{DeadlineMs: 1000, EarlyMs: 120, MinCoverage: 70, HedgePercent: 4, MaxAttempts: 3},
	}
}

// deskSpec describes the curator desk of the user Trust at its current size.
func deskSpec() testbed.Spec {
	s := plannerSpec()
	s.Service = "desk"
	s.Caller = "trust"
	s.Domains = nigeriaDomains
	s.Behavior.Slots = 2
	s.Behavior.MaxConns = 25
	s.Selector = object.Selector{DeadlineMs: 2000, MinCoverage: 90, HedgePercent: 4, MaxAttempts: 4}
	return s
}

// startWait bounds the time until a started system is ready.
const startWait = 20 * time.Second

// startSystem starts a system with the services of specs, and with daemons spread
// over the domains of the first one, and waits until it is ready. If change is not
// nil, it is called first.
func startSystem(ctx context.Context, seed uint64, daemons int, change func(*testbed.System), specs ...testbed.Spec) (*testbed.System, error) {
	sys, err := testbed.New(seed, nil)
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(sys)
	}
	if err := populate(ctx, sys, daemons, specs); err != nil {
		sys.Close()
		return nil, err
	}
	return sys, nil
}

// populate adds the services and daemons and waits until the system is ready.
func populate(ctx context.Context, sys *testbed.System, daemons int, specs []testbed.Spec) error {
	for _, s := range specs {
		if err := sys.AddService(ctx, s); err != nil {
			return err
		}
	}
	domains := specs[0].Domains
	for i := range daemons {
		n, err := sys.AddNode(domains[i%len(domains)])
		if err != nil {
			return err
		}
		if err := sys.StartNode(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	return sys.WaitReady(ctx)
}

// newLoad returns a load of queries of one caller class; rate is in queries a second.
func newLoad(sys *testbed.System, caller string, rate float64, seed uint64) *testbed.Load {
	return &testbed.Load{System: sys, Checker: &testbed.Checker{System: sys}, Caller: caller, Rate: rate, Top: 10, Seed: seed}
}

// checkAnswers adds the checks on answers that every load must pass.
func (r *Report) checkAnswers(name string, t testbed.LoadStats) {
	r.checkZero(name+": untrue answers", t.Wrong)
	r.checkZero(name+": requests without answer or refusal", t.Failed)
	if t.FirstError != "" {
		r.check(name+": first trouble", t.Wrong+t.Failed == 0, "none that counts", t.FirstError)
	}
}

// checkUpstreams adds the checks on load and connections that hold for the
// upstreams in every experiment.
func (r *Report) checkUpstreams(sys *testbed.System) {
	t := sys.Totals("")
	r.checkZero("cold upstreams given more than they bear", t.ColdOverloads)
	r.checkZero("connections above an upstream's cap", t.ConnsRejected)
}
