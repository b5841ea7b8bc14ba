package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"bronzedoor.dev/bronzedoor/internal/bench"
)

// errCheckFailed means that an experiment ran, but at least one of its checks
// failed: a guarantee was broken or a limit was exceeded.
var errCheckFailed = errors.New("a check failed")

// demoCmd runs the experiment "demo".
type demoCmd struct {
	Seed uint64 `help:"Seed of the random numbers." default:"1"`
	JSON bool   `help:"Print the report as one JSON object." name:"json"`
}

// Run runs the demo. It returns an error that wraps errCheckFailed if a check
// failed.
func (c *demoCmd) Run(ctx context.Context, con *console) error {
	return runExperiment(ctx, con, "demo", bench.Config{Seed: c.Seed}, c.JSON)
}

// benchCmd lists experiments or runs them.
type benchCmd struct {
	List bool     `help:"List the experiments and their settings."`
	Name []string `help:"Experiment to run; may be given more than once." name:"run" placeholder:"NAME"`
	Seed uint64   `help:"Seed of the random numbers." default:"1"`
	Set  []string `help:"KEY=VALUE that overrides a setting of the experiment."`
	JSON bool     `help:"Print one JSON object for each experiment." name:"json"`
}

// Run runs the named experiments in order. A failed check does not stop the
// later experiments; any other error does.
func (c *benchCmd) Run(ctx context.Context, con *console) error {
	if c.List {
		return listExperiments(con)
	}
	if len(c.Name) == 0 {
		return errors.New("missing flag: --list or --run NAME")
	}
	pairs, err := bench.ParseSettings(c.Set)
	if err != nil {
		return err
	}
	var failed error
	for _, name := range c.Name {
		err := runExperiment(ctx, con, name, bench.Config{Seed: c.Seed, Overrides: pairs}, c.JSON)
		if err != nil && !errors.Is(err, errCheckFailed) {
			return err
		}
		failed = errors.Join(failed, err)
	}
	return failed
}

// listExperiments prints each experiment with its settings and their defaults.
func listExperiments(con *console) error {
	w := tabwriter.NewWriter(con.out, 0, 0, 2, ' ', 0)
	for _, x := range bench.Experiments() {
		fmt.Fprintf(w, "%s\t%s\t", x.Name, x.Help)
		for _, v := range x.Settings {
			fmt.Fprintf(w, "%s=%s ", v.Key, v.Value)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// runExperiment runs one experiment and prints its report, as JSON if asJSON is
// set. The report is printed also when a check failed.
func runExperiment(ctx context.Context, con *console, name string, cfg bench.Config, asJSON bool) error {
	x, err := bench.Find(name)
	if err != nil {
		return err
	}
	r, err := bench.Run(ctx, x, cfg)
	if err != nil {
		return err
	}
	if asJSON {
		err = json.NewEncoder(con.out).Encode(r)
	} else {
		err = r.Print(con.out)
	}
	if err == nil && !r.Pass {
		err = fmt.Errorf("%s: %w", name, errCheckFailed)
	}
	return err
}
