package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
)

// A tally counts the answers to many requests.
type tally struct {
	onTime         int // served within the latency objective
	refused        int
	slowestRefusal time.Duration
	other          int
}

// A timedCaller sends one request and measures how long the answer took.
type timedCaller struct {
	scenario *scenario
	number   int
	out      chan<- timedAnswer
}

type timedAnswer struct {
	Answer
	took time.Duration
}

func (c *timedCaller) run() {
	now := time.Now()
	a := c.scenario.serve(context.Background(), fmt.Sprint("g", c.number), "/all/1")
	c.out <- timedAnswer{Answer: a, took: time.Since(now)}
}

// TestGatherOverload sends 1.4 times as many requests as the last replica of each
// shard can serve, in an open loop, as in a burst after the loss of failure domains.
// If each shard delayed requests on its own, each would make different ones late and
// nearly all answers would wait for some shard. Instead, requests that could not be
// on time are refused at once, and those that are admitted are on time.
func TestGatherOverload(t *testing.T) {
	const (
		shards   = 8
		capacity = 200 // requests per second: four slots, 20 ms each
		rate     = 280
		duration = 4 * time.Second
	)
	runScenario(t, shards, func(s *scenario) {
		is := is.New(s.t)
		rnd := rand.New(rand.NewPCG(4, 2))
		for _, name := range s.table.Match("h", "/all/").Shards {
			s.replicas[name][1].Close()
			s.replicas[name][2].Close()
		}
		s.send("/all/1")
		time.Sleep(time.Second)
		total := int(duration.Seconds() * rate)
		out := make(chan timedAnswer, total)
		for i := range total {
			go (&timedCaller{scenario: s, number: i, out: out}).run()
			time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) / rate))
			shard := s.table.Match("h", "/all/").Shards[rnd.IntN(shards)]
			s.replicas[shard][0].SetBehavior(fakes.ReplicaBehavior{ServiceTime: time.Duration(10+rnd.IntN(21)) * time.Millisecond})
		}
		var counts tally
		for range total {
			a := <-out
			switch {
			case a.Kind == Served && a.took <= objective:
				counts.onTime++
			case a.Kind == Refused:
				counts.refused++
				counts.slowestRefusal = max(counts.slowestRefusal, a.took)
				is.True(a.RetryAfter > 0)
			default:
				counts.other++
			}
		}
		t.Logf("%+v of %d", counts, total)
		is.True(counts.onTime > int(0.75*capacity*duration.Seconds())) // useful work goes on
		is.True(counts.slowestRefusal < objective/4)                   // refused at once
	})
}
