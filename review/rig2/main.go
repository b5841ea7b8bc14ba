// Command rig2 runs the cases of the second review: real daemons as separate processes,
// with stand-ins for consumers, searchers and the platform's store in this one. It exits
// with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(r *record, trouble bool) error{
	"cold":    coldCase,
	"drill":   drillCase,
	"extra":   extraCase,
	"foreign": foreignCase,
	"grace":   graceCase,
}

func main() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		running.kill()
		os.Exit(couldNotRun)
	}()
	os.Exit(run())
}

// Exit codes.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return couldNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.end()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return couldNotRun
	}
	if len(r.breaks) > 0 {
		return broken
	}
	return held
}
