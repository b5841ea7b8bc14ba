package flow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
)

// A tally counts what came of many requests.
type tally struct {
	timely  int // served within the objective
	refused int
	slowest time.Duration // refusal
	other   int
}

// A timedCaller sends one request and tells how long it took.
type timedCaller struct {
	stage  *stage
	number int
	out    chan<- timedAnswer
}

type timedAnswer struct {
	Answer
	took time.Duration
}

func (c *timedCaller) run() {
	now := time.Now()
	a := c.stage.serve(context.Background(), fmt.Sprint("g", c.number), "/all/1")
	c.out <- timedAnswer{Answer: a, took: time.Since(now)}
}

// TestOverloadOfShards asks for 1.4 times what the last replica of each shard
// works off (an open loop of gathers, as after the loss of domains under a
// burst). Each shard on its own would turn another part of the requests late,
// and nearly all answers would wait for one of them. Requests that could not be
// in time are refused at once instead, and those that are let in are in time.
func TestOverloadOfShards(t *testing.T) {
	const (
		shards   = 8
		capacity = 200 // requests a second: four slots, 20 ms each
		rate     = 280
		span     = 4 * time.Second
	)
	play(t, shards, func(s *stage) {
		is := is.New(s.t)
		rnd := rand.New(rand.NewPCG(4, 2))
		for _, name := range s.table.Match("h", "/all/").Shards {
			s.replicas[name][1].Close()
			s.replicas[name][2].Close()
		}
		s.ask("/all/1")
		time.Sleep(time.Second)
		asked := int(span.Seconds() * rate)
		out := make(chan timedAnswer, asked)
		for i := range asked {
			go (&timedCaller{stage: s, number: i, out: out}).run()
			time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) / rate))
			shard := s.table.Match("h", "/all/").Shards[rnd.IntN(shards)]
			s.replicas[shard][0].Set(fakes.Nurture{Work: time.Duration(10+rnd.IntN(21)) * time.Millisecond})
		}
		var c tally
		for range asked {
			a := <-out
			switch {
			case a.Kind == Served && a.took <= objective:
				c.timely++
			case a.Kind == Refused:
				c.refused++
				c.slowest = max(c.slowest, a.took)
				is.True(a.Again > 0)
			default:
				c.other++
			}
		}
		t.Logf("%+v of %d", c, asked)
		is.True(c.timely > int(0.75*capacity*span.Seconds())) // useful work goes on
		is.True(c.slowest < objective/4)                      // refused at once
	})
}
