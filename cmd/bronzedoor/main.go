// Command bronzedoor is a query tier over many shards: the daemon, the
// operators' and callers' commands, and stand-ins for trying it out.
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
	exitFailed   = 1 // the command did not do what it should
	exitInvalid  = 2 // wrong use, settings or objects: nothing was done
	exitConflict = 3 // somebody else changed the object at the same time
	exitLagging  = 4 // not in force everywhere in time
	exitRefused  = 5 // the request was refused
)

// errLagging says that some daemons were not there in time.
var errLagging = errors.New("not in force everywhere")

// commands is the command line.
type commands struct {
	Demo     demoCmd     `cmd:"" help:"Run the whole system in one process, with stand-ins, and judge it."`
	Daemon   daemonCmd   `cmd:"" help:"Run a daemon."`
	Serve    serveCmd    `cmd:"" help:"Run a daemon on the users' platform."`
	Check    checkCmd    `cmd:"" help:"Check files of settings or of objects."`
	Apply    applyCmd    `cmd:"" help:"Write the objects of files."`
	Label    labelCmd    `cmd:"" help:"Change or list labels."`
	Selector selectorCmd `cmd:"" help:"Change or list selectors."`
	Layout   layoutCmd   `cmd:"" help:"Change or list layouts."`
	Status   statusCmd   `cmd:"" help:"Show the fleet, or wait for it."`
	Explain  explainCmd  `cmd:"" help:"Show why a query got its answer."`
	Story    storyCmd    `cmd:"" help:"Tell a request's story from daemons' logs on standard input."`
	Query    queryCmd    `cmd:"" help:"Send a query."`
	Free     freeCmd     `cmd:"" help:"Ask whether an item is free."`
	Book     bookCmd     `cmd:"" help:"Book an item, at most once."`
	Fake     fakeCmd     `cmd:"" help:"Run a stand-in for the platform or an upstream."`
	Bench    benchCmd    `cmd:"" help:"Run experiments."`
}

// console is where a command writes.
type console struct {
	out io.Writer
	err io.Writer
}

func main() {
	os.Exit(run())
}

// run runs the command line and returns the exit code.
func run() int {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		// A daemon that is told to reload before it listens for that must not end.
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

func exitCode(err error) int {
	var problems setup.Problems
	var invalid *admin.InvalidError
	var refusal *query.Refusal
	switch {
	case errors.As(err, &problems), errors.As(err, &invalid):
		return exitInvalid
	case errors.Is(err, store.ErrConflict):
		return exitConflict
	case errors.Is(err, errLagging):
		return exitLagging
	case errors.As(err, &refusal):
		return exitRefused
	}
	return exitFailed
}
