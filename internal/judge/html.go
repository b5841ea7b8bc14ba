package judge

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed verdict.html
var verdictHTML string

var verdictTemplate = template.Must(template.New("verdict").Parse(verdictHTML))

// Sizes of the plots, in pixels.
const (
	plotWidth  = 900
	plotHeight = 160
	barHeight  = 14
)

// A page is what the template of a verdict is filled with.
type page struct {
	*Verdict
	Title   string
	Width   int
	Height  int
	Columns []column // one for each slot
	Most    int      // requests in the fullest slot
	Slowest float64  // ms, highest latency in a slot
	Lines   []line
	Faults  []drawnBar
	Bottom  int // height of the plot of faults
}

// A column is a slot as stacked rectangles.
type column struct {
	X, Width float64
	Parts    []rectangle
	Text     string
}

type rectangle struct {
	Y, Height float64
	Class     string
}

// A line is a series as the points of a polyline.
type line struct {
	Class  string
	Points string
}

// A drawnBar is a Bar at its place.
type drawnBar struct {
	X, Width float64
	Y        int
	Text     string
}

// WriteHTML writes a verdict as an HTML page with plots of what callers saw over time, and of
// what happened meanwhile.
func WriteHTML(w io.Writer, title string, v *Verdict) error {
	p := &page{Verdict: v, Title: title, Width: plotWidth, Height: plotHeight}
	p.drawSlots()
	p.drawBars()
	return verdictTemplate.Execute(w, p)
}

// drawSlots sets the columns of requests and the lines of latencies.
func (p *page) drawSlots() {
	for _, s := range p.Slots {
		p.Most = max(p.Most, s.Served+s.Refused+s.Failed+s.GaveUp)
		p.Slowest = max(p.Slowest, s.P99)
	}
	median, p99 := line{Class: "median"}, line{Class: "p99"}
	width := float64(plotWidth) / float64(max(1, len(p.Slots)))
	for i, s := range p.Slots {
		c := column{X: float64(i) * width, Width: max(1, width-1)}
		c.Text = fmt.Sprintf("%.1f s: %d served, %d refused, %d failed, %d given up", s.Begin/1000, s.Served, s.Refused, s.Failed, s.GaveUp)
		y := float64(plotHeight)
		for _, part := range []struct {
			n     int
			class string
		}{{s.Served, "served"}, {s.Refused, "refused"}, {s.Failed, "failed"}, {s.GaveUp, "left"}} {
			h := plotHeight * float64(part.n) / float64(max(1, p.Most))
			y -= h
			c.Parts = append(c.Parts, rectangle{Y: y, Height: h, Class: part.class})
		}
		p.Columns = append(p.Columns, c)
		median.add(c.X+width/2, s.Median, p.Slowest)
		p99.add(c.X+width/2, s.P99, p.Slowest)
	}
	p.Lines = []line{median, p99}
}

// add adds a point with a value between 0 and most.
func (l *line) add(x, value, most float64) {
	l.Points += fmt.Sprintf("%.1f,%.1f ", x, plotHeight*(1-value/max(1, most)))
}

// drawBars sets the bars, each on a line of its own.
func (p *page) drawBars() {
	if len(p.Slots) == 0 {
		return
	}
	length := p.Slots[len(p.Slots)-1].Begin
	if len(p.Slots) > 1 {
		length += p.Slots[1].Begin
	}
	for i, b := range p.Bars {
		x := plotWidth * b.Begin / max(1, length)
		p.Faults = append(p.Faults, drawnBar{
			X: x, Width: max(2, plotWidth*(b.End-b.Begin)/max(1, length)), Y: i * barHeight,
			Text: fmt.Sprintf("%s, %.1f to %.1f s", b.Name, b.Begin/1000, b.End/1000),
		})
	}
	p.Bottom = len(p.Bars) * barHeight
}
