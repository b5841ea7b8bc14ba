package object

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
)

// Maximum values in configuration objects.
const (
	maxShards   = 100000 // also for numbers of layouts and sizes of queues
	maxTries    = 10
	maxDeadline = 600000 // milliseconds
	maxBlocks   = 16
)

// namePattern is the form of names of services, caller classes and failure
// domains, and of keys of labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// A Problem is one reason why an object is invalid.
type Problem struct {
	Field  string // JSON name of the field, or key of the label
	Reason string // what is wrong and which values are valid
}

// String returns FIELD: REASON.
func (p Problem) String() string {
	return p.Field + ": " + p.Reason
}

// problems collects the problems found in one object.
type problems []Problem

func (ps *problems) add(field, format string, args ...any) {
	*ps = append(*ps, Problem{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// requireRange adds a problem unless n is from lo to hi. unit follows the range in
// the reason.
func (ps *problems) requireRange(field string, n, lo, hi int, unit string) {
	if n < lo || n > hi {
		ps.add(field, "%d is not from %d to %d%s", n, lo, hi, unit)
	}
}

// requireName adds a problem unless s matches namePattern.
func (ps *problems) requireName(field, s string) {
	if !namePattern.MatchString(s) {
		ps.add(field, "%q is not a word of lower-case letters, digits and hyphens", s)
	}
}

// Validate returns all problems of a configuration object, or nil if it is valid.
// Daemons and the command line use no other validation, so that they agree on which
// objects are valid.
func Validate(o Object) []Problem {
	switch o.Kind {
	case KindLabel:
		return validateAs(o, (*Label).validate)
	case KindSelector:
		return validateAs(o, (*Selector).validate)
	case KindLayout:
		return validateAs(o, (*Layout).validate)
	case KindCell:
		return validateAs(o, (*Cell).validate)
	}
	return []Problem{{Field: "kind", Reason: fmt.Sprintf("%q is not label, selector, layout or cell", o.Kind)}}
}

// validateAs decodes the body of o as a T and validates it.
func validateAs[T any](o Object, check func(*T, string) []Problem) []Problem {
	var v T
	if err := Decode(o.Body, &v); err != nil {
		return []Problem{{Field: "body", Reason: err.Error()}}
	}
	return check(&v, o.Name)
}

func (l *Label) validate(name string) []Problem {
	var ps problems
	if l.Target != name {
		ps.add("target", "%q is not the object's name %q", l.Target, name)
	}
	kind, rest := SplitTarget(l.Target)
	switch kind {
	case "upstream":
		l.validateUpstream(&ps, rest)
	case "vm":
		if err := ValidateAddress(rest); err != nil {
			ps.add("target", "%v", err)
		}
	case "domain":
		ps.requireName("target", rest)
	default:
		ps.add("target", "%q does not start with upstream/, domain/ or vm/", l.Target)
	}
	seen := make(map[string]bool)
	for _, p := range l.Pairs {
		ps.requireName("key", p.Key)
		if seen[p.Key] {
			ps.add(p.Key, "stands twice")
		}
		seen[p.Key] = true
	}
	if s := l.Value(KeyState); s != "" && s != "in" && s != StateOut {
		ps.add(KeyState, "%q is neither in nor out", s)
	}
	return ps
}

func (l *Label) validateUpstream(ps *problems, address string) {
	if err := ValidateAddress(address); err != nil {
		ps.add("target", "%v", err)
	}
	ps.requireName(KeyService, l.Value(KeyService))
	ps.requireName(KeyDomain, l.Value(KeyDomain))
	for _, key := range []string{KeyLayout, KeySlots, KeyConns} {
		if err := validatePositive(l.Value(key)); err != nil {
			ps.add(key, "%v", err)
		}
	}
	if n, err := strconv.Atoi(l.Value(KeyShard)); err != nil || n < 0 {
		ps.add(KeyShard, "%q is not a whole number from 0", l.Value(KeyShard))
	}
}

func (s *Selector) validate(name string) []Problem {
	var ps problems
	ps.requireName("caller", s.Caller)
	if s.Caller != name {
		ps.add("caller", "%q is not the object's name %q", s.Caller, name)
	}
	ps.requireName("service", s.Service)
	ps.requireRange("deadline", s.DeadlineMs, 1, maxDeadline, " milliseconds")
	ps.requireRange("early", s.EarlyMs, 0, s.DeadlineMs, " milliseconds (the deadline)")
	ps.requireRange("floor", s.MinCoverage, 0, 100, " percent")
	ps.requireRange("hedge", s.HedgePercent, 0, 100, " percent")
	ps.requireRange("tries", s.MaxAttempts, 1, maxTries, "")
	ps.requireRange("queue", s.MaxQueued, 0, maxShards, "")
	ps.requireRange("flight", s.MaxInFlight, 0, maxShards, "")
	for _, p := range s.MatchLabels {
		ps.requireName("pick", p.Key)
	}
	return ps
}

func (l *Layout) validate(name string) []Problem {
	var ps problems
	ps.requireName("service", l.Service)
	ps.requireRange("number", l.Number, 1, maxShards, "")
	ps.requireRange("shards", l.Shards, 1, maxShards, "")
	ps.requireRange("cell", l.Cell, 1, maxShards, "")
	ps.requireRange("blocks", l.Blocks, 1, maxBlocks, "")
	if want := LayoutName(l.Service, l.Number); want != name {
		ps.add("service", "the object's name is %q, not %q", name, want)
	}
	return ps
}

func (c *Cell) validate(name string) []Problem {
	var ps problems
	if c.Name() != name {
		ps.add("service", "the object's name is %q, not %q", name, c.Name())
	}
	ps.requireRange("blocks", len(c.Blocks), 1, maxBlocks, "")
	return ps
}

// Encode returns an object with the given kind and name, whose body is v in JSON.
func Encode(kind Kind, name string, v any) (Object, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return Object{Kind: kind, Name: name, Body: b}, nil
}
