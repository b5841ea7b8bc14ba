package main

import (
	"fmt"
	"os"

	"bronzedoor.dev/bronzedoor/internal/event"
)

// storyCmd prints the events of one request from the logs of several daemons.
type storyCmd struct {
	Request string `arg:"" help:"Request ID."`
}

// Run reads the logs from standard input. It returns an error if no line is
// about the request.
func (c *storyCmd) Run(con *console) error {
	n, err := event.WriteTimeline(con.out, os.Stdin, c.Request)
	if err == nil && n == 0 {
		err = fmt.Errorf("no log line is about request %s: it succeeded with full coverage, or its lines were dropped (event 900)", c.Request)
	}
	return err
}
