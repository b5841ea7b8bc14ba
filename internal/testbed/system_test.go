package testbed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
)

// testService returns a service of four shards with three replicas each.
func testService() Spec {
	return Spec{
		Service:  "planner",
		Caller:   "kpakpo",
		Docs:     400,
		Shards:   4,
		Cell:     2,
		Blocks:   3,
		Domains:  []string{"accra", "kumasi", "takoradi"},
		Behavior: fakes.SearcherBehavior{Slots: 4, MaxConns: 35, ServiceTime: 4 * time.Millisecond, DialDelay: 6 * time.Millisecond, RampStep: 10},
		Selector: object.Selector{DeadlineMs: 2000, MinCoverage: 50, HedgePercent: 5, MaxAttempts: 3},
	}
}

// runSystem starts a System with testService and the given number of daemons,
// waits until it is ready and calls act. It runs under synctest's fake clock.
func runSystem(t *testing.T, daemons int, act func(t *testing.T, sys *System)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sys, err := New(1, fakes.NewNetwork(1))
		is.NoErr(err)
		defer sys.Close()
		s := testService()
		is.NoErr(sys.AddService(t.Context(), s))
		for i := range daemons {
			n, err := sys.AddNode(s.Domains[i%len(s.Domains)])
			is.NoErr(err)
			is.NoErr(sys.StartNode(n))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(sys.WaitReady(ctx))
		act(t, sys)
	})
}

// runLoad sends 20 queries per second for the duration d and returns the counts.
func runLoad(t *testing.T, sys *System, d time.Duration) LoadStats {
	l := &Load{System: sys, Checker: &Checker{System: sys}, Caller: "kpakpo", Rate: 20, Top: 5, Seed: 1}
	l.Run(t.Context(), d)
	return l.Stats()
}

// TestQueriesComplete checks that all queries are answered with full coverage
// while nothing fails.
func TestQueriesComplete(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, sys *System) {
		is := is.New(t)
		stats := runLoad(t, sys, 5*time.Second)
		is.Equal(stats.Wrong, 0)
		is.Equal(stats.Complete, stats.Sent)
	})
}
