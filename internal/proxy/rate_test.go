package proxy

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
)

// An arrivalLog records when requests arrive at a replica. It is safe for concurrent
// use.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

// attach records the requests that arrive at the replica from now on.
func (l *arrivalLog) attach(r *fakes.Replica) {
	r.OnRequest = func(string) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.times = append(l.times, time.Now())
	}
}

// most returns the most arrivals in any window that begins at or after from.
func (l *arrivalLog) most(window time.Duration, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, first := range l.times {
		if first.Before(from) {
			continue
		}
		after, _ := slices.BinarySearchFunc(l.times, first.Add(window), time.Time.Compare)
		most = max(most, after-i)
	}
	return most
}

// Bounds of an upstream's stated rate limit, as on the platform: in any rateWindow the
// upstream may get rateFactor times what the limit allows, and rateSlack requests.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	learnTime  = 500 * time.Millisecond // after which the daemons keep to a limit
)

// TestStatedRateLimitIsKept guards against daemons that go on sending as before to an
// upstream which states how many requests per second it takes from all of them.
func TestStatedRateLimitIsKept(t *testing.T) {
	tests := []struct {
		name     string
		limits   []float64 // of the replicas of shard 4, in requests per second; 0 for none
		rate     int       // requests per second of the callers
		complete float64   // least share of complete answers
	}{
		{name: "one replica of three", limits: []float64{20, 0, 0}, rate: 150, complete: 0.95},
		{name: "all, with enough for the load", limits: []float64{40, 40, 40}, rate: 75, complete: 0.9},
		{name: "all, with half of the load", limits: []float64{25, 25, 25}, rate: 150, complete: 0.3},
		{name: "far below one request per daemon and second", limits: []float64{1.5, 0, 0}, rate: 100, complete: 0.95},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runScenario(t, 5, func(s *scenario) {
				is := is.New(s.t)
				proxies := s.addProxies(5)
				logs := make([]arrivalLog, len(tt.limits))
				for i, limit := range tt.limits {
					logs[i].attach(s.replicas["shard4"][i])
					s.replicas["shard4"][i].SetBehavior(fakes.ReplicaBehavior{ServiceTime: serviceTime, RateLimit: limit})
				}
				from := time.Now().Add(learnTime)
				complete := saturate(s, proxies, tt.rate, 12)
				for i, limit := range tt.limits {
					if limit == 0 {
						continue
					}
					got := logs[i].most(rateWindow, from)
					allowed := rateFactor*limit*rateWindow.Seconds() + rateSlack
					is.True(got > 0)                 // a limit is no reason to send nothing
					is.True(float64(got) <= allowed) // in the busiest window
				}
				is.True(complete >= tt.complete)
			})
		})
	}
}

// TestRateLimitRejectsAtOnce checks that requests which exceed the rate limits of all
// upstreams are refused without waiting, with a time after which they can be served.
func TestRateLimitRejectsAtOnce(t *testing.T) {
	for _, path := range []string{"/all/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			runScenario(t, 1, func(s *scenario) {
				is := is.New(s.t)
				for _, service := range []string{"shard0", "single"} {
					s.setAll(service, fakes.ReplicaBehavior{ServiceTime: serviceTime, RateLimit: 2})
				}
				for range 6 {
					s.send(path) // each upstream states its limit
				}
				refused := 0
				for range 20 {
					a, took := s.send(path)
					if a.Kind == Served {
						continue
					}
					refused++
					is.Equal(a.Kind, Refused)
					is.True(took < 10*time.Millisecond)
					is.True(a.RetryAfter >= retryAfterBusy)
					time.Sleep(a.RetryAfter)
					a, _ = s.send(path)
					is.Equal(a.Kind, Served) // there is room at the time that it was told
				}
				is.True(refused > 0)
			})
		})
	}
}

// TestColdRateWakesQueue guards against requests that wait for the rate of cold
// upstreams and aren't sent once it allows them, after a second at most: nothing woke
// them when no other attempt was in flight.
func TestColdRateWakesQueue(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.setObjective(8 * time.Second) // a request waits in the queue for a quarter of it
		s.makeCold()
		const requests = 14 // more than the three upstreams take in a second
		out := make(chan Answer, requests)
		begun := time.Now()
		for i := range requests {
			go (&readCaller{scenario: s, number: i, out: out}).run()
		}
		for range requests {
			is.Equal((<-out).Kind, Served)
		}
		is.True(time.Since(begun) < 1200*time.Millisecond)
	})
}

// A readCaller sends one request for a single service.
type readCaller struct {
	scenario *scenario
	number   int
	out      chan<- Answer
}

func (c *readCaller) run() {
	c.out <- c.scenario.serve(c.scenario.t.Context(), fmt.Sprint("r", c.number), "/read/1")
}
