package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

// coldPerS is the ColdPerS of the service in the case cold.
const coldPerS = 10

// config is a desired state with one route to one service.
func config(routeType string, timeout time.Duration) map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "r-one", "Host": "h.example", "PathPrefix": "/one/", "Service": "s1", "RouteType": routeType,
			"TimeoutMs": timeout.Milliseconds(), "SloMs": 300, "Priority": 1, "Attempts": 2, "AllowedRegions": []string{},
		}},
		"Services": []map[string]any{{"Name": "s1", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdStartS": coldTime.Seconds(), "ColdPerS": coldPerS}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// gatherConfig is a desired state with a route to three shards, and one to a single service.
func gatherConfig() map[string]any {
	c := config("idempotent", 2500*time.Millisecond)
	c["Routes"] = []map[string]any{{
		"Name": "r-all", "Host": "h.example", "PathPrefix": "/one/", "Gather": []string{"s1", "s2", "s3"}, "RouteType": "idempotent",
		"TimeoutMs": 2500, "SloMs": 250, "Priority": 1, "Attempts": 2, "TopK": 5, "MinShardRatio": 0.75, "AllowedRegions": []string{},
	}, {
		"Name": "r-ledger", "Host": "h.example", "PathPrefix": "/ledger/", "Service": "s4", "RouteType": "idempotent",
		"TimeoutMs": 2500, "SloMs": 300, "Priority": 2, "Attempts": 2, "AllowedRegions": []string{},
	}}
	return c
}

// coldCase crashes all searchers of a service for a second, and starts them again under the
// IDs that they had, while the platform's store is down.
func coldCase(r *record, trouble bool) error {
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
	time.Sleep(15 * time.Second) // a daemon that has just started uses little of its share
	if trouble {
		if os.Getenv("STORE") != "0" {
			r.add("the store is down")
			s.setDown(true)
		}
		time.Sleep(time.Second)
		for _, sr := range searchers {
			sr.crash("disruption")
		}
		time.Sleep(time.Second)
		for _, sr := range searchers {
			if err := sr.start(true); err != nil {
				return err
			}
			r.add("%s starts again", sr.id)
		}
		time.Sleep(2500 * time.Millisecond)
		r.add("the store is back")
		s.setDown(false)
	}
	time.Sleep(6 * time.Second)
	cancel()
	wg.Wait()
	return nil
}

// startSearchers starts a searcher in each zone.
func startSearchers(s *store, r *record) ([]*searcher, error) {
	var out []*searcher
	for i := range 3 {
		sr := &searcher{
			id: fmt.Sprintf("i-%d", i+1), service: "s1", zone: fmt.Sprintf("z%d", i+1), slots: 4, coldRate: coldPerS,
			work: 20 * time.Millisecond, store: s, record: r,
		}
		if err := sr.start(false); err != nil {
			return nil, err
		}
		out = append(out, sr)
	}
	return out, nil
}
