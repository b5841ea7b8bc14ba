package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/daemon"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/setup"
)

// daemonCmd runs a daemon until it is told to stop.
type daemonCmd struct {
	File string `help:"Settings, in TOML." required:"" type:"path"`
}

// Run runs the daemon.
func (c *daemonCmd) Run(ctx context.Context) error {
	s, err := setup.Load(c.File)
	if err != nil {
		return err
	}
	d := daemon.New(s, daemon.SystemNet(), event.New(logger(s.Log)))
	if err := d.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), time.Duration(s.Drain))
	defer cancel()
	return d.Leave(end)
}

func logger(level string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	l.SetFormatter(&logrus.JSONFormatter{})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}

// checkCmd checks files.
type checkCmd struct {
	Files []string `arg:"" help:"Files of settings, or of labels, selectors and layouts."`
}

// Run checks the files and names all problems.
func (c *checkCmd) Run(con *console) error {
	var all setup.Problems
	for _, f := range c.Files {
		err := admin.CheckFile(f)
		if p, ok := err.(setup.Problems); ok {
			all = append(all, p...)
			continue
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(con.out, "%s: ok\n", f)
	}
	if len(all) > 0 {
		return all
	}
	return nil
}
