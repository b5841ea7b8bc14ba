package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/draw"
)

func TestMain(m *testing.M) {
	draw.Main(m)
}

var epoch = time.Unix(0, 0)

func TestRamp(t *testing.T) {
	const fast = time.Millisecond
	type act func(r *Ramp)
	good := func(n int) act {
		return func(r *Ramp) {
			for range n {
				r.Good(fast, epoch)
			}
		}
	}
	tests := []struct {
		name  string
		first bool
		acts  []act
		want  int
	}{
		{name: "cold and not first sends nothing", want: 0},
		{name: "cold and first sends one", first: true, want: 1},
		{name: "a window of good answers adds one", first: true, acts: []act{good(Window)}, want: 2},
		{name: "less than a window adds none", first: true, acts: []act{good(Window - 1)}, want: 1},
		{name: "slow answers add none", first: true, want: 1, acts: []act{func(r *Ramp) {
			for range 10 * Window {
				r.Good(time.Second, epoch)
			}
		}}},
		{name: "a warm upstream goes up to the permits", first: true, acts: []act{good(1000)}, want: 8},
		{name: "a shed halves", first: true, acts: []act{good(1000), (*Ramp).Shed}, want: 4},
		{name: "a new start falls to one", first: true, want: 1, acts: []act{good(1000), func(r *Ramp) { r.Seen("b") }}},
		{name: "a new start falls to none when not first", want: 0, acts: []act{func(r *Ramp) {
			r.Told("a", epoch)
			r.Seen("b")
		}}},
		{name: "word of warmth lets others in", acts: []act{func(r *Ramp) { r.Told("a", epoch) }}, want: 1},
		{name: "word of another start does not raise the limit", first: true, want: 1, acts: []act{good(1000), func(r *Ramp) { r.Told("b", epoch) }}},
		{name: "a broken connection without identity is cold", want: 0, acts: []act{func(r *Ramp) {
			r.Told("", epoch)
			r.Lost()
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Ramp{Max: 8, Bears: 4, First: tt.first, Goal: 100 * time.Millisecond}
			if tt.first {
				r.Seen("a")
			}
			for _, a := range tt.acts {
				a(&r)
			}
			is.Equal(r.Limit(epoch), tt.want)
		})
	}
}

func TestRampForgetsOldWarmth(t *testing.T) {
	is := is.New(t)
	r := Ramp{Max: 8, Bears: 4}
	r.Told("a", epoch)
	is.Equal(r.Limit(epoch.Add(FreshFor)), 1)
	is.Equal(r.Limit(epoch.Add(FreshFor+1)), 0)
}

// TestRampsNeverOverload draws holders that share an upstream which restarts,
// and finds that a cold one never has more in flight than it bears. Each
// request goes over a connection that tells the start, as the relay sees to.
func TestRampsNeverOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, each = 4, 10
		n := rapid.IntRange(2, 4).Draw(t, "holders")
		ramps := make([]Ramp, n)
		for i := range ramps {
			ramps[i] = Ramp{Max: 35 / n, Bears: slots, First: i == 0, Goal: time.Second}
		}
		starts, served := 1, 0
		start := "1"
		var flight []int // holder of each request in flight
		for range rapid.IntRange(50, 400).Draw(t, "length") {
			h := rapid.IntRange(0, n-1).Draw(t, "holder")
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0, 1, 2, 3, 4: // send
				ramps[h].Seen(start)
				mine := 0
				for _, f := range flight {
					if f == h {
						mine++
					}
				}
				if mine >= ramps[h].Limit(epoch) {
					continue
				}
				flight = append(flight, h)
				if bears := 1 + served/each; bears < slots && len(flight) > bears {
					t.Fatalf("%d in flight, the upstream bears %d", len(flight), bears)
				}
			case 5, 6, 7, 8: // answer
				if len(flight) == 0 {
					continue
				}
				f := flight[0]
				flight = flight[1:]
				served++
				if ramps[f].Good(time.Millisecond, epoch) {
					for i := range ramps {
						ramps[i].Told(start, epoch)
					}
				}
			case 9: // silent restart: requests in flight are lost
				if rapid.IntRange(0, 20).Draw(t, "restart") > 0 {
					continue
				}
				starts++
				start = string(rune('0' + starts))
				served, flight = 0, nil
			}
		}
	})
}

func TestQueueTurns(t *testing.T) {
	tests := []struct {
		name string
		push []string
		want string
	}{
		{name: "one class in order", push: []string{"a1", "a2", "a3"}, want: "a1 a2 a3 "},
		{name: "classes take turns", push: []string{"a1", "a2", "a3", "b1"}, want: "a1 b1 a2 a3 "},
		{name: "a full class does not push another out", push: []string{"a1", "a2", "a3", "a4", "b1"}, want: "a1 b1 a2 a3 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := Queue{Bound: 3}
			for _, p := range tt.push {
				q.Push(&Waiter{Class: p[:1], Due: epoch.Add(time.Hour), Grant: p})
			}
			got := ""
			for q.Len() > 0 {
				got += q.Pop(epoch, func(*Waiter) bool { return true }).Grant.(string) + " "
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestQueueDropsWhatIsPastDue(t *testing.T) {
	is := is.New(t)
	q := Queue{Bound: 9}
	q.Push(&Waiter{Class: "a", Due: epoch.Add(time.Second), Grant: "late"})
	q.Push(&Waiter{Class: "a", Due: epoch.Add(time.Minute), Grant: "good"})
	w := q.Pop(epoch.Add(2*time.Second), func(*Waiter) bool { return true })
	is.Equal(w.Grant, "good") // no work is wasted on the late one
}

// worker is a request at a gate.
type worker struct {
	gate *Gate
	err  chan error
}

func (w *worker) run(ctx context.Context) {
	err := w.gate.Enter(ctx)
	if err == nil {
		time.Sleep(time.Second)
		w.gate.Leave()
	}
	w.err <- err
}

func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &worker{gate: &Gate{Flight: 1, Bound: 2}, err: make(chan error, 4)}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		for range 4 {
			go w.run(ctx)
			synctest.Wait()
		}
		is.Equal(<-w.err, ErrFull)                  // the fourth, at once
		is.NoErr(<-w.err)                           // the first, after a second
		is.Equal(<-w.err, context.DeadlineExceeded) // the third, when its time ended
		is.NoErr(<-w.err)                           // the second, which had started in time
		is.NoErr(w.gate.Enter(t.Context()))         // and the gate is free again
	})
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := Budget{Burst: 2}
	is.True(!b.Spend())
	for range 100 {
		b.Earn(0.05)
	}
	is.True(b.Spend())
	is.True(b.Spend())
	is.True(!b.Spend()) // no more than the burst is saved
}

// TestRateCountsWhatWaits has requests wait for their connection: they count
// until a second after they were sent. When they counted from the moment at
// which they were let in, as many came behind them, and all arrived together.
func TestRateCountsWhatWaits(t *testing.T) {
	is := is.New(t)
	var r Rate
	r.Set(2)
	now := time.Now()
	is.True(r.Take(now))
	is.True(r.Take(now))
	now = now.Add(1500 * time.Millisecond)
	is.True(!r.Take(now)) // both may be sent at any moment
	r.Done(now)
	r.Done(time.Time{}) // its connection could not be opened
	is.True(r.Take(now.Add(900 * time.Millisecond)))
	is.True(!r.Take(now.Add(950 * time.Millisecond)))
	is.True(r.Take(now.Add(1100 * time.Millisecond)))
}
