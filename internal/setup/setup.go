// Package setup reads and checks a daemon's settings, written in TOML. They
// hold only what a process cannot learn.
package setup

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/object"
)

// Settings are what a daemon is told at its start.
type Settings struct {
	Address string   `toml:"address"` // for callers: IP number and port
	Peer    string   `toml:"peer"`    // for other daemons: IP number and port, TCP and UDP
	Domain  string   `toml:"domain"`  // failure domain of the VM
	Start   string   `toml:"start"`   // start identity that the platform gave the VM; made when empty
	Objects string   `toml:"objects"` // object API: IP number and port
	Machine string   `toml:"machine"` // VM list: IP number and port
	Peers   []string `toml:"peers"`   // some other daemons, for a start while the VM list is down
	Log     string   `toml:"log"`     // least level: debug, info, warning or error
	Linger  Duration `toml:"linger"`  // how long a leaving daemon accepts new requests
	Drain   Duration `toml:"drain"`   // most time for a leave
	TLS     TLS      `toml:"tls"`
}

// TLS names the files of certificates. All empty means plain text.
type TLS struct {
	Cert string `toml:"cert"` // of this daemon, PEM
	Key  string `toml:"key"`  // of this daemon, PEM
	Root string `toml:"root"` // authorities that sign the daemons' certificates, PEM
}

// A Duration is written with its unit, like "5s".
type Duration time.Duration

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time with its unit, like 5s or 300ms", text)
	}
	if v < 0 {
		return fmt.Errorf("%q is below zero", text)
	}
	*d = Duration(v)
	return nil
}

// Defaults of settings that may be left out.
const (
	defaultLinger = 5 * time.Second
	defaultDrain  = 30 * time.Second
	defaultLog    = "info"
)

// A Problem is one thing that is wrong with a file.
type Problem struct {
	File   string
	Line   int    // 0 if the key is missing
	Key    string // may be empty
	Reason string // what is wrong and what would be right
}

// String returns the problem on one line.
func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		s += ": " + p.Key
	}
	return s + ": " + p.Reason
}

// Problems are all that is wrong with a file. They are an error.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads a file. The error is a Problems with all that is wrong.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Reason: err.Error()}}
	}
	return Parse(file, string(b))
}

// Parse reads the text of a file.
func Parse(file, text string) (*Settings, error) {
	c := &checker{file: file, lines: strings.Split(text, "\n")}
	s := Settings{Log: defaultLog, Linger: Duration(defaultLinger), Drain: Duration(defaultDrain)}
	md, err := toml.Decode(text, &s)
	if err != nil {
		c.syntax(err)
		return nil, c.problems
	}
	for _, k := range md.Undecoded() {
		c.add(k.String(), "no such setting")
	}
	s.check(c)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &s, nil
}

func (s *Settings) check(c *checker) {
	for _, a := range []struct{ key, value string }{
		{"address", s.Address}, {"peer", s.Peer}, {"objects", s.Objects}, {"machine", s.Machine},
	} {
		c.address(a.key, a.value)
	}
	for _, p := range s.Peers {
		c.address("peers", p)
	}
	if !word.MatchString(s.Domain) {
		c.add("domain", "%q is not a word of lower-case letters, digits and hyphens", s.Domain)
	}
	if strings.ContainsAny(s.Start, "# ") {
		c.add("start", "%q has a # or a space", s.Start)
	}
	if _, err := logrus.ParseLevel(s.Log); err != nil {
		c.add("log", "%q is not debug, info, warning or error", s.Log)
	}
	if s.Drain <= s.Linger {
		c.add("drain", "%v is not above linger, %v", time.Duration(s.Drain), time.Duration(s.Linger))
	}
	if t := s.TLS; t != (TLS{}) && (t.Cert == "" || t.Key == "" || t.Root == "") {
		c.add("tls", "cert, key and root go together")
	}
}

var word = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects problems with their lines.
type checker struct {
	file     string
	lines    []string
	problems Problems
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		File:   c.file,
		Line:   c.line(key),
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// line finds the line that sets a key, or returns 0.
func (c *checker) line(key string) int {
	name := key[strings.LastIndex(key, ".")+1:]
	for i, l := range c.lines {
		l = strings.TrimSpace(l)
		rest, ok := strings.CutPrefix(l, name)
		if ok && strings.HasPrefix(strings.TrimSpace(rest), "=") || l == "["+key+"]" {
			return i + 1
		}
	}
	return 0
}

func (c *checker) address(key, value string) {
	if value == "" {
		c.add(key, "missing: an IP number and a port, like 127.0.0.1:7101")
		return
	}
	if err := object.ValidateAddress(value); err != nil {
		c.add(key, "%v", err)
	}
}

func (c *checker) syntax(err error) {
	var p toml.ParseError
	if !errors.As(err, &p) {
		c.problems = append(c.problems, Problem{File: c.file, Reason: err.Error()})
		return
	}
	reason := p.Message
	if reason == "" {
		reason = p.Error()
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: p.Position.Line, Key: p.LastKey, Reason: reason})
}
