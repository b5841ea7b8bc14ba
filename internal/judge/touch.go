package judge

import (
	"math"
	"slices"
)

// A span is a time from begin to end, in ms, in which something was disrupted.
type span struct {
	begin, end float64
	planned    bool // by SIGTERM and the start that follows, or by a start alone
	frozen     bool // by SIGSTOP until SIGCONT
	harm       bool // of links or of the store
}

// addDowntime adds what an entry says of the disruptions of a daemon, an upstream or the
// store. One that hasn't ended lasts for ever.
func (r *run) addDowntime(e *Entry) {
	switch {
	case e.Kind == KindSignal && e.Signal == "HUP":
	case e.Kind == KindSignal && e.Signal == "CONT":
		r.endDowntimes(e.Daemon, e.At, func(s span) bool { return s.frozen })
	case e.Kind == KindSignal:
		r.downtimes[e.Daemon] = append(r.downtimes[e.Daemon], span{begin: e.At, end: math.Inf(1), planned: e.Signal == "TERM", frozen: e.Signal == "STOP"})
	case e.Kind == KindStart:
		r.endDowntimes(e.Daemon, e.At, func(span) bool { return true })
		r.downtimes[e.Daemon] = append(r.downtimes[e.Daemon], span{begin: e.At, end: e.At, planned: true})
	case e.Kind == KindHarm:
		r.downtimes[e.Target] = append(r.downtimes[e.Target], span{begin: e.At, end: math.Inf(1), harm: true})
	case e.Kind == KindRelease:
		r.endDowntimes(e.Target, e.At, func(s span) bool { return s.harm })
	}
}

// endDowntimes ends those downtimes of a target that still last and match.
func (r *run) endDowntimes(target string, at float64, matches func(s span) bool) {
	spans := r.downtimes[target]
	for i, s := range spans {
		if matches(s) {
			spans[i].end = min(s.end, at)
		}
	}
}

// disrupted reports whether a daemon, an upstream or the store was disrupted between two
// times, or in the stable window before the first.
func (r *run) disrupted(target string, from, to float64) bool {
	for _, s := range r.downtimes[target] {
		if s.begin <= to && s.end > from-r.StableWindow {
			return true
		}
	}
	return false
}

// interrupted reports whether a daemon was stopped, started, frozen or harmed between two times.
func (r *run) interrupted(daemon string, from, to float64) bool {
	return r.restarted(daemon, from, to) || slices.ContainsFunc(r.downtimes[daemon], func(s span) bool { return s.harm && s.meets(from, to) })
}

// restarted reports whether a daemon was stopped, started or frozen between two times.
func (r *run) restarted(daemon string, from, to float64) bool {
	return slices.ContainsFunc(r.downtimes[daemon], func(s span) bool { return !s.harm && s.meets(from, to) })
}

// meets reports whether the span has a moment between two times.
func (s span) meets(from, to float64) bool {
	return s.begin <= to && s.end >= from
}

// inTouch reports whether a daemon was in touch between two times: it has run without a
// disruption, and so has the store, also in the stable window before.
func (r *run) inTouch(daemon string, from, to float64) bool {
	return !r.disrupted(daemon, from, to) && !r.disrupted(Store, from, to)
}

// calm reports whether there was no unplanned disruption of anything between two times, nor
// in the stable window before.
func (r *run) calm(from, to float64) bool {
	for _, spans := range r.downtimes {
		for _, s := range spans {
			if !s.planned && s.begin <= to && s.end > from-r.StableWindow {
				return false
			}
		}
	}
	return true
}
