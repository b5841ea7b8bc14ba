package world

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// quiet is the time after which an upstream that was taken out gets no work.
const quiet = 3 * time.Second

// background sends queries while a test does something else.
type background struct {
	load *Load
	work sync.WaitGroup
}

func sendBehind(t *testing.T, w *World, rate float64) *background {
	b := &background{load: &Load{World: w, Judge: &Judge{World: w}, Caller: "kpakpo", Rate: rate, Top: 5, Seed: 1}}
	b.work.Add(1)
	go b.run(t.Context())
	return b
}

func (b *background) run(ctx context.Context) {
	defer b.work.Done()
	b.load.Run(ctx, time.Hour)
}

// end stops sending, waits for the last reply and returns the record.
func (b *background) end() LoadTally {
	b.load.Halt()
	b.work.Wait()
	return b.load.Tally()
}

func (w *World) host(service string, layout, shard int, domain string) *Host {
	for _, h := range w.Hosts {
		if h.Service == service && h.Layout == layout && h.Shard == shard && h.Domain == domain {
			return h
		}
	}
	return nil
}

// TestFaults makes one fault after another while queries run, and judges every
// answer by the searchers' data.
func TestFaults(t *testing.T) {
	each := func(w *World, f func(h *Host)) {
		for _, h := range w.Hosts {
			f(h)
		}
	}
	tests := []struct {
		name   string
		act    func(t *testing.T, w *World)
		partly bool // answers may lack shards
	}{
		{name: "index versions roll", act: func(t *testing.T, w *World) {
			for range 3 {
				each(w, func(h *Host) {
					h.AdvanceVersion()
					time.Sleep(300 * time.Millisecond)
				})
			}
		}},
		{name: "a replica answers from the wrong version", act: func(t *testing.T, w *World) {
			w.Hosts[0].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.WrongVersion = true })
			time.Sleep(5 * time.Second)
		}},
		{name: "a replica answers another request", act: func(t *testing.T, w *World) {
			w.Hosts[0].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.WrongRequest = true })
			time.Sleep(5 * time.Second)
		}},
		{name: "a replica cuts its answers off", act: func(t *testing.T, w *World) {
			w.Hosts[1].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.TruncateAt = 40 })
			time.Sleep(5 * time.Second)
		}},
		{name: "a replica searches only some of its shard", act: func(t *testing.T, w *World) {
			w.Hosts[2].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Partial = true })
			time.Sleep(5 * time.Second)
		}},
		{name: "a replica resets connections", act: func(t *testing.T, w *World) {
			w.Hosts[2].UpdateBehavior(func(n *fakes.SearcherBehavior) { n.ResetConn = true })
			time.Sleep(5 * time.Second)
		}},
		{name: "a shard is lost", partly: true, act: func(t *testing.T, w *World) {
			each(w, func(h *Host) {
				if h.Shard == 1 {
					h.UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Down = true })
				}
			})
			time.Sleep(5 * time.Second)
		}},
		{name: "one searcher restarts in silence, again and again", act: func(t *testing.T, w *World) {
			for range 20 {
				w.Hosts[0].Restart()
				time.Sleep(700 * time.Millisecond)
			}
		}},
		{name: "all replicas of a shard turn cold at once", partly: true, act: func(t *testing.T, w *World) {
			each(w, func(h *Host) {
				if h.Shard == 0 {
					h.Restart()
				}
			})
			time.Sleep(10 * time.Second)
		}},
		{name: "all searchers turn cold at once", partly: true, act: func(t *testing.T, w *World) {
			each(w, func(h *Host) { h.Restart() })
			time.Sleep(20 * time.Second)
		}},
		{name: "a daemon is cut off while a searcher warms up", partly: true, act: func(t *testing.T, w *World) {
			cut := w.Nodes[1]
			w.Hosts[0].Restart()
			w.Memory.SetCut(func(from, to string) bool { return from == cut.Peer || to == cut.Peer })
			time.Sleep(5 * time.Second)
			w.Hosts[0].Restart()
			w.Memory.SetCut(nil)
			time.Sleep(10 * time.Second)
		}},
		{name: "a daemon dies and its VM is replaced", partly: true, act: func(t *testing.T, w *World) {
			n := w.Nodes[1]
			w.KillNode(n)
			time.Sleep(5 * time.Second)
			w.VMs.Remove(n.Peer)
			time.Sleep(10 * time.Second)
			is.New(t).NoErr(w.StartNode(n))
			time.Sleep(10 * time.Second)
		}},
		{name: "the store is down", act: func(t *testing.T, w *World) {
			w.Store.SetFaults(fakes.StoreFaults{Down: true})
			time.Sleep(time.Minute)
			w.Store.SetFaults(fakes.StoreFaults{})
			time.Sleep(time.Minute)
		}},
		{name: "data is repartitioned", act: func(t *testing.T, w *World) {
			is := is.New(t)
			s := small()
			s.Shards = 6
			is.NoErr(w.AddService(t.Context(), s))
			time.Sleep(10 * time.Second)
			_, err := w.Editor.Remove(t.Context(), object.KindLayout, object.LayoutName(s.Service, 1))
			is.NoErr(err)
			time.Sleep(10 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			session(t, 3, func(t *testing.T, w *World) {
				is := is.New(t)
				send(t, w, 10*time.Second)
				b := sendBehind(t, w, 20)
				tt.act(t, w)
				tally := b.end()
				t.Logf("%+v", tally)
				is.Equal(tally.Untrue, 0) // one snapshot, true coverage
				is.Equal(tally.Failed, 0) // an answer or a refusal to each
				if !tt.partly {
					is.Equal(tally.Refused, 0)
					is.Equal(tally.Whole, tally.Answered) // another replica serves
				}
				total := w.Totals("")
				is.Equal(total.ColdOverloads, 0) // cold upstreams bear what they get
				is.Equal(total.ConnsRejected, 0) // and no cap is passed
				last := send(t, w, 5*time.Second)
				is.Equal(last.Untrue+last.Failed+last.Refused, 0) // all is well again
			})
		})
	}
}

// TestNoNewWork takes a domain or an upstream out while something else fails.
func TestNoNewWork(t *testing.T) {
	tests := []struct {
		name   string
		before func(w *World)
		after  func(w *World)
	}{
		{name: "all well"},
		{name: "a watch is stuck", before: func(w *World) { w.Store.SetFaults(fakes.StoreFaults{StallWatches: true}) }},
		{name: "the store fails right after accepting", after: func(w *World) { w.Store.SetFaults(fakes.StoreFaults{Down: true}) }},
		{name: "the answer to the operator's write is lost", before: func(w *World) { w.Store.SetFaults(fakes.StoreFaults{LoseReplies: 0.9}) }},
	}
	for _, tt := range tests {
		for _, target := range []string{"domain/kumasi", "upstream"} {
			t.Run(tt.name+", "+target, func(t *testing.T) {
				session(t, 4, func(t *testing.T, w *World) {
					is := is.New(t)
					send(t, w, 5*time.Second)
					b := sendBehind(t, w, 40)
					time.Sleep(time.Second)
					if tt.before != nil {
						tt.before(w)
					}
					h := w.host("planner", 1, 2, "kumasi")
					name := target
					if target == "upstream" {
						name = "upstream/" + h.Address
					}
					_, err := w.Label(t.Context(), name, object.KeyState, object.StateOut)
					is.NoErr(err)
					if tt.after != nil {
						tt.after(w)
					}
					accepted := time.Now()
					time.Sleep(20 * time.Second)
					tally := b.end()
					is.Equal(tally.Untrue+tally.Refused+tally.Failed, 0)
					is.True(h.Stats().LastArrival.Sub(accepted) < quiet)
				})
			})
		}
	}
}

// TestRollingRestart replaces every daemon in turn, gracefully, under queries
// and bookings, while callers go on sending to a daemon that leaves until its
// check fails.
func TestRollingRestart(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %t", down), func(t *testing.T) {
			session(t, 4, func(t *testing.T, w *World) {
				is := is.New(t)
				send(t, w, 5*time.Second)
				b := sendBehind(t, w, 40)
				time.Sleep(3 * time.Second)
				w.Store.SetFaults(fakes.StoreFaults{Down: down})
				for _, n := range w.Nodes {
					is.NoErr(w.LeaveNode(n))
					is.NoErr(w.StartNode(n))
					time.Sleep(5 * time.Second)
				}
				tally := b.end()
				t.Logf("%+v", tally)
				is.Equal(tally.Untrue+tally.Failed+tally.Refused, 0) // no request is cut
				is.Equal(tally.Whole, tally.Answered)
				is.Equal(w.Totals("").ConnsRejected, 0)
				blocks := 0
				for _, n := range w.Nodes {
					blocks += len(n.Status().Blocks)
				}
				is.Equal(blocks, 6) // every permit has found an owner
			})
		})
	}
}

// TestBookings books under faults, and counts executions at the searchers.
func TestBookings(t *testing.T) {
	tests := []struct {
		name string
		act  func(w *World)
	}{
		{name: "all well", act: func(*World) {}},
		{name: "answers of the store are lost", act: func(w *World) { w.Store.SetFaults(fakes.StoreFaults{LoseReplies: 0.5}) }},
		{name: "the store is down", act: func(w *World) { w.Store.SetFaults(fakes.StoreFaults{Down: true}) }},
		{name: "the store is slow", act: func(w *World) { w.Store.SetFaults(fakes.StoreFaults{Delay: 1500 * time.Millisecond}) }},
		{name: "searchers reset after executing", act: func(w *World) {
			for _, h := range w.Hosts {
				h.UpdateBehavior(func(n *fakes.SearcherBehavior) { n.ResetConn = true })
			}
		}},
		{name: "searchers answer crossed", act: func(w *World) {
			for _, h := range w.Hosts {
				h.UpdateBehavior(func(n *fakes.SearcherBehavior) { n.WrongRequest = true })
			}
		}},
		{name: "searchers drain", act: func(w *World) {
			for _, h := range w.Hosts {
				h.UpdateBehavior(func(n *fakes.SearcherBehavior) { n.Draining = true })
			}
		}},
		{name: "a holder is killed", act: func(w *World) { w.KillNode(w.Nodes[2]) }},
		{name: "daemons are cut off from each other", act: func(w *World) {
			w.Memory.SetCut(func(from, to string) bool { return from == w.Nodes[1].Peer || to == w.Nodes[1].Peer })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			session(t, 3, func(t *testing.T, w *World) {
				is := is.New(t)
				send(t, w, 5*time.Second)
				tt.act(w)
				var work sync.WaitGroup
				outcomes := make([][]outcome, 20)
				for i := range outcomes {
					work.Add(1)
					k := &booker{world: w, key: fmt.Sprintf("key-%d", i), number: i, work: &work, out: &outcomes[i]}
					go k.run(t.Context())
				}
				work.Wait()
				w.Memory.SetCut(nil)
				for i, tries := range outcomes {
					key := fmt.Sprintf("key-%d", i)
					runs := 0
					for _, h := range w.Hosts {
						runs += h.Executions(key)
					}
					is.True(runs <= 1) // never twice
					for _, o := range tries {
						is.True(!o.done || runs == 1)
					}
					if allUnrun(tries) {
						is.Equal(runs, 0) // "not run" is true
					}
				}
			})
		})
	}
}

// outcome is what a caller was told.
type outcome struct {
	done bool
	run  query.Run
}

func allUnrun(tries []outcome) bool {
	for _, o := range tries {
		if o.done || o.run != query.RunNone {
			return false
		}
	}
	return true
}

// booker books one key twice at a time and once more, through several entries.
type booker struct {
	world  *World
	key    string
	number int
	work   *sync.WaitGroup
	out    *[]outcome
}

func (k *booker) run(ctx context.Context) {
	defer k.work.Done()
	for try := range 3 {
		n := k.world.Nodes[(k.number+try)%2]
		_, err := k.world.Caller(n).Book(ctx, &query.Booking{Caller: "kpakpo", Key: k.key, Item: fmt.Sprintf("floor-%d", k.number)})
		o := outcome{done: err == nil, run: query.RunUnknown}
		var refusal *query.Refusal
		if errors.As(err, &refusal) {
			o.run = refusal.Run
		}
		*k.out = append(*k.out, o)
	}
}

// TestOperatorsRace lets two operators edit the same label from the same state.
func TestOperatorsRace(t *testing.T) {
	session(t, 2, func(t *testing.T, w *World) {
		is := is.New(t)
		ctx := t.Context()
		first, err := w.Label(ctx, "domain/kumasi", "note", "one")
		is.NoErr(err)
		now, err := w.Editor.Store.Get(ctx, object.KindLabel, "domain/kumasi")
		is.NoErr(err)
		_, err = w.Label(ctx, "domain/kumasi", object.KeyState, object.StateOut)
		is.NoErr(err)
		late := object.Label{Target: "domain/kumasi", Pairs: []object.Pair{{Key: "note", Value: "two"}}}
		_, err = admin.Put(ctx, w.Editor, object.KindLabel, "domain/kumasi", now, &late)
		is.True(err != nil) // the later one is told, and reverts nothing
		time.Sleep(time.Second)
		for _, n := range w.Nodes {
			is.True(n.Status().Revision > first)
		}
	})
}

// TestBlocksComeToRest starts more daemons than read the VM list often, and
// finds that permits stop moving.
func TestBlocksComeToRest(t *testing.T) {
	session(t, 40, func(t *testing.T, w *World) {
		is := is.New(t)
		time.Sleep(30 * time.Second)
		before := w.Store.Revision()
		time.Sleep(time.Minute)
		is.Equal(w.Store.Revision(), before) // no record is written any more
		blocks := 0
		for _, n := range w.Nodes {
			blocks += len(n.Status().Blocks)
		}
		is.Equal(blocks, 6) // and each block has an owner
	})
}
