package admin

import (
	"errors"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"

	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/setup"
)

// A File holds the objects of a TOML file: its [[label]], [[selector]] and
// [[layout]] tables.
type File struct {
	Labels    []FileLabel     `toml:"label"`
	Selectors []FileSelector  `toml:"selector"`
	Layouts   []object.Layout `toml:"layout"`
	objects   []object.Object // checked and encoded
}

// A FileLabel is a [[label]] table: the labels of one target.
type FileLabel struct {
	Target string   `toml:"target"`
	Pairs  []string `toml:"pairs"` // each KEY=VALUE
}

// A FileSelector is a [[selector]] table. Its fields mean the same as those of
// object.Selector.
type FileSelector struct {
	Caller   string   `toml:"caller"`
	Service  string   `toml:"service"`
	Pick     []string `toml:"pick"` // each KEY=VALUE
	Deadline int      `toml:"deadline"`
	Early    int      `toml:"early"`
	Floor    int      `toml:"floor"`
	Hedge    int      `toml:"hedge"`
	Tries    int      `toml:"tries"`
	Queue    int      `toml:"queue"`
	Flight   int      `toml:"flight"`
}

// Objects returns the objects of the file: layouts first, then labels, then
// selectors.
func (f *File) Objects() []object.Object {
	return f.objects
}

// objectTable matches the header of a table that holds an object.
var objectTable = regexp.MustCompile(`(?m)^\s*\[\[(label|selector|layout)\]\]`)

// HoldsObjects reports whether text is that of a file of objects, as opposed to a
// daemon's settings.
func HoldsObjects(text string) bool {
	return objectTable.MatchString(text)
}

// CheckFile reads and checks a file of settings or of objects. The error, if any, is
// a setup.Problems with all faults found.
func CheckFile(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return setup.Problems{{File: file, Reason: err.Error()}}
	}
	if HoldsObjects(string(b)) {
		_, err := ParseFile(file, string(b))
		return err
	}
	_, err = setup.Parse(file, string(b))
	return err
}

// ParsePairs splits labels, each KEY=VALUE. Without a =, the value is empty.
func ParsePairs(pairs []string) []object.Pair {
	var out []object.Pair
	for _, p := range pairs {
		key, value, _ := strings.Cut(p, "=")
		out = append(out, object.Pair{Key: key, Value: value})
	}
	return out
}

// ParseFile reads and checks text, the contents of a file of objects. It uses file
// only in problems. The error, if any, is a setup.Problems with all faults found.
func ParseFile(file, text string) (*File, error) {
	var f File
	var problems setup.Problems
	meta, err := toml.Decode(text, &f)
	if err != nil {
		p := setup.Problem{File: file, Reason: err.Error()}
		var pe toml.ParseError
		if errors.As(err, &pe) {
			p.Line, p.Key = pe.Position.Line, pe.LastKey
		}
		return nil, append(problems, p)
	}
	for _, k := range meta.Undecoded() {
		problems = append(problems, setup.Problem{File: file, Line: lineOf(text, k[len(k)-1], 0), Key: k.String(), Reason: "no such field"})
	}
	problems = append(problems, f.encode(file, text)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return &f, nil
}

// encode encodes and checks the objects of the tables and returns their faults.
func (f *File) encode(file, text string) setup.Problems {
	var problems setup.Problems
	add := func(kind object.Kind, nth int, name string, v any) {
		o, err := object.Encode(kind, name, v)
		if err != nil {
			problems = append(problems, setup.Problem{File: file, Reason: err.Error()})
			return
		}
		for _, fault := range object.Validate(o) {
			problems = append(problems, setup.Problem{
				File:   file,
				Line:   tableLine(text, string(kind), nth),
				Key:    string(kind) + " " + name + ": " + fault.Field,
				Reason: fault.Reason,
			})
		}
		f.objects = append(f.objects, o)
	}
	for i, l := range f.Layouts {
		add(object.KindLayout, i, object.LayoutName(l.Service, l.Number), l)
	}
	for i, l := range f.Labels {
		add(object.KindLabel, i, l.Target, object.Label{Target: l.Target, Pairs: ParsePairs(l.Pairs)})
	}
	for i, s := range f.Selectors {
		add(object.KindSelector, i, s.Caller, object.Selector{
			Caller: s.Caller, Service: s.Service, MatchLabels: ParsePairs(s.Pick), DeadlineMs: s.Deadline, EarlyMs: s.Early,
			MinCoverage: s.Floor, HedgePercent: s.Hedge, MaxAttempts: s.Tries, MaxQueued: s.Queue, MaxInFlight: s.Flight,
		})
	}
	return problems
}

// tableLine returns the line, from 1, of the nth table of a kind, from 0. It returns
// 0 if there is none.
func tableLine(text, kind string, nth int) int {
	for i, l := range strings.Split(text, "\n") {
		if strings.TrimSpace(l) != "[["+kind+"]]" {
			continue
		}
		if nth == 0 {
			return i + 1
		}
		nth--
	}
	return 0
}

// lineOf returns the first line, from 1, that sets a key, after skipping from lines.
// It returns 0 if there is none.
func lineOf(text, key string, from int) int {
	for i, l := range strings.Split(text, "\n") {
		rest, ok := strings.CutPrefix(strings.TrimSpace(l), key)
		if i >= from && ok && strings.HasPrefix(strings.TrimSpace(rest), "=") {
			return i + 1
		}
	}
	return 0
}
