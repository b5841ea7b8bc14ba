package main

import (
	"context"
	"net/http"
	"time"
)

// Times of the case drill.
const (
	coldAfter = 2 * time.Second        // from the copy until the searchers become cold
	awayAfter = 300 * time.Millisecond // from then until the store is away
	awayFor   = 500 * time.Millisecond
	drills    = 3
)

// drillCase has searchers that become cold again, and a store that comes back from a copy
// which is older than that.
func drillCase(r *record, trouble bool) error {
	s, err := newStore()
	if err != nil {
		return err
	}
	s.write("config", "main", config("non_idempotent", 2500*time.Millisecond))
	searchers, err := startSearchers(s, r)
	if err != nil {
		return err
	}
	f, err := startFleet(s, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wg := startConsumers(ctx, r, f, 30, http.MethodPost, 2500*time.Millisecond)
	time.Sleep(15 * time.Second)
	for range drills {
		c := s.backup()
		time.Sleep(coldAfter)
		for _, sr := range searchers {
			sr.chill()
		}
		time.Sleep(awayAfter)
		if trouble {
			r.add("the store is away")
			s.setDown(true)
			time.Sleep(awayFor)
			r.add("the store comes back from a copy that is %v old", coldAfter+awayAfter+awayFor)
			s.restore(c)
			s.setDown(false)
		}
		time.Sleep(12 * time.Second)
	}
	cancel()
	wg.Wait()
	return nil
}
