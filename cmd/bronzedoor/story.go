package main

import (
	"fmt"
	"os"

	"bronzedoor.dev/bronzedoor/internal/event"
)

// storyCmd tells one request's story from the logs of several daemons.
type storyCmd struct {
	Request string `arg:"" help:"Identity of the request."`
}

// Run reads logs from standard input.
func (c *storyCmd) Run(con *console) error {
	n, err := event.WriteTimeline(con.out, os.Stdin, c.Request)
	if err == nil && n == 0 {
		err = fmt.Errorf("the logs say nothing of request %s: it was a whole success, or its lines were left out (event 900)", c.Request)
	}
	return err
}
