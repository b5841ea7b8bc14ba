package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"bronzedoor.dev/bronzedoor/internal/bench"
)

// errUnkept says that a promise was broken or a bound was passed.
var errUnkept = errors.New("a check failed")

// demoCmd runs the demo.
type demoCmd struct {
	Seed uint64 `help:"Seed." default:"1"`
	JSON bool   `help:"One JSON object." name:"json"`
}

// Run runs the demo and fails unless every promise was kept.
func (c *demoCmd) Run(ctx context.Context, con *console) error {
	return runExperiment(ctx, con, "demo", bench.Config{Seed: c.Seed}, c.JSON)
}

// benchCmd runs experiments.
type benchCmd struct {
	List bool     `help:"Name the experiments and their values."`
	Name []string `help:"Experiment to run; may be given more than once." name:"run" placeholder:"NAME"`
	Seed uint64   `help:"Seed." default:"1"`
	Set  []string `help:"KEY=VALUE in place of an experiment's own value."`
	JSON bool     `help:"One JSON object for each experiment." name:"json"`
}

// Run runs the experiments and fails unless every check passed.
func (c *benchCmd) Run(ctx context.Context, con *console) error {
	if c.List {
		return list(con)
	}
	if len(c.Name) == 0 {
		return errors.New("--list or --run NAME")
	}
	pairs, err := bench.ParseSettings(c.Set)
	if err != nil {
		return err
	}
	var failed error
	for _, name := range c.Name {
		err := runExperiment(ctx, con, name, bench.Config{Seed: c.Seed, Overrides: pairs}, c.JSON)
		if err != nil && !errors.Is(err, errUnkept) {
			return err
		}
		failed = errors.Join(failed, err)
	}
	return failed
}

func list(con *console) error {
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
		err = fmt.Errorf("%s: %w", name, errUnkept)
	}
	return err
}
