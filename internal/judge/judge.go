package judge

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A Verdict is the result of judging a record.
type Verdict struct {
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"` // number of requests by status, or by what ended them
	Checks   []*Check       `json:"checks"`
	Worst    []Latency      `json:"worst"` // slowest successes
	Slots    []Slot         `json:"slots"` // the run in parts of equal length
	Bars     []Bar          `json:"bars"`  // what happened beside the requests
}

// worstCount is how many of the slowest successes a verdict has.
const worstCount = 5

// Broken returns the number of breaks over all checks.
func (v *Verdict) Broken() int {
	n := 0
	for _, c := range v.Checks {
		n += len(c.Breaks)
	}
	return n
}

// A Check is the result of one rule.
type Check struct {
	Rule   string  `json:"rule"`
	Cases  int     `json:"cases"` // that could have broken the rule
	Breaks []Break `json:"breaks,omitempty"`
}

// A Break is one case in which a rule didn't hold.
type Break struct {
	Line int     `json:"line"` // of the record
	At   float64 `json:"at"`   // ms since the start of the record
	Text string  `json:"text"`
}

// add adds a break that the entry e shows.
func (c *Check) add(e *Entry, format string, args ...any) {
	c.Breaks = append(c.Breaks, Break{Line: e.line, At: e.At, Text: fmt.Sprintf(format, args...)})
}

// A rule looks at a run, counts the cases and adds the breaks.
type rule struct {
	name  string
	check func(r *run, c *Check)
}

// rules are all rules, in the order of a verdict.
var rules = []rule{
	{"LOST stop", checkLostStop},
	{"LOST reload", checkLostReload},
	{"LOST kept", checkLostKept},
	{"LOST config", checkLostConfig},
	{"DRAIN store", checkDrainStore},
	{"DRAIN leaving", checkDrainLeaving},
	{"LIMIT", checkLimit},
	{"EVAC", checkEvac},
	{"FAILBACK", checkFailback},
	{"GONE", checkGone},
	{"BUDGET pause", checkBudgetPause},
	{"BUDGET attempts", checkBudgetAttempts},
	{"BUDGET extra", checkBudgetExtra},
	{"BUDGET time", checkBudgetTime},
	{"TWICE", checkTwice},
	{"REFUSED", checkRefused},
	{"MIXED", checkMixed},
	{"UNASKED", checkUnasked},
	{"ROUTE", checkRoute},
	{"CONFIG", checkConfig},
	{"CONFIG back", checkConfigBack},
	{"CONFIG timeout", checkConfigTimeout},
	{"RECOVER", checkRecover},
}

// Rules returns the names of all rules, in the order of a verdict.
func Rules() []string {
	var names []string
	for _, r := range rules {
		names = append(names, r.name)
	}
	return names
}

// Judge checks a record against all rules.
func Judge(rec *Record) *Verdict {
	r := newRun(rec)
	v := &Verdict{
		Requests: len(r.order),
		Outcomes: make(map[string]int),
		Worst:    r.worst(worstCount),
		Slots:    r.slots(rec.length()),
		Bars:     r.bars(rec.length()),
	}
	for _, q := range r.order {
		v.Outcomes[q.outcome()]++
	}
	for _, rule := range rules {
		c := &Check{Rule: rule.name}
		rule.check(r, c)
		slices.SortStableFunc(c.Breaks, func(a, b Break) int { return cmp.Compare(a.Line, b.Line) })
		v.Checks = append(v.Checks, c)
	}
	return v
}

// A request is one attempt of a caller with all that was seen of it.
type request struct {
	send     *Entry
	answer   *Entry // nil if the record ends before
	arrivals []*arrival
}

// An arrival is one request at an upstream.
type arrival struct {
	arrive *Entry
	run    *Entry // nil if the upstream hasn't run it
	reply  *Entry // nil if there is none
}

// outcome says how the request ended.
func (q *request) outcome() string {
	switch {
	case q.answer == nil:
		return "pending"
	case q.answer.GaveUp:
		return "given up"
	case q.answer.Status == 0:
		return "no answer"
	}
	return strconv.Itoa(q.answer.Status)
}

// lost reports whether the connection has ended without a complete answer, and not by
// the caller.
func (q *request) lost() bool {
	return q.answer != nil && q.answer.Status == 0 && !q.answer.GaveUp
}

// runs returns the arrivals that have run.
func (q *request) runs() []*arrival {
	var out []*arrival
	for _, a := range q.arrivals {
		if a.run != nil {
			out = append(out, a)
		}
	}
	return out
}

// A run is a record with its entries related to each other.
type run struct {
	Bounds
	entries   []*Entry
	order     []*request // by the time that they were sent
	requests  map[string]*request
	unknown   []*arrival // of requests that no caller has sent
	configs   []*Entry   // of KindConfig
	states    []*Entry   // of KindState
	zones     []*Entry   // of KindZone
	downtimes map[string][]span
}

// An arrivalKey identifies an arrival.
type arrivalKey struct {
	upstream string
	number   int
}

func newRun(rec *Record) *run {
	r := &run{Bounds: rec.Bounds, entries: rec.Entries, requests: make(map[string]*request), downtimes: make(map[string][]span)}
	// Callers and upstreams write their entries at the same time, so that an arrival may
	// stand before the request that it is about.
	for _, e := range rec.Entries {
		if e.Kind == KindSend {
			q := &request{send: e}
			r.requests[e.Request] = q
			r.order = append(r.order, q)
		}
	}
	arrivals := make(map[arrivalKey]*arrival)
	for _, e := range rec.Entries {
		key := arrivalKey{e.Upstream, e.Arrival}
		switch e.Kind {
		case KindAnswer:
			if q := r.requests[e.Request]; q != nil {
				q.answer = e
			}
		case KindArrive:
			a := &arrival{arrive: e}
			arrivals[key] = a
			q := r.requests[e.Request]
			if q == nil {
				r.unknown = append(r.unknown, a)
				continue
			}
			q.arrivals = append(q.arrivals, a)
			if e.Daemon == "" {
				e.Daemon = q.send.Daemon // daemons don't send requests to each other
			}
		case KindRun:
			if a := arrivals[key]; a != nil {
				a.run = e
			}
		case KindReply:
			if a := arrivals[key]; a != nil {
				a.reply = e
			}
		case KindConfig:
			r.configs = append(r.configs, e)
		case KindState:
			r.states = append(r.states, e)
		case KindZone:
			r.zones = append(r.zones, e)
		case KindSignal, KindStart, KindHarm, KindRelease:
			r.addDowntime(e)
		case KindSend:
		}
	}
	return r
}

// match returns the route of a configuration that takes a request: the one with the longest
// prefix. It is nil if there is none.
func match(config *Entry, host, path string) *Route {
	var found *Route
	for i := range config.Routes {
		rt := &config.Routes[i]
		if rt.Host == host && strings.HasPrefix(path, rt.Prefix) && (found == nil || len(rt.Prefix) > len(found.Prefix)) {
			found = rt
		}
	}
	return found
}

// route returns the route of a request in the newest configuration that was sent before it,
// or nil.
func (r *run) route(q *request) *Route {
	var found *Route
	for _, c := range r.configs {
		if c.Sent > q.send.At && found != nil {
			break
		}
		if rt := match(c, q.send.Host, q.send.Path); rt != nil {
			found = rt
		}
	}
	return found
}
