package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	adapter "bronzedoor.dev/bronzedoor/platform"
)

// logCloseTimeout limits how long exit waits for a slow reader of the log.
const logCloseTimeout = 200 * time.Millisecond

// serveCmd runs a daemon that is configured by the platform, until SIGINT or
// SIGTERM.
type serveCmd struct {
	Log string `help:"Minimum log level: debug, info, warning or error." default:"info"`
}

// Run runs the daemon until ctx ends. SIGHUP makes it reload its settings. It
// logs to standard output.
func (c *serveCmd) Run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	l := logger(c.Log)
	// The writer keeps a reader of standard output that is stuck from blocking
	// the daemon.
	w := event.NewWriter(os.Stdout)
	defer w.Close(logCloseTimeout)
	l.SetOutput(w)
	return adapter.Run(ctx, reload, event.New(l))
}
