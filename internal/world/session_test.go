package world

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
)

// small is a service of four shards with three replicas each.
func small() Spec {
	return Spec{
		Service: "planner",
		Caller:  "kpakpo",
		Docs:    400,
		Shards:  4,
		Cell:    2,
		Blocks:  3,
		Domains: []string{"accra", "kumasi", "takoradi"},
		Nature:  fakes.SearcherBehavior{Slots: 4, MaxConns: 35, ServiceTime: 4 * time.Millisecond, DialDelay: 6 * time.Millisecond, RampStep: 10},
		Policy:  object.Selector{Deadline: 2000, Floor: 50, Hedge: 5, Tries: 3},
	}
}

// session runs act in a world of so many daemons under a paused clock.
func session(t *testing.T, daemons int, act func(t *testing.T, w *World)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, err := New(1, fakes.NewNetwork(1))
		is.NoErr(err)
		defer w.Close()
		s := small()
		is.NoErr(w.AddService(t.Context(), s))
		for i := range daemons {
			n, err := w.AddNode(s.Domains[i%len(s.Domains)])
			is.NoErr(err)
			is.NoErr(w.StartNode(n))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(w.Ready(ctx))
		act(t, w)
	})
}

// send sends queries for a time and returns what came of them.
func send(t *testing.T, w *World, d time.Duration) LoadTally {
	l := &Load{World: w, Judge: &Judge{World: w}, Caller: "kpakpo", Rate: 20, Top: 5, Seed: 1}
	l.Run(t.Context(), d)
	return l.Tally()
}

func TestWholeSession(t *testing.T) {
	session(t, 3, func(t *testing.T, w *World) {
		is := is.New(t)
		tally := send(t, w, 5*time.Second)
		is.Equal(tally.Untrue, 0)
		is.Equal(tally.Whole, tally.Sent)
	})
}
