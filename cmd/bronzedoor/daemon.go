package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/daemon"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/intake"
	"bronzedoor.dev/bronzedoor/internal/setup"
)

// daemonCmd runs a daemon until SIGINT or SIGTERM. SIGHUP makes it reload its settings.
type daemonCmd struct {
	File string `help:"Settings file in TOML." required:"" type:"path"`
}

// Run starts the daemon and waits for ctx to end. The daemon then has the
// settings' drain time to finish its work.
func (c *daemonCmd) Run(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s, err := setup.Load(c.File)
	if err != nil {
		return err
	}
	intake.LimitHeap(s.MemoryLimit())
	l := logger(s.Log)
	d := daemon.New(s, daemon.SystemNet(), event.New(l))
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-reload:
			d.Reload(c.File)
			setLevel(l, d.InForce().Log)
		}
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(d.InForce().Drain))
	defer cancel()
	return d.Leave(drainCtx)
}

// logger returns a logger that writes JSON lines to standard error. An unknown
// level leaves the default, info.
func logger(level string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	l.SetFormatter(&logrus.JSONFormatter{})
	setLevel(l, level)
	return l
}

// setLevel sets the lowest level that is logged. An unknown level changes nothing.
func setLevel(l *logrus.Logger, level string) {
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
}

// checkCmd validates files without applying them.
type checkCmd struct {
	Files []string `arg:"" help:"Files of settings, or of labels, selectors and layouts."`
}

// Run checks every file and returns the problems of all of them together.
func (c *checkCmd) Run(con *console) error {
	var problems setup.Problems
	for _, f := range c.Files {
		err := admin.CheckFile(f)
		if p, ok := err.(setup.Problems); ok {
			problems = append(problems, p...)
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(con.out, "%s: ok\n", f)
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}
