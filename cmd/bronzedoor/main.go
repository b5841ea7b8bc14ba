// Command bronzedoor is a query tier between callers and many sharded,
// replicated upstreams. It holds the daemon, the commands of operators and
// callers, and fakes of the platform and of upstreams for trying it out.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/setup"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Exit codes.
const (
	exitFailed     = 1 // the command failed for a reason not listed below
	exitInvalid    = 2 // invalid command line, settings or objects; nothing was changed
	exitConflict   = 3 // the object was changed concurrently
	exitNotInForce = 4 // timed out before all daemons applied the change or were ready
	exitRefused    = 5 // the daemon refused the request
)

// errNotInForce means that some daemons had not applied a revision, or were not
// ready, when the wait ended.
var errNotInForce = errors.New("not in force everywhere")

// commands is the command line. kong takes the names of commands and flags from
// the field names.
type commands struct {
	Demo     demoCmd     `cmd:"" help:"Run the whole system in one process, with fake upstreams, and check its guarantees."`
	Daemon   daemonCmd   `cmd:"" help:"Run a daemon."`
	Serve    serveCmd    `cmd:"" help:"Run a daemon configured by the platform."`
	Check    checkCmd    `cmd:"" help:"Validate files of settings or of objects."`
	Settings settingsCmd `cmd:"" help:"Validate a settings file of the platform, or show what a reload of another version changes."`
	Apply    applyCmd    `cmd:"" help:"Write the objects in files to the object API."`
	Label    labelCmd    `cmd:"" help:"Change or list labels."`
	Selector selectorCmd `cmd:"" help:"Change or list selectors."`
	Layout   layoutCmd   `cmd:"" help:"Change or list layouts."`
	Status   statusCmd   `cmd:"" help:"Show the fleet, or wait until it is ready."`
	Explain  explainCmd  `cmd:"" help:"Show how a query was answered: the record that the daemon keeps."`
	Story    storyCmd    `cmd:"" help:"Show the events of one request, in order, from daemons' logs on standard input."`
	Judge    judgeCmd    `cmd:"" help:"Check the record of a run against the promises to callers, upstreams and operators."`
	Query    queryCmd    `cmd:"" help:"Send a query."`
	Free     freeCmd     `cmd:"" help:"Ask whether an item is free."`
	Book     bookCmd     `cmd:"" help:"Book an item, at most once."`
	Fake     fakeCmd     `cmd:"" help:"Run a fake of a platform service or of an upstream."`
	Bench    benchCmd    `cmd:"" help:"Run experiments."`
}

// console holds the standard output and error of a command.
type console struct {
	out io.Writer
	err io.Writer
}

func main() {
	os.Exit(run())
}

// run parses and runs the command line and returns the exit code.
func run() int {
	if len(os.Args) > 1 && (os.Args[1] == "serve" || os.Args[1] == "daemon") {
		// SIGHUP asks for a reload. By default it ends the process, which must not
		// happen if it comes before the command handles it.
		signal.Ignore(syscall.SIGHUP)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("bronzedoor"),
		kong.Description("A query tier over many shards. Exit codes: 1 failed, 2 invalid, 3 conflict, 4 not in force in time, 5 refused."),
		kong.UsageOnError(),
		kong.Writers(os.Stdout, os.Stderr),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&console{out: os.Stdout, err: os.Stderr}),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzedoor:", err)
		return exitFailed
	}
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "bronzedoor:", err)
		return exitInvalid
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bronzedoor:", err)
		return exitCode(err)
	}
	return 0
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var problems setup.Problems
	var invalid *admin.InvalidError
	var settings *invalidSettingsError
	var record *invalidRecordError
	var refusal *query.Refusal
	switch {
	case errors.As(err, &problems), errors.As(err, &invalid), errors.As(err, &settings), errors.As(err, &record):
		return exitInvalid
	case errors.Is(err, store.ErrConflict):
		return exitConflict
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &refusal):
		return exitRefused
	}
	return exitFailed
}
