package flow

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// A stage is a flow before stand-in replicas, three for each shard, under a
// paused clock.
type stage struct {
	t        *testing.T
	flow     *Flow
	network  *fakes.Network
	replicas map[string][]*fakes.Replica // by service
	ups      map[string][]*roster.Upstream
	table    *route.Table
	number   int
	share    atomic.Int64 // of the shared limits, in thousandths
}

// Latency objectives and work of the stages.
const (
	objective = 250 * time.Millisecond
	deadline  = 2500 * time.Millisecond
	work      = 20 * time.Millisecond
)

// play runs act on a stage with so many shards, and a service "single".
func play(t *testing.T, shards int, act func(s *stage)) {
	synctest.Test(t, func(t *testing.T) {
		s := &stage{
			t:        t,
			network:  fakes.NewNetwork(1),
			replicas: make(map[string][]*fakes.Replica),
			ups:      make(map[string][]*roster.Upstream),
		}
		var services []string
		for i := range shards {
			services = append(services, fmt.Sprintf("shard%d", i))
		}
		for _, name := range append(services, "single") {
			for range 3 {
				s.add(name)
			}
		}
		s.start(services)
		defer s.end()
		act(s)
	})
}

// add starts a replica of a service.
func (s *stage) add(service string) {
	s.t.Helper()
	address := s.network.Address()
	l, err := s.network.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	n := len(s.replicas[service])
	p := &fakes.Replica{ID: fmt.Sprintf("%s.%d", service, n), Slots: 4, Queue: 24, Body: strings.Repeat(service+"........", 2)[:16]}
	p.Set(fakes.Nurture{Work: work})
	p.Start(l)
	s.replicas[service] = append(s.replicas[service], p)
	s.ups[service] = append(s.ups[service], &roster.Upstream{
		ID: p.ID, Service: service, Address: address, Domain: fmt.Sprint("d", n), Region: fmt.Sprint("r", n), Slots: 4,
	})
}

func (s *stage) start(services []string) {
	s.table = route.New(route.Table{Version: 1, Routes: []route.Route{
		{Name: "all", Host: "h", Prefix: "/all/", Shards: services, Top: 3, Least: 0.8, Repeatable: true, Attempts: 2, Target: objective, Timeout: deadline},
		{Name: "read", Host: "h", Prefix: "/read/", Service: "single", Repeatable: true, Attempts: 2, Target: objective, Timeout: deadline},
		{Name: "write", Host: "h", Prefix: "/write/", Service: "single", Attempts: 2, Target: objective, Timeout: deadline},
		{Name: "home", Host: "h", Prefix: "/home/", Service: "single", Repeatable: true, Attempts: 3, Target: objective, Timeout: deadline, Regions: []string{"r2"}},
	}})
	dial := s.network.Dialer("daemon")
	s.share.Store(200)
	s.flow = &Flow{
		Domain: "d0",
		Region: "r0",
		Codec:  fakes.ReplicaCodec(),
		Dial:   func(ctx context.Context, a string) (net.Conn, error) { return dial(ctx, "tcp", a) },
		Share:  func() float64 { return float64(s.share.Load()) / 1000 },
	}
	s.flow.Limit(Bounds{Ratio: 0.2, Slack: 56, Window: 10 * time.Second, ColdTimes: 1.5, ColdSlack: 5})
	if err := s.flow.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.flow.Configure(s.table)
	s.show()
}

// show tells the flow of all replicas.
func (s *stage) show() {
	s.flow.Update(&roster.View{Services: maps.Clone(s.ups)})
}

func (s *stage) end() {
	if err := s.flow.Stop(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	for _, all := range s.replicas {
		for _, p := range all {
			p.Close()
		}
	}
	time.Sleep(deadline)
	synctest.Wait()
}

// ask sends a request on a path's route, and returns the answer and its time.
func (s *stage) ask(path string) (Answer, time.Duration) {
	return s.askBy(context.Background(), path)
}

func (s *stage) askBy(ctx context.Context, path string) (Answer, time.Duration) {
	s.number++
	now := time.Now()
	q := &Request{
		Payload: &link.Payload{ID: fmt.Sprint("q", s.number), Method: http.MethodGet, Target: path, Host: "h"},
		Table:   s.table,
		Route:   s.table.Match("h", path),
		Arrived: now,
		Due:     now.Add(deadline),
	}
	a := s.flow.Serve(ctx, q)
	return a, time.Since(now)
}

// each changes how all replicas of a service behave.
func (s *stage) each(service string, n fakes.Nurture) {
	for _, p := range s.replicas[service] {
		p.Set(n)
	}
}

// ran returns how often requests ran at a service, and the most for one.
func (s *stage) ran(service string) (sum, most int) {
	all := make(map[string]int)
	for _, p := range s.replicas[service] {
		for id, n := range p.Ran() {
			all[id] += n
			sum += n
		}
	}
	for _, n := range all {
		most = max(most, n)
	}
	return sum, most
}

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
		read := s.flow.Codec.Read
		s.flow.Codec.Read = func(p *link.Payload, resp *http.Response, body []byte) link.Reply {
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
	now := time.Now()
	c.out <- c.stage.flow.Serve(context.Background(), &Request{
		Payload: &link.Payload{ID: fmt.Sprint("c", c.number), Method: http.MethodGet, Target: "/read/1", Host: "h"},
		Table:   c.stage.table,
		Route:   c.stage.table.Match("h", "/read/1"),
		Arrived: now,
		Due:     now.Add(deadline),
	})
}

// TestColdReplica keeps this daemon's part of what a cold upstream bears.
func TestColdReplica(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		table := *s.table
		table.Services = []route.Service{{Name: "single", ColdRate: 10}}
		s.flow.Configure(route.New(table))
		for _, u := range s.ups["single"] {
			u.ColdTill = time.Now().Add(time.Minute)
		}
		s.show()
		begun := time.Now()
		for range 50 {
			s.ask("/read/1")
		}
		const each = 0.2 * (10*1.5 + 5) // requests a second
		for _, p := range s.replicas["single"] {
			came, _ := p.Came()
			is.True(came > 0)
			is.True(float64(came) <= each*(time.Since(begun).Seconds()+1))
		}
	})
}

func TestLine(t *testing.T) {
	is := is.New(t)
	var l line
	late := l.join(true, 0)
	second := l.join(false, 2)
	third := l.join(false, 2)
	first := l.join(false, 1) // the most urgent
	turns := func() []bool {
		return []bool{len(late.ready) > 0, len(first.ready) > 0, len(second.ready) > 0, len(third.ready) > 0}
	}
	is.True(l.crowded())
	l.wake()
	is.Equal(turns(), []bool{false, true, false, false})
	l.leave(first, false) // a turn that was not used goes to the next
	is.Equal(turns(), []bool{false, false, true, false})
	l.leave(second, false)
	is.Equal(turns(), []bool{false, false, false, true})
	l.leave(third, false)
	is.Equal(turns(), []bool{true, false, false, false})
	is.True(!l.crowded())
	l.leave(late, true)
	is.Equal(len(l.fresh)+len(l.late), 0)
}
