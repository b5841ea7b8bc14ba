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

// logWait bounds the wait for a slow reader of the log at the end.
const logWait = 200 * time.Millisecond

// serveCmd runs a daemon on the users' platform until it is told to stop.
type serveCmd struct {
	Log string `help:"Least level: debug, info, warning or error." default:"info"`
}

// Run runs the daemon.
func (c *serveCmd) Run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	l := logger(c.Log)
	// A reader that is stuck must not stop the daemon.
	w := event.NewWriter(os.Stdout)
	defer w.Close(logWait)
	l.SetOutput(w)
	return adapter.Run(ctx, reload, event.New(l))
}
