package proxy

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/fakes"
)

func TestGatherHealthy(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		a, took := s.send("/all/1")
		is.Equal(a.Kind, Served)
		is.Equal(a.MissingShards, 0)
		is.Equal(len(a.Proofs), 5)
		is.Equal(string(a.Body), "shard4........sh"+"shard3........sh"+"shard2........sh")
		is.True(took < 2*serviceTime)
		for i := range 5 {
			sum, _ := s.runCounts(fmt.Sprint("shard", i))
			is.Equal(sum, 1)
		}
	})
}

// TestShardDown closes all replicas of one shard. Answers are served without the
// shard, and do not wait for it once it is known to be down.
func TestShardDown(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		for _, p := range s.replicas["shard3"] {
			p.Close()
		}
		s.send("/all/1") // marks the replicas down
		time.Sleep(time.Second)
		a, took := s.send("/all/2")
		is.Equal(a.Kind, Served)
		is.Equal(a.MissingShards, 1)
		is.True(took < 3*serviceTime)
	})
}

// TestTooManyShardsDown checks that a request is refused at once, without being sent
// to any shard, if too few shards are reachable for an answer.
func TestTooManyShardsDown(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		for _, shard := range []string{"shard1", "shard3"} {
			for _, p := range s.replicas[shard] {
				p.Close()
			}
		}
		s.send("/all/1")
		time.Sleep(time.Second)
		before, _ := s.runCounts("shard0")
		a, took := s.send("/all/2")
		is.Equal(a.Kind, Refused)
		is.True(a.RetryAfter > 0)
		is.True(took < time.Millisecond)
		after, _ := s.runCounts("shard0")
		is.Equal(after, before) // it has not run anywhere
	})
}

// TestSilentShard checks that an answer is served within the latency objective,
// without the shard, if one shard accepts requests but never answers.
func TestSilentShard(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		s.setAll("shard2", fakes.ReplicaBehavior{NoReply: true})
		a, took := s.send("/all/1")
		is.Equal(a.Kind, Served)
		is.Equal(a.MissingShards, 1)
		is.True(took <= objective)
	})
}

// TestSlowReplica checks that a request to a replica that has become very slow is
// hedged, and that the next request goes to another replica.
func TestSlowReplica(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		for range 40 {
			s.send("/all/1")
		}
		s.replicas["shard2"][0].SetBehavior(fakes.ReplicaBehavior{ServiceTime: 600 * time.Millisecond})
		a, took := s.send("/all/2")
		is.Equal(a.MissingShards, 0)
		is.True(took < objective)
		// The next request goes to another replica at once.
		_, took = s.send("/all/3")
		is.True(took < 4*serviceTime)
	})
}

// TestSheddingReplica has one replica refuse 60% of its requests. Requests move to
// the other replicas and all answers stay complete.
func TestSheddingReplica(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		shedding := s.replicas["shard2"][0]
		shedding.SetBehavior(fakes.ReplicaBehavior{ServiceTime: serviceTime, RejectShare: 0.6})
		for range 10 {
			s.send("/all/1")
		}
		came, _ := shedding.Requests()
		for range 20 {
			a, _ := s.send("/all/1")
			is.Equal(a.MissingShards, 0)
		}
		later, _ := shedding.Requests()
		is.True(later-came <= 3)
	})
}

// TestNonIdempotentRunsOnce checks that a non-idempotent request runs at most once,
// whichever way it fails.
func TestNonIdempotentRunsOnce(t *testing.T) {
	tests := []struct {
		name   string
		nature fakes.ReplicaBehavior
		want   Kind
		runs   int
	}{
		{name: "answered", nature: fakes.ReplicaBehavior{ServiceTime: serviceTime}, want: Served, runs: 1},
		{name: "answer lost", nature: fakes.ReplicaBehavior{ResetConn: true}, want: Lost, runs: 1},
		{name: "silent", nature: fakes.ReplicaBehavior{NoReply: true}, want: TimedOut, runs: 1},
		{name: "another request's answer", nature: fakes.ReplicaBehavior{WrongRequest: true}, want: Lost, runs: 1},
		{name: "failed", nature: fakes.ReplicaBehavior{FailShare: 1}, want: Relayed, runs: 1},
		{name: "refused everywhere", nature: fakes.ReplicaBehavior{RejectShare: 1}, want: Refused, runs: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runScenario(t, 1, func(s *scenario) {
				is := is.New(s.t)
				s.setAll("single", tt.nature)
				a, _ := s.send("/write/1")
				is.Equal(a.Kind, tt.want)
				sum, _ := s.runCounts("single")
				is.Equal(sum, tt.runs)
			})
		})
	}
}

// TestNonIdempotentRetriedAfterRefusal has two replicas refuse a non-idempotent
// request, which proves that they did not run it. It is then sent to the third.
func TestNonIdempotentRetriedAfterRefusal(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.replicas["single"][0].SetBehavior(fakes.ReplicaBehavior{RejectShare: 1})
		s.replicas["single"][1].SetBehavior(fakes.ReplicaBehavior{RejectShare: 1})
		a, _ := s.send("/write/1")
		is.Equal(a.Kind, Served)
		sum, most := s.runCounts("single")
		is.Equal(sum, 1)
		is.Equal(most, 1)
	})
}

// TestIdempotentRetried checks that an idempotent request is retried after its
// connection was reset before the answer.
func TestIdempotentRetried(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.replicas["single"][0].SetBehavior(fakes.ReplicaBehavior{ResetConn: true})
		a, _ := s.send("/read/1")
		is.Equal(a.Kind, Served)
		_, most := s.runCounts("single")
		is.True(most <= 2) // the route's attempts
	})
}

// TestAttemptLimit has all replicas reset the connection before the answer. A
// request runs on no more of them than its route's attempts.
func TestAttemptLimit(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.setAll("single", fakes.ReplicaBehavior{ResetConn: true})
		a, took := s.send("/read/1")
		is.Equal(a.Kind, Lost)
		is.True(took < objective) // the failure is reported at once
		sum, _ := s.runCounts("single")
		is.Equal(sum, 2)
	})
}

// TestAllowedRegions checks that a request is only sent to upstreams in the regions
// that its route allows, even if there is none left in them.
func TestAllowedRegions(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		for range 10 {
			a, _ := s.send("/home/1")
			is.Equal(a.Kind, Served)
		}
		is.Equal(len(s.replicas["single"][0].Executions()), 0)
		is.Equal(len(s.replicas["single"][1].Executions()), 0)
		s.replicas["single"][2].Close()
		s.send("/home/2")
		time.Sleep(time.Second)
		a, _ := s.send("/home/3")
		is.Equal(a.Kind, Refused) // rather than served in another region
	})
}

// TestCallerDisconnects checks that Serve returns as soon as the caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.setAll("single", fakes.ReplicaBehavior{NoReply: true})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		a, took := s.sendCtx(ctx, "/read/1")
		is.Equal(a.Kind, CallerGone)
		is.True(took < 40*time.Millisecond)
	})
}

// TestCallerDisconnectsDuringAnswer cancels the caller's context while the reply is
// being read. The answer is delivered all the same.
func TestCallerDisconnectsDuringAnswer(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		read := s.proxy.Codec.Decode
		s.proxy.Codec.Decode = func(p *client.Request, resp *http.Response, body []byte) client.Reply {
			cancel()
			return read(p, resp, body)
		}
		a, _ := s.sendCtx(ctx, "/write/1")
		is.Equal(a.Kind, Served)
	})
}

// TestAddressReused lists an address under an ID other than that of the process that
// listens there. Non-idempotent requests are served all the same.
func TestAddressReused(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.send("/read/1")
		old := s.upstreams["single"][0]
		other := *old
		other.ID = "gone"
		s.upstreams["single"][0] = &other
		s.publish()
		for range 5 {
			a, _ := s.send("/write/1")
			is.Equal(a.Kind, Served)
		}
	})
}

// TestBudget has all replicas refuse all requests. Retries stay within the budget:
// the ratio, and this daemon's share of the slack.
func TestBudget(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.setAll("single", fakes.ReplicaBehavior{RejectShare: 1})
		const asked = 100
		for range asked {
			s.send("/read/1")
			time.Sleep(10 * time.Millisecond)
		}
		came := 0
		for _, p := range s.replicas["single"] {
			n, _ := p.Requests()
			came += n
		}
		is.True(float64(came) <= asked+0.2*asked+0.2*56)
	})
}

// TestUpdateShare checks that a changed share of the limits applies at once, not at
// the next maintenance. A daemon that has just started learns its share only when it
// knows the other members.
func TestUpdateShare(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		g := s.proxy.group("single")
		s.limitShare.Store(1)
		s.proxy.UpdateShare()
		is.True(!g.budget.Take(time.Now()))
		s.limitShare.Store(500)
		s.proxy.UpdateShare()
		is.True(g.budget.Take(time.Now()))
	})
}

// TestOverload sends twice as many requests as the only replica left can serve.
// Late requests wait behind on-time ones, useful work goes on, and few requests are
// sent that the replica sheds because its queue is full.
func TestOverload(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.replicas["single"][1].Close()
		s.replicas["single"][2].Close()
		s.send("/read/1")
		time.Sleep(time.Second)
		out := make(chan Answer)
		const asked = 400 // in one second; four slots of 20 ms serve 200
		for i := range asked {
			go (&caller{scenario: s, number: i, out: out}).run()
			time.Sleep(2500 * time.Microsecond)
		}
		served := 0
		for range asked {
			if a := <-out; a.Kind == Served {
				served++
			}
		}
		is.True(served > asked/3) // the replica can serve half of them
		came, shed := s.replicas["single"][0].Requests()
		is.True(shed < came/10)
	})
}

// TestTooManyInFlight sends more requests at once than the memory limit allows. The
// excess is refused at once without having run, and requests are served again later.
func TestTooManyInFlight(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		const room, asked = 20, 50
		s.proxy.MemoryLimit = room * shardRequestMemory
		s.setAll("single", fakes.ReplicaBehavior{ServiceTime: 100 * time.Millisecond})
		out := make(chan Answer, asked)
		for i := range asked {
			go (&caller{scenario: s, number: i, out: out}).run()
		}
		synctest.Wait()
		is.Equal(len(out), asked-room)
		for range asked - room {
			a := <-out
			is.Equal(a.Kind, Refused)
			is.True(a.RetryAfter > 0)
		}
		for range room {
			<-out
		}
		a, _ := s.send("/read/1")
		is.Equal(a.Kind, Served)
		sum, _ := s.runCounts("single")
		is.True(sum <= 2*(room+1))
	})
}

// A caller sends one of many concurrent requests.
type caller struct {
	scenario *scenario
	number   int
	out      chan<- Answer
}

func (c *caller) run() {
	c.out <- c.scenario.serve(context.Background(), fmt.Sprint("c", c.number), "/read/1")
}
