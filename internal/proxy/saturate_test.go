package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// saturate sends requests for all shards at a rate per second for some time, and
// returns the share of the answers that are complete and on time.
func saturate(s *scenario, proxies []*Proxy, rate int, seconds int) float64 {
	out := make(chan Answer, rate*seconds)
	for i := range rate * seconds {
		go (&shardedCaller{scenario: s, proxy: proxies[i%len(proxies)], number: i, out: out}).run()
		time.Sleep(time.Second / time.Duration(rate))
	}
	complete := 0
	for range rate * seconds {
		if a := <-out; a.Kind == Served && a.MissingShards == 0 {
			complete++
		}
	}
	return float64(complete) / float64(rate*seconds)
}

// A shardedCaller sends one request for all shards.
type shardedCaller struct {
	scenario *scenario
	proxy    *Proxy
	number   int
	out      chan<- Answer
}

func (c *shardedCaller) run() {
	c.out <- c.scenario.serveBy(c.scenario.t.Context(), c.proxy, fmt.Sprint("g", c.number), "/all/1")
}

// TestSaturatedShard has several daemons ask about as much of a shard with one replica
// left as that can serve. Nearly as many answers as its capacity allows must be
// complete: if each shard request waits in turn, all of them reach the replica too
// late, and every answer leaves the shard out.
func TestSaturatedShard(t *testing.T) {
	tests := []struct {
		name string
		rate int           // requests per second; four slots of 20 ms serve 200
		stop time.Duration // pauses of the replica
	}{
		{name: "below its capacity", rate: 180},
		{name: "at its capacity", rate: 200},
		{name: "above its capacity", rate: 220},
		{name: "with pauses", rate: 180, stop: 250 * time.Millisecond},
		{name: "with short pauses", rate: 160, stop: 150 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runScenario(t, 5, func(s *scenario) {
				is := is.New(s.t)
				s.setObjective(150 * time.Millisecond)
				proxies := s.addProxies(5)
				s.replicas["shard4"][1].Close()
				s.replicas["shard4"][2].Close()
				s.send("/all/1")
				time.Sleep(time.Second)
				if tt.stop > 0 {
					go (&pauser{replica: s.replicas["shard4"][0], pause: tt.stop}).run()
				}
				complete := saturate(s, proxies, tt.rate, 10)
				t.Logf("%.3f of the answers are complete", complete)
				is.True(complete > 0.9*min(1, 200/float64(tt.rate))) // most answers are complete
			})
		})
	}
}

// setObjective changes the latency objective of all routes.
func (s *scenario) setObjective(d time.Duration) {
	table := *s.table
	for i := range table.Routes {
		table.Routes[i].LatencyTarget = d
	}
	s.table = route.New(table)
	s.proxy.SetTable(s.table)
}

// addProxies starts more proxies, each a daemon of its own, and returns all n. They
// stop at the end of the test.
func (s *scenario) addProxies(n int) []*Proxy {
	out := []*Proxy{s.proxy}
	for i := range n - 1 {
		p := s.newProxy(fmt.Sprint("daemon", i))
		p.SetTable(s.table)
		p.SetUpstreams(&roster.View{Services: s.upstreams})
		s.extra = append(s.extra, p)
		out = append(out, p)
	}
	time.Sleep(budgetWindow)
	return out
}

// A pauser makes a replica pause once in three seconds, three times.
type pauser struct {
	replica *fakes.Replica
	pause   time.Duration
}

func (p *pauser) run() {
	for range 3 {
		p.replica.SetBehavior(fakes.ReplicaBehavior{ServiceTime: p.pause})
		time.Sleep(p.pause)
		p.replica.SetBehavior(fakes.ReplicaBehavior{ServiceTime: serviceTime})
		time.Sleep(3*time.Second - p.pause)
	}
}
