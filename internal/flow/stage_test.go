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
		{Name: "all", Host: "h", Prefix: "/all/", Shards: services, TopK: 3, MinCoverage: 0.8, Idempotent: true, MaxAttempts: 2, LatencyTarget: objective, Timeout: deadline},
		{Name: "read", Host: "h", Prefix: "/read/", Service: "single", Idempotent: true, MaxAttempts: 2, LatencyTarget: objective, Timeout: deadline},
		{Name: "write", Host: "h", Prefix: "/write/", Service: "single", MaxAttempts: 2, LatencyTarget: objective, Timeout: deadline},
		{Name: "home", Host: "h", Prefix: "/home/", Service: "single", Idempotent: true, MaxAttempts: 3, LatencyTarget: objective, Timeout: deadline, Regions: []string{"r2"}},
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
	a := s.serve(ctx, fmt.Sprint("q", s.number), path)
	return a, time.Since(now)
}

// serve sends a request of an identity. It is safe for concurrent use.
func (s *stage) serve(ctx context.Context, id, path string) Answer {
	now := time.Now()
	return s.flow.Serve(ctx, &Request{
		Payload: &link.Payload{ID: id, Method: http.MethodGet, Target: path, Host: "h"},
		Table:   s.table,
		Route:   s.table.Match("h", path),
		Arrived: now,
		Due:     now.Add(deadline),
	})
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
