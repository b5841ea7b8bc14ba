package flow

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/link"
)

func TestGatherOnACalmDay(t *testing.T) {
	play(t, 5, func(s *stage) {
		is := is.New(s.t)
		a, took := s.ask("/all/1")
		is.Equal(a.Kind, Served)
		is.Equal(a.Missed, 0)
		is.Equal(len(a.Proofs), 5)
		is.Equal(string(a.Body), "shard4........sh"+"shard3........sh"+"shard2........sh")
		is.True(took < 2*work)
		for i := range 5 {
			sum, _ := s.ran(fmt.Sprint("shard", i))
			is.Equal(sum, 1)
		}
	})
}

// TestWholeShardLost takes all replicas of one shard: answers leave without it,
// and don't wait for it once it is known to be lost.
func TestWholeShardLost(t *testing.T) {
	play(t, 5, func(s *stage) {
		is := is.New(s.t)
		for _, p := range s.replicas["shard3"] {
			p.Close()
		}
		s.ask("/all/1") // finds out
		time.Sleep(time.Second)
		a, took := s.ask("/all/2")
		is.Equal(a.Kind, Served)
		is.Equal(a.Missed, 1)
		is.True(took < 3*work)
	})
}

// TestTooManyShardsLost refuses at once what can't be served.
func TestTooManyShardsLost(t *testing.T) {
	play(t, 5, func(s *stage) {
		is := is.New(s.t)
		for _, shard := range []string{"shard1", "shard3"} {
			for _, p := range s.replicas[shard] {
				p.Close()
			}
		}
		s.ask("/all/1")
		time.Sleep(time.Second)
		before, _ := s.ran("shard0")
		a, took := s.ask("/all/2")
		is.Equal(a.Kind, Refused)
		is.True(a.Again > 0)
		is.True(took < time.Millisecond)
		after, _ := s.ran("shard0")
		is.Equal(after, before) // it has not run anywhere
	})
}

// TestSilentShard waits for a silent shard only while its part is worth more
// than an answer in time.
func TestSilentShard(t *testing.T) {
	play(t, 5, func(s *stage) {
		is := is.New(s.t)
		s.each("shard2", fakes.Nurture{Silent: true})
		a, took := s.ask("/all/1")
		is.Equal(a.Kind, Served)
		is.Equal(a.Missed, 1)
		is.True(took <= objective)
	})
}

// TestPausedReplica hedges a request whose replica has stopped answering.
func TestPausedReplica(t *testing.T) {
	play(t, 5, func(s *stage) {
		is := is.New(s.t)
		for range 40 {
			s.ask("/all/1")
		}
		s.replicas["shard2"][0].Set(fakes.Nurture{Work: 600 * time.Millisecond})
		a, took := s.ask("/all/2")
		is.Equal(a.Missed, 0)
		is.True(took < objective)
		// The next one goes elsewhere at once.
		_, took = s.ask("/all/3")
		is.True(took < 4*work)
	})
}

// TestGreyReplica has one replica turn away most requests: others get them.
func TestGreyReplica(t *testing.T) {
	play(t, 5, func(s *stage) {
		is := is.New(s.t)
		grey := s.replicas["shard2"][0]
		grey.Set(fakes.Nurture{Work: work, Shed: 0.6})
		for range 10 {
			s.ask("/all/1")
		}
		came, _ := grey.Came()
		for range 20 {
			a, _ := s.ask("/all/1")
			is.Equal(a.Missed, 0)
		}
		later, _ := grey.Came()
		is.True(later-came <= 3)
	})
}

// TestUnsafeRunsOnce fails a request that can't be repeated in all ways.
func TestUnsafeRunsOnce(t *testing.T) {
	tests := []struct {
		name   string
		nature fakes.Nurture
		want   Kind
		runs   int
	}{
		{name: "answered", nature: fakes.Nurture{Work: work}, want: Served, runs: 1},
		{name: "answer lost", nature: fakes.Nurture{Reset: true}, want: Lost, runs: 1},
		{name: "silent", nature: fakes.Nurture{Silent: true}, want: Late, runs: 1},
		{name: "another request's answer", nature: fakes.Nurture{Crossed: true}, want: Lost, runs: 1},
		{name: "failed", nature: fakes.Nurture{Fail: 1}, want: Relayed, runs: 1},
		{name: "turned away everywhere", nature: fakes.Nurture{Shed: 1}, want: Refused, runs: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 1, func(s *stage) {
				is := is.New(s.t)
				s.each("single", tt.nature)
				a, _ := s.ask("/write/1")
				is.Equal(a.Kind, tt.want)
				sum, _ := s.ran("single")
				is.Equal(sum, tt.runs)
			})
		})
	}
}

// TestUnsafeGoesOnAfterProof has two replicas turn a request away: a third one
// runs it.
func TestUnsafeGoesOnAfterProof(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.replicas["single"][0].Set(fakes.Nurture{Shed: 1})
		s.replicas["single"][1].Set(fakes.Nurture{Shed: 1})
		a, _ := s.ask("/write/1")
		is.Equal(a.Kind, Served)
		sum, most := s.ran("single")
		is.Equal(sum, 1)
		is.Equal(most, 1)
	})
}

// TestRepeatableGoesOn loses the answer of a request that may be repeated.
func TestRepeatableGoesOn(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.replicas["single"][0].Set(fakes.Nurture{Reset: true})
		a, _ := s.ask("/read/1")
		is.Equal(a.Kind, Served)
		_, most := s.ran("single")
		is.True(most <= 2) // the route's attempts
	})
}

// TestAttempts has all replicas lose answers: a request runs on no more of them
// than its route allows.
func TestAttempts(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.each("single", fakes.Nurture{Reset: true})
		a, took := s.ask("/read/1")
		is.Equal(a.Kind, Lost)
		is.True(took < objective) // the final answer isn't held back
		sum, _ := s.ran("single")
		is.Equal(sum, 2)
	})
}

func TestRegions(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		for range 10 {
			a, _ := s.ask("/home/1")
			is.Equal(a.Kind, Served)
		}
		is.Equal(len(s.replicas["single"][0].Ran()), 0)
		is.Equal(len(s.replicas["single"][1].Ran()), 0)
		s.replicas["single"][2].Close()
		s.ask("/home/2")
		time.Sleep(time.Second)
		a, _ := s.ask("/home/3")
		is.Equal(a.Kind, Refused) // rather than served elsewhere
	})
}

// TestCallerLeaves ends the work at the upstreams when the caller has gone.
func TestCallerLeaves(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.each("single", fakes.Nurture{Silent: true})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		a, took := s.askBy(ctx, "/read/1")
		is.Equal(a.Kind, Gone)
		is.True(took < 40*time.Millisecond)
	})
}

// TestCallerLeavesAsItIsAnswered has the caller's end come with the answer: the
// answer is delivered.
func TestCallerLeavesAsItIsAnswered(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		read := s.flow.Codec.Decode
		s.flow.Codec.Decode = func(p *link.Request, resp *http.Response, body []byte) link.Reply {
			cancel()
			return read(p, resp, body)
		}
		a, _ := s.askBy(ctx, "/write/1")
		is.Equal(a.Kind, Served)
	})
}

// TestAddressReused gives an upstream's address to another process.
func TestAddressReused(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.ask("/read/1")
		old := s.ups["single"][0]
		other := *old
		other.ID = "gone"
		s.ups["single"][0] = &other
		s.show()
		for range 5 {
			a, _ := s.ask("/write/1")
			is.Equal(a.Kind, Served)
		}
	})
}

// TestBudget fails everything for a while: extra requests stay within the
// ratio and this daemon's part of the slack.
func TestBudget(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.each("single", fakes.Nurture{Shed: 1})
		const asked = 100
		for range asked {
			s.ask("/read/1")
			time.Sleep(10 * time.Millisecond)
		}
		came := 0
		for _, p := range s.replicas["single"] {
			n, _ := p.Came()
			came += n
		}
		is.True(float64(came) <= asked+0.2*asked+0.2*56)
	})
}

// TestReshare has a daemon that has just started learn who shares the limits: its
// part counts at once, not at the next look at its connections.
func TestReshare(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		g := s.flow.group("single")
		s.share.Store(1)
		s.flow.Reshare()
		is.True(!g.extra.Take(time.Now()))
		s.share.Store(500)
		s.flow.Reshare()
		is.True(g.extra.Take(time.Now()))
	})
}

// TestOverload sends more than the only replica of a shard works off: what is
// late goes behind, useful work goes on, and nothing is sent that only queues.
func TestOverload(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		s.replicas["single"][1].Close()
		s.replicas["single"][2].Close()
		s.ask("/read/1")
		time.Sleep(time.Second)
		out := make(chan Answer)
		const asked = 400 // in two seconds, by twice what four slots work off
		for i := range asked {
			go (&caller{stage: s, number: i, out: out}).run()
			time.Sleep(2500 * time.Microsecond)
		}
		served := 0
		for range asked {
			if a := <-out; a.Kind == Served {
				served++
			}
		}
		is.True(served > asked/3) // of a half that it bears
		came, shed := s.replicas["single"][0].Came()
		is.True(shed < came/10)
	})
}

// TestTooManyInWork sends more at once than memory is reckoned for: the rest is
// refused at once and truly, and everything is served again after it.
func TestTooManyInWork(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		const room, asked = 20, 50
		s.flow.Memory = room * legMemory
		s.each("single", fakes.Nurture{Work: 100 * time.Millisecond})
		out := make(chan Answer, asked)
		for i := range asked {
			go (&caller{stage: s, number: i, out: out}).run()
		}
		synctest.Wait()
		is.Equal(len(out), asked-room)
		for range asked - room {
			a := <-out
			is.Equal(a.Kind, Refused)
			is.True(a.Again > 0)
		}
		for range room {
			<-out
		}
		a, _ := s.ask("/read/1")
		is.Equal(a.Kind, Served)
		sum, _ := s.ran("single")
		is.True(sum <= 2*(room+1))
	})
}

// A caller sends one request of many.
type caller struct {
	stage  *stage
	number int
	out    chan<- Answer
}

func (c *caller) run() {
	c.out <- c.stage.serve(context.Background(), fmt.Sprint("c", c.number), "/read/1")
}
