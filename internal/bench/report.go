// Package bench has experiments that measure and check the system against fake
// upstreams and a fake object API. Where an experiment compares with a baseline, it
// measures both in the same run.
package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// A Check is the comparison of a measured value with what is required.
type Check struct {
	Name string `json:"name"`
	Want string `json:"want"`
	Got  string `json:"got"`
	Pass bool   `json:"pass"`
}

// A Report holds the results of an experiment.
type Report struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Pass    bool     `json:"pass"` // every check passed
	Checks  []Check  `json:"checks"`
	Figures []Figure `json:"figures,omitempty"` // measured values that nothing is required of
}

// A Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// check adds a check with the given outcome; want and got describe it.
func (r *Report) check(name string, pass bool, want, got string) {
	r.Checks = append(r.Checks, Check{Name: name, Want: want, Got: got, Pass: pass})
}

// checkZero adds a check that n, a count of unwanted events, is 0.
func (r *Report) checkZero(name string, n int) {
	r.check(name, n == 0, "0", fmt.Sprint(n))
}

// checkAtMost adds a check that got is not above bound.
func (r *Report) checkAtMost(name string, got, bound float64, unit string) {
	r.check(name, got <= bound, fmt.Sprintf("<= %.4g%s", bound, unit), fmt.Sprintf("%.4g%s", got, unit))
}

// checkAtLeast adds a check that got is not below bound.
func (r *Report) checkAtLeast(name string, got, bound float64, unit string) {
	r.check(name, got >= bound, fmt.Sprintf(">= %.4g%s", bound, unit), fmt.Sprintf("%.4g%s", got, unit))
}

// addFigure adds a measured value.
func (r *Report) addFigure(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit})
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// setPass sets Pass: there are checks, and all of them passed.
func (r *Report) setPass() {
	r.Pass = len(r.Checks) > 0
	for _, c := range r.Checks {
		r.Pass = r.Pass && c.Pass
	}
}

// Print writes the report as aligned tables of figures and checks.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, seed %d\n", r.Name, r.Seed)
	if len(r.Figures) > 0 {
		fmt.Fprintln(w, "FIGURE\tVALUE\tUNIT")
	}
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%s\t%.4g\t%s\n", f.Name, f.Value, f.Unit)
	}
	fmt.Fprintln(w, "CHECK\tWANT\tGOT\tPASS")
	for _, c := range r.Checks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", c.Name, c.Want, c.Got, c.Pass)
	}
	return w.Flush()
}
