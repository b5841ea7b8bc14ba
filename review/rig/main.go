package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// maxRun is the longest time of one run.
const maxRun = 110 * time.Second

// A scene is what a case runs in.
type scene struct {
	rec     *record
	dir     string // temporary folder
	trouble bool   // whether the disruption happens
	store   *store
	mu      sync.Mutex
	cleanup []func()
}

// atEnd registers what is to be ended after the run, in reverse order.
func (s *scene) atEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanup = append(s.cleanup, f)
}

// end ends all that the run has started.
func (s *scene) end() {
	s.mu.Lock()
	all := s.cleanup
	s.cleanup = nil
	s.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
}

// cases are the cases by name. Each reports whether the rule was broken, or an error
// if it could not run.
var cases = map[string]func(s *scene) (broken bool, err error){
	"drain":   runDrain,
	"grace":   runGrace,
	"headers": runHeaders,
	"depart":  runDepart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case, writes its record and returns the exit code.
func run(name, folder string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	s := &scene{rec: newRecord(), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	s.rec.add("case %s, disruption %v", name, s.trouble)
	time.AfterFunc(maxRun, func() {
		s.rec.add("the run is ended after %v", maxRun)
		s.end()
		os.Exit(exitNoRun)
	})
	broken, err := cases[name](s)
	s.end()
	code := exitHeld
	switch {
	case err != nil:
		s.rec.add("the case could not run: %v", err)
		code = exitNoRun
	case broken:
		code = exitBroken
	}
	s.rec.add("exit code %d", code)
	if err := s.rec.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	return code
}
