// Package setup reads and checks a daemon's settings, a TOML file. It holds only
// what a daemon cannot learn from the object API, the VM list or other daemons.
package setup

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/object"
)

// Settings are the settings of a daemon. The tag reload says whether a running daemon puts
// a changed value in force, or has to be restarted (package change).
type Settings struct {
	Address string   `toml:"address" reload:"restart"` // for callers: IP number and port
	Peer    string   `toml:"peer" reload:"restart"`    // for other daemons: IP number and port, TCP and UDP
	Domain  string   `toml:"domain" reload:"restart"`  // failure domain of the VM
	Start   string   `toml:"start" reload:"restart"`   // start identity that the platform gave the VM; a random one if empty
	Objects string   `toml:"objects" reload:"restart"` // object API: IP number and port
	Machine string   `toml:"machine" reload:"restart"` // VM list: IP number and port
	Peers   []string `toml:"peers" reload:"restart"`   // peer addresses of some other daemons, to join through while the VM list is down
	Memory  int64    `toml:"memory" reload:"restart"`  // MB that the process may use; 0 for all that the VM has
	Log     string   `toml:"log" reload:"live"`        // lowest level logged: debug, info, warning or error
	Linger  Duration `toml:"linger" reload:"live"`     // how long a leaving daemon still accepts new requests
	Drain   Duration `toml:"drain" reload:"live"`      // timeout of a leave; must be above Linger
	TLS     TLS      `toml:"tls" reload:"restart"`     // the files' contents are read again when they change
}

// MemoryLimit returns the memory in bytes that the process may use; 0 if that is not known.
func (s *Settings) MemoryLimit() int64 {
	if s.Memory > 0 {
		return s.Memory << 20
	}
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// TLS names the certificate files. Either all are set or none, which means plain
// text.
type TLS struct {
	Cert string `toml:"cert"` // certificate of this daemon, PEM
	Key  string `toml:"key"`  // private key of this daemon, PEM
	Root string `toml:"root"` // certificates of the authorities that sign the daemons' certificates, PEM
}

// A Duration is a time.Duration, written with its unit, like "5s".
type Duration time.Duration

// String returns the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// UnmarshalText parses a duration with its unit. It must not be negative.
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

// Default values of optional settings.
const (
	defaultLinger = 5 * time.Second
	defaultDrain  = 30 * time.Second
	defaultLog    = "info"
)

// A Problem is one fault in a file.
type Problem struct {
	File   string
	Line   int    // from 1; 0 if unknown, as for a missing key
	Key    string // may be empty
	Reason string // what is wrong, and what would be valid
}

// String returns the problem as "file:line: key: reason". It leaves out an unknown
// line and an empty key.
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

// Problems holds all faults found in a file. It implements error.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a file of settings. The error, if any, is a Problems with
// all faults found.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Reason: err.Error()}}
	}
	return Parse(file, string(b))
}

// Parse reads and checks text, the contents of a file of settings. It uses file
// only in problems. The error, if any, is a Problems with all faults found.
func Parse(file, text string) (*Settings, error) {
	c := &checker{file: file, lines: strings.Split(text, "\n")}
	s := Settings{Log: defaultLog, Linger: Duration(defaultLinger), Drain: Duration(defaultDrain)}
	meta, err := toml.Decode(text, &s)
	if err != nil {
		c.addSyntaxError(err)
		return nil, c.problems
	}
	for _, k := range meta.Undecoded() {
		c.add(k.String(), "no such setting")
	}
	s.check(c)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &s, nil
}

// check adds a problem for each invalid value to c.
func (s *Settings) check(c *checker) {
	for _, a := range []struct{ key, value string }{
		{"address", s.Address}, {"peer", s.Peer}, {"objects", s.Objects}, {"machine", s.Machine},
	} {
		c.checkAddress(a.key, a.value)
	}
	for _, p := range s.Peers {
		c.checkAddress("peers", p)
	}
	if !domainPattern.MatchString(s.Domain) {
		c.add("domain", "%q is not a word of lower-case letters, digits and hyphens", s.Domain)
	}
	if strings.ContainsAny(s.Start, "# ") {
		c.add("start", "%q contains a # or a space", s.Start)
	}
	if _, err := logrus.ParseLevel(s.Log); err != nil {
		c.add("log", "%q is not debug, info, warning or error", s.Log)
	}
	if s.Memory < 0 {
		c.add("memory", "%d is below zero", s.Memory)
	}
	if s.Drain <= s.Linger {
		c.add("drain", "%v is not above linger, %v", time.Duration(s.Drain), time.Duration(s.Linger))
	}
	if t := s.TLS; t != (TLS{}) && (t.Cert == "" || t.Key == "" || t.Root == "") {
		c.add("tls", "cert, key and root must be set together")
	}
}

// domainPattern matches names of failure domains.
var domainPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// A checker collects the problems of a file and finds their lines.
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

// line returns the number of the first line that sets the last part of a dotted
// key or opens the table key, or 0 if there is none.
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

// checkAddress adds a problem if value is not an IP number and a port.
func (c *checker) checkAddress(key, value string) {
	if value == "" {
		c.add(key, "missing: an IP number and a port, like 127.0.0.1:7101")
		return
	}
	if err := object.ValidateAddress(value); err != nil {
		c.add(key, "%v", err)
	}
}

// addSyntaxError adds an error of the TOML parser, with its position if it has one.
func (c *checker) addSyntaxError(err error) {
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
