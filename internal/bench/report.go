// Package bench holds the experiments that judge and measure the system over
// stand-ins. Each runs its base line and its candidate in one run.
package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// A Check is one comparison of a figure with its bound.
type Check struct {
	Name string `json:"name"`
	Want string `json:"want"`
	Got  string `json:"got"`
	Pass bool   `json:"pass"`
}

// A Report is what an experiment found.
type Report struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Pass    bool     `json:"pass"` // every check passed
	Checks  []Check  `json:"checks"`
	Figures []Figure `json:"figures,omitempty"` // measured, without a bound
}

// A Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// is adds a check that compares any two values.
func (r *Report) is(name string, pass bool, want, got string) {
	r.Checks = append(r.Checks, Check{Name: name, Want: want, Got: got, Pass: pass})
}

// zero adds a check that something never happened.
func (r *Report) zero(name string, n int) {
	r.is(name, n == 0, "0", fmt.Sprint(n))
}

// most adds a check that a value is not above its bound.
func (r *Report) most(name string, got, bound float64, unit string) {
	r.is(name, got <= bound, fmt.Sprintf("<= %.4g%s", bound, unit), fmt.Sprintf("%.4g%s", got, unit))
}

// least adds a check that a value is not below its bound.
func (r *Report) least(name string, got, bound float64, unit string) {
	r.is(name, got >= bound, fmt.Sprintf(">= %.4g%s", bound, unit), fmt.Sprintf("%.4g%s", got, unit))
}

// figure adds a measured value.
func (r *Report) figure(name string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{Name: name, Value: value, Unit: unit})
}

// ms returns a time in milliseconds.
func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// finish sets Pass.
func (r *Report) finish() {
	r.Pass = len(r.Checks) > 0
	for _, c := range r.Checks {
		r.Pass = r.Pass && c.Pass
	}
}

// Print writes the report as aligned tables.
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
