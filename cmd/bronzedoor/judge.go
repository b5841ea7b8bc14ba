package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"bronzedoor.dev/bronzedoor/internal/judge"
)

// judgeCmd judges the record of a run.
type judgeCmd struct {
	File string `arg:"" help:"Record of a run, as the soak test writes it."`
	JSON bool   `help:"Print the verdict as JSON."`
	HTML string `help:"Write the verdict with plots over time to this file." type:"path"`
	Most int    `help:"Most breaks of one rule to print." default:"10"`
}

// errRuleBroken means that a record breaks a rule.
var errRuleBroken = errors.New("a rule is broken")

// An invalidRecordError says why a record can't be judged.
type invalidRecordError struct {
	file string
	err  error
}

func (e *invalidRecordError) Error() string {
	return fmt.Sprintf("%s: %v", e.file, e.err)
}

// Run prints the verdict. It returns errRuleBroken if a rule is broken.
func (c *judgeCmd) Run(con *console) error {
	f, err := os.Open(c.File)
	if err != nil {
		return &invalidRecordError{c.File, err}
	}
	defer f.Close()
	rec, err := judge.Read(f)
	if err != nil {
		return &invalidRecordError{c.File, err}
	}
	v := judge.Judge(rec)
	if err := c.writeHTML(v); err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(con.out)
		enc.SetIndent("", "  ")
		err = enc.Encode(v)
	} else {
		err = c.print(con.out, v)
	}
	if err == nil && v.Broken() > 0 {
		err = errRuleBroken
	}
	return err
}

// writeHTML writes the verdict to the file HTML, if that is set.
func (c *judgeCmd) writeHTML(v *judge.Verdict) error {
	if c.HTML == "" {
		return nil
	}
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	err = judge.WriteHTML(f, filepath.Base(c.File), v)
	return errors.Join(err, f.Close())
}

// print prints a verdict as a table, and then the slowest successes and the breaks.
func (c *judgeCmd) print(w io.Writer, v *judge.Verdict) error {
	var outcomes []string
	for _, o := range slices.Sorted(maps.Keys(v.Outcomes)) {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", o, v.Outcomes[o]))
	}
	fmt.Fprintf(w, "%d requests (%s)\n", v.Requests, strings.Join(outcomes, ", "))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "RULE\tCASES\tBROKEN")
	for _, check := range v.Checks {
		fmt.Fprintf(t, "%s\t%d\t%d\n", check.Rule, check.Cases, len(check.Breaks))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, l := range v.Worst {
		fmt.Fprintf(w, "slowest: %s at %s, %.0f ms\n", l.Request, l.Daemon, l.Ms)
	}
	for _, check := range v.Checks {
		for _, b := range check.Breaks[:min(c.Most, len(check.Breaks))] {
			fmt.Fprintf(w, "%s: line %d, %.3f s: %s\n", check.Rule, b.Line, b.At/1000, b.Text)
		}
	}
	return nil
}
