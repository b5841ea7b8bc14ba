package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the grace case.
const (
	oldGrace     = 6 * time.Second
	newGrace     = 4 * time.Second
	graceWork    = 600 * time.Millisecond
	settingsWait = 6 * time.Second // from the change of the settings to SIGTERM, above ConfigApplyMs
)

// graceSendTimes are when requests are sent, counted from SIGTERM. The last one could be
// answered before the shorter grace period is over.
var graceSendTimes = []time.Duration{1000 * time.Millisecond, 3050 * time.Millisecond, 3100 * time.Millisecond, 3150 * time.Millisecond, 3200 * time.Millisecond, 3300 * time.Millisecond, 3500 * time.Millisecond, 3700 * time.Millisecond}

// shortenGrace replaces the settings file by one with the shorter grace period, and says
// so with SIGHUP.
func shortenGrace(d *daemon) error {
	b, err := os.ReadFile(d.settings())
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), fmt.Sprintf("GraceS = %d\n", int(oldGrace.Seconds())), fmt.Sprintf("GraceS = %d\n", int(newGrace.Seconds())), 1)
	if text == string(b) {
		return errors.New("the settings have no GraceS to change")
	}
	next := d.settings() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, d.settings()); err != nil {
		return err
	}
	d.rec.add("the settings of daemon %s now have GraceS = %d", d.name, int(newGrace.Seconds()))
	d.signal(syscall.SIGHUP)
	return nil
}

// runGrace shortens GraceS while a daemon runs, and then stops it as the platform does:
// with SIGTERM, and with SIGKILL after GraceS. The rule LOST is broken if a request that
// was read and passed on, and is not excused, ends without an answer.
func runGrace(s *scene) (bool, error) {
	d, searchers, err := startLedger(s, graceWork, ledgerConfig(7))
	if err != nil {
		return false, err
	}
	grace := oldGrace
	if s.trouble {
		time.Sleep(time.Second)
		grace = newGrace
		if err := shortenGrace(d); err != nil {
			return false, err
		}
	}
	time.Sleep(settingsWait)
	kept, err := openKept(s, d, 2*len(graceSendTimes))
	if err != nil {
		return false, err
	}
	start := time.Now()
	d.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { d.signal(syscall.SIGKILL) })
	answers := make([]answer, len(kept))
	var wg sync.WaitGroup
	for i, c := range kept {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(graceSendTimes[i/2])))
			if i%2 == 0 {
				answers[i] = c.send(http.MethodGet, ledgerHost, "/read/entry", nil, 8*time.Second)
			} else {
				answers[i] = c.send(http.MethodPost, ledgerHost, "/book/deposit", []byte("amount=100"), 8*time.Second)
			}
		})
	}
	wg.Wait()
	return judgeLost(s, searchers, answers, graceSendTimes, grace), nil
}
