package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bronzedoor.dev/bronzedoor/internal/event"
	adapter "bronzedoor.dev/bronzedoor/platform"
)

// serveCmd runs a daemon on the users' platform until it is told to stop.
type serveCmd struct {
	Log string `help:"Least level: debug, info, warning or error." default:"info"`
}

// Run runs the daemon.
func (c *serveCmd) Run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	l := logger(c.Log)
	l.SetOutput(os.Stdout)
	return adapter.Run(ctx, reload, event.New(l))
}
