package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/prop"
)

func TestMain(m *testing.M) {
	prop.Main(m)
}

var epoch = time.Unix(0, 0)

func TestAdaptive(t *testing.T) {
	const fast = time.Millisecond
	type step func(a *Adaptive)
	succeed := func(n int) step {
		return func(a *Adaptive) {
			for range n {
				a.RecordSuccess(fast, epoch)
			}
		}
	}
	tests := []struct {
		name      string
		allowCold bool
		steps     []step
		want      int
	}{
		{name: "a cold upstream allows nothing without AllowCold", want: 0},
		{name: "a cold upstream allows one request with AllowCold", allowCold: true, want: 1},
		{name: "StepSuccesses timely responses add one", allowCold: true, steps: []step{succeed(StepSuccesses)}, want: 2},
		{name: "fewer than StepSuccesses add none", allowCold: true, steps: []step{succeed(StepSuccesses - 1)}, want: 1},
		{name: "slow responses add none", allowCold: true, want: 1, steps: []step{func(a *Adaptive) {
			for range 10 * StepSuccesses {
				a.RecordSuccess(time.Second, epoch)
			}
		}}},
		{name: "the limit of a warm upstream grows to Max", allowCold: true, steps: []step{succeed(1000)}, want: 8},
		{name: "a shed halves the limit", allowCold: true, steps: []step{succeed(1000), (*Adaptive).RecordShed}, want: 4},
		{name: "a restart resets the limit to one", allowCold: true, want: 1, steps: []step{succeed(1000), func(a *Adaptive) { a.RecordStart("b") }}},
		{name: "a restart resets the limit to none without AllowCold", want: 0, steps: []step{func(a *Adaptive) {
			a.RecordWarm("a", epoch)
			a.RecordStart("b")
		}}},
		{name: "a report of warmth allows requests without AllowCold", steps: []step{func(a *Adaptive) { a.RecordWarm("a", epoch) }}, want: 1},
		{name: "a report for another start ID does not raise the limit", allowCold: true, want: 1, steps: []step{succeed(1000), func(a *Adaptive) { a.RecordWarm("b", epoch) }}},
		{name: "a disconnect without a start ID resets to cold", want: 0, steps: []step{func(a *Adaptive) {
			a.RecordWarm("", epoch)
			a.RecordDisconnect()
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := Adaptive{Max: 8, WarmAt: 4, AllowCold: tt.allowCold, LatencyTarget: 100 * time.Millisecond}
			if tt.allowCold {
				a.RecordStart("a")
			}
			for _, apply := range tt.steps {
				apply(&a)
			}
			is.Equal(a.Limit(epoch), tt.want)
		})
	}
}

func TestAdaptiveWarmthExpires(t *testing.T) {
	is := is.New(t)
	a := Adaptive{Max: 8, WarmAt: 4}
	a.RecordWarm("a", epoch)
	is.Equal(a.Limit(epoch.Add(WarmTTL)), 1)
	is.Equal(a.Limit(epoch.Add(WarmTTL+1)), 0)
}

// TestAdaptiveNeverOverloadsColdUpstream draws requests from several daemons to an
// upstream that restarts. While it is cold, it never has more requests in flight
// than it can take. Each request uses a connection that carries the start ID, as
// the relay ensures.
func TestAdaptiveNeverOverloadsColdUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, perStep = 4, 10
		n := rapid.IntRange(2, 4).Draw(t, "daemons")
		limits := make([]Adaptive, n)
		for i := range limits {
			limits[i] = Adaptive{Max: 35 / n, WarmAt: slots, AllowCold: i == 0, LatencyTarget: time.Second}
		}
		starts, served := 1, 0
		startID := "1"
		var inFlight []int // daemon of each request in flight
		for range rapid.IntRange(50, 400).Draw(t, "length") {
			d := rapid.IntRange(0, n-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2, 3, 4: // send
				limits[d].RecordStart(startID)
				own := 0
				for _, from := range inFlight {
					if from == d {
						own++
					}
				}
				if own >= limits[d].Limit(epoch) {
					continue
				}
				inFlight = append(inFlight, d)
				if capacity := 1 + served/perStep; capacity < slots && len(inFlight) > capacity {
					t.Fatalf("%d in flight, a cold upstream takes %d", len(inFlight), capacity)
				}
			case 5, 6, 7, 8: // respond
				if len(inFlight) == 0 {
					continue
				}
				from := inFlight[0]
				inFlight = inFlight[1:]
				served++
				if limits[from].RecordSuccess(time.Millisecond, epoch) {
					for i := range limits {
						limits[i].RecordWarm(startID, epoch)
					}
				}
			case 9: // restart without notice; requests in flight are lost
				if rapid.IntRange(0, 20).Draw(t, "restart") > 0 {
					continue
				}
				starts++
				startID = string(rune('0' + starts))
				served, inFlight = 0, nil
			}
		}
	})
}

func TestQueueFairness(t *testing.T) {
	tests := []struct {
		name string
		push []string
		want string
	}{
		{name: "one class in FIFO order", push: []string{"a1", "a2", "a3"}, want: "a1 a2 a3 "},
		{name: "classes are served round-robin", push: []string{"a1", "a2", "a3", "b1"}, want: "a1 b1 a2 a3 "},
		{name: "a full class does not keep another one out", push: []string{"a1", "a2", "a3", "a4", "b1"}, want: "a1 b1 a2 a3 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := Queue{MaxPerClass: 3}
			for _, p := range tt.push {
				q.Push(&Waiter{Class: p[:1], Deadline: epoch.Add(time.Hour), Value: p})
			}
			got := ""
			for q.Len() > 0 {
				got += q.Pop(epoch, func(*Waiter) bool { return true }).Value.(string) + " "
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestQueueDropsExpired(t *testing.T) {
	is := is.New(t)
	q := Queue{MaxPerClass: 9}
	q.Push(&Waiter{Class: "a", Deadline: epoch.Add(time.Second), Value: "expired"})
	q.Push(&Waiter{Class: "a", Deadline: epoch.Add(time.Minute), Value: "in time"})
	w := q.Pop(epoch.Add(2*time.Second), func(*Waiter) bool { return true })
	is.Equal(w.Value, "in time") // the expired one is skipped
}

// A worker makes requests that hold sem for a second each.
type worker struct {
	sem  *Semaphore
	errs chan error
}

func (w *worker) run(ctx context.Context) {
	err := w.sem.Acquire(ctx)
	if err == nil {
		time.Sleep(time.Second)
		w.sem.Release()
	}
	w.errs <- err
}

func TestSemaphore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &worker{sem: &Semaphore{MaxInFlight: 1, MaxWaiting: 2}, errs: make(chan error, 4)}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		for range 4 {
			go w.run(ctx)
			synctest.Wait()
		}
		is.Equal(<-w.errs, ErrQueueFull)             // the fourth: the queue is full
		is.NoErr(<-w.errs)                           // the first: ends after 1 s
		is.Equal(<-w.errs, context.DeadlineExceeded) // the third: its deadline passes in the queue, at 1.5 s
		is.NoErr(<-w.errs)                           // the second: started at 1 s, ends at 2 s
		is.NoErr(w.sem.Acquire(t.Context()))         // all have released it
	})
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := Budget{Burst: 2}
	is.True(!b.Take())
	for range 100 {
		b.Add(0.05)
	}
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take()) // tokens beyond Burst were not kept
}

// TestRateLimiterCountsPending admits requests that wait for their connection.
// They must count until a second after they were sent. When they counted for a
// second from their admission only, as many again were admitted meanwhile, and
// all reached the upstream together.
func TestRateLimiterCountsPending(t *testing.T) {
	is := is.New(t)
	var r RateLimiter
	r.Set(2/SteadyFraction, steady)
	now := time.Now()
	is.True(r.Take(now))
	is.True(r.Take(now))
	now = now.Add(1500 * time.Millisecond)
	is.True(!r.Take(now)) // both are pending and may be sent at any time
	r.Done(now)
	r.Done(time.Time{}) // not sent: its connection could not be opened
	is.True(r.Take(now.Add(900 * time.Millisecond)))
	is.True(!r.Take(now.Add(950 * time.Millisecond)))
	is.True(r.Take(now.Add(1100 * time.Millisecond)))
}
