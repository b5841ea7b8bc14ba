package object

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
)

// Bounds of configured values.
const (
	maxShards   = 100000
	maxTries    = 10
	maxDeadline = 600000 // milliseconds
	maxBlocks   = 16
)

var word = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// A Fault is one thing that is wrong with an object.
type Fault struct {
	Field  string // name of the field or label
	Reason string // what is wrong and what would be right
}

// String returns the field and the reason.
func (f Fault) String() string {
	return f.Field + ": " + f.Reason
}

// faults collects what is wrong.
type faults []Fault

func (f *faults) add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (f *faults) within(field string, n, least, most int, unit string) {
	if n < least || n > most {
		f.add(field, "%d is not from %d to %d%s", n, least, most, unit)
	}
}

func (f *faults) word(field, s string) {
	if !word.MatchString(s) {
		f.add(field, "%q is not a word of lower-case letters, digits and hyphens", s)
	}
}

// Check returns all that is wrong with a configuration object. Every daemon
// and the command line judge by it alone, so that they agree.
func Check(o Object) []Fault {
	switch o.Kind {
	case KindLabel:
		return checkAs(o, (*Label).check)
	case KindSelector:
		return checkAs(o, (*Selector).check)
	case KindLayout:
		return checkAs(o, (*Layout).check)
	case KindCell:
		return checkAs(o, (*Cell).check)
	}
	return []Fault{{Field: "kind", Reason: fmt.Sprintf("%q is not label, selector, layout or cell", o.Kind)}}
}

func checkAs[T any](o Object, check func(*T, string) []Fault) []Fault {
	var v T
	if err := Decode(o.Body, &v); err != nil {
		return []Fault{{Field: "body", Reason: err.Error()}}
	}
	return check(&v, o.Name)
}

func (l *Label) check(name string) []Fault {
	var f faults
	if l.Target != name {
		f.add("target", "%q is not the object's name %q", l.Target, name)
	}
	kind, rest := Split(l.Target)
	switch kind {
	case "upstream":
		l.checkUpstream(&f, rest)
	case "vm":
		if err := ValidAddress(rest); err != nil {
			f.add("target", "%v", err)
		}
	case "domain":
		f.word("target", rest)
	default:
		f.add("target", "%q does not start with upstream/, domain/ or vm/", l.Target)
	}
	seen := make(map[string]bool)
	for _, p := range l.Pairs {
		f.word("key", p.Key)
		if seen[p.Key] {
			f.add(p.Key, "stands twice")
		}
		seen[p.Key] = true
	}
	if s := l.Value(KeyState); s != "" && s != "in" && s != StateOut {
		f.add(KeyState, "%q is neither in nor out", s)
	}
	return f
}

func (l *Label) checkUpstream(f *faults, address string) {
	if err := ValidAddress(address); err != nil {
		f.add("target", "%v", err)
	}
	f.word(KeyService, l.Value(KeyService))
	f.word(KeyDomain, l.Value(KeyDomain))
	for _, key := range []string{KeyLayout, KeySlots, KeyConns} {
		if err := positive(l.Value(key)); err != nil {
			f.add(key, "%v", err)
		}
	}
	if n, err := strconv.Atoi(l.Value(KeyShard)); err != nil || n < 0 {
		f.add(KeyShard, "%q is not a whole number from 0", l.Value(KeyShard))
	}
}

func (s *Selector) check(name string) []Fault {
	var f faults
	f.word("caller", s.Caller)
	if s.Caller != name {
		f.add("caller", "%q is not the object's name %q", s.Caller, name)
	}
	f.word("service", s.Service)
	f.within("deadline", s.Deadline, 1, maxDeadline, " milliseconds")
	f.within("early", s.Early, 0, s.Deadline, " milliseconds (the deadline)")
	f.within("floor", s.Floor, 0, 100, " percent")
	f.within("hedge", s.Hedge, 0, 100, " percent")
	f.within("tries", s.Tries, 1, maxTries, "")
	f.within("queue", s.Queue, 0, maxShards, "")
	f.within("flight", s.Flight, 0, maxShards, "")
	for _, p := range s.Pick {
		f.word("pick", p.Key)
	}
	return f
}

func (l *Layout) check(name string) []Fault {
	var f faults
	f.word("service", l.Service)
	f.within("number", l.Number, 1, maxShards, "")
	f.within("shards", l.Shards, 1, maxShards, "")
	f.within("cell", l.Cell, 1, maxShards, "")
	f.within("blocks", l.Blocks, 1, maxBlocks, "")
	if want := LayoutName(l.Service, l.Number); want != name {
		f.add("service", "the object's name is %q, not %q", name, want)
	}
	return f
}

func (c *Cell) check(name string) []Fault {
	var f faults
	if c.Name() != name {
		f.add("service", "the object's name is %q, not %q", name, c.Name())
	}
	f.within("blocks", len(c.Blocks), 1, maxBlocks, "")
	return f
}

// Encode returns v as the body of an object of that kind and name.
func Encode(kind Kind, name string, v any) (Object, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return Object{Kind: kind, Name: name, Body: b}, nil
}
