package judge

import (
	"cmp"
	"math"
	"slices"
)

// A Slot is what callers saw of the requests that ended in one part of a run.
type Slot struct {
	Begin   float64 `json:"begin"`   // ms
	Served  int     `json:"served"`  // with a success
	Refused int     `json:"refused"` // with a status that promises that they have not run
	Failed  int     `json:"failed"`  // with another status, or without an answer
	GaveUp  int     `json:"gave_up"` // by their callers
	Median  float64 `json:"median"`  // ms until a success
	P99     float64 `json:"p99"`     // ms
}

// A Bar is a time in which something was disrupted, changed or planned.
type Bar struct {
	Name  string  `json:"name"`
	Begin float64 `json:"begin"` // ms
	End   float64 `json:"end"`   // ms
}

// A Latency is how long a request took.
type Latency struct {
	Request string  `json:"request"`
	Daemon  string  `json:"daemon"`
	Ms      float64 `json:"ms"`
}

// slotCount is about how many slots a timeline has.
const slotCount = 60

// length returns the time of the last entry, in ms.
func (rec *Record) length() float64 {
	if len(rec.Entries) == 0 {
		return 0
	}
	return rec.Entries[len(rec.Entries)-1].At
}

// slots divides a run into slots of equal length, at least 100 ms.
func (r *run) slots(length float64) []Slot {
	width := max(100, math.Ceil(length/slotCount/100)*100)
	slots := make([]Slot, int(length/width)+1)
	times := make([][]float64, len(slots))
	for i := range slots {
		slots[i].Begin = float64(i) * width
	}
	for _, q := range r.order {
		if q.answer == nil {
			continue
		}
		i := int(q.answer.At / width)
		s := &slots[i]
		switch {
		case q.answer.GaveUp:
			s.GaveUp++
		case q.answer.Status/100 == 2:
			s.Served++
			times[i] = append(times[i], q.answer.At-q.send.At)
		case slices.Contains(refusals, q.answer.Status):
			s.Refused++
		default:
			s.Failed++
		}
	}
	for i, t := range times {
		slices.Sort(t)
		slots[i].Median, slots[i].P99 = quantile(t, 0.5), quantile(t, 0.99)
	}
	return slots
}

// quantile returns a quantile of sorted values, 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// worst returns the slowest successes, the slowest first.
func (r *run) worst(n int) []Latency {
	var all []Latency
	for _, q := range r.order {
		if q.answer != nil && q.answer.Status/100 == 2 {
			all = append(all, Latency{Request: q.send.Request, Daemon: q.send.Daemon, Ms: q.answer.At - q.send.At})
		}
	}
	slices.SortStableFunc(all, func(a, b Latency) int { return cmp.Compare(b.Ms, a.Ms) })
	return all[:min(n, len(all))]
}

// bars returns what happened in a run beside the requests, by the time that it began.
func (r *run) bars(length float64) []Bar {
	var out []Bar
	for target, spans := range r.downtimes {
		for _, s := range spans {
			if s.begin == s.end {
				continue // a start
			}
			name := target + " disrupted"
			if s.planned {
				name = target + " stopped"
			}
			out = append(out, Bar{Name: name, Begin: s.begin, End: min(s.end, length)})
		}
	}
	for _, e := range r.signals("HUP") {
		out = append(out, Bar{Name: e.Daemon + " reloaded", Begin: e.At, End: e.At})
	}
	for _, e := range r.configs {
		out = append(out, Bar{Name: "configuration", Begin: e.At, End: e.At})
	}
	out = append(out, stateBars(r.states, func(e *Entry) (string, bool) {
		return e.Upstream + " " + e.State, e.State == StateDraining || e.State == StateGone
	}, length)...)
	out = append(out, stateBars(r.zones, func(e *Entry) (string, bool) {
		return e.Zone + " evacuated", e.State == StateEvacuated
	}, length)...)
	slices.SortFunc(out, func(a, b Bar) int { return cmp.Or(cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.Name, b.Name)) })
	return out
}

// stateBars returns a bar for each entry whose state is out, until the next entry of the
// same target.
func stateBars(entries []*Entry, out func(e *Entry) (name string, isOut bool), length float64) []Bar {
	var bars []Bar
	for i, e := range entries {
		name, isOut := out(e)
		if !isOut {
			continue
		}
		end := length
		for _, next := range entries[i+1:] {
			if next.Upstream == e.Upstream && next.Zone == e.Zone {
				end = next.At
				break
			}
		}
		bars = append(bars, Bar{Name: name, Begin: e.At, End: end})
	}
	return bars
}
