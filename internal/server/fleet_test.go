package server

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/proxy"
)

// More seeds can be run by hand:
// go test ./internal/server -run TestFleet -fleet.seeds 200 -fleet.from 1000
var (
	fleetSeeds = flag.Int("fleet.seeds", 4, "number of random simulations; .ci/run runs more of them without the race detector")
	fleetFrom  = flag.Uint64("fleet.from", 1, "first seed of the simulations")
	fleetLog   = flag.String("fleet.log", "", "file for the daemons' logs")
)

// Phases of a simulation in their order, and what must hold at the end of the last.
const (
	warmupTime    = 5 * time.Second  // before the first fault; includes the start of all daemons
	faultTime     = 14 * time.Second // with faults
	recoveryTime  = 14 * time.Second // after the last fault ended
	tailTime      = 4 * time.Second  // end of recoveryTime, in which service must be back
	minTailServed = 0.9              // least share of the requests in tailTime that must be served
)

// TestFleet runs simulations of randomly drawn sizes under random faults, and checks
// the fleet's invariants. Random sizes guard against limits and rules that hold
// only for one known deployment.
func TestFleet(t *testing.T) {
	log := io.Discard
	if *fleetLog != "" {
		f, err := os.Create(*fleetLog)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		log = f
	}
	for seed := *fleetFrom; seed < *fleetFrom+uint64(*fleetSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			cfg := drawConfig(rand.New(rand.NewPCG(seed, 1)))
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, cfg, seed, log)
				s.run()
			})
		})
	}
}

// run runs all phases and reports each violated invariant as a test error.
func (s *simulation) run() {
	ctx, cancel := context.WithCancel(context.Background())
	go s.sendLoad(ctx)
	time.Sleep(warmupTime)
	var faults []string
	for until := time.Now().Add(faultTime); time.Now().Before(until); {
		faults = append(faults, s.injectFault())
		time.Sleep(time.Duration(300+s.rnd.IntN(1200)) * time.Millisecond)
	}
	s.clearFaults()
	healed := time.Now()
	time.Sleep(recoveryTime)
	cancel()
	time.Sleep(2 * requestTimeout)
	s.t.Logf("%v: %s", s.simConfig, s.checker.summary())
	violations := s.checker.violations(s, healed)
	served := s.checker.servedRatio(healed.Add(recoveryTime - tailTime))
	if served < minTailServed && s.allServable() {
		violations = append(violations, fmt.Sprintf("a share of %.3f was served after all faults had ended", served))
	}
	if len(violations) > 0 {
		s.t.Logf("faults: %q", faults)
	}
	for _, msg := range violations {
		s.t.Error(msg)
	}
	s.stop()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// maxLoad bounds the requests per second, so that a simulation takes only seconds
// of real time.
const maxLoad = 100

// sendLoad sends requests at random times until ctx ends. The load is open: it does
// not wait for answers.
func (s *simulation) sendLoad(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(uint64(s.replicaCount), 5))
	capacity := float64(s.simConfig.replicas*s.slots) / s.workTime.Seconds()
	rate := min(s.simConfig.loadFactor*capacity, maxLoad)
	for seq := 0; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() / s.loadRate(rate) * float64(time.Second))):
		}
		// A caller prefers a ready daemon of its own failure domain.
		v := s.pickReady(s.domain(rnd.IntN(s.domains)), rnd)
		if v == nil {
			continue
		}
		if d := v.current(); d != nil {
			go (&caller{vm: v, daemon: d, id: fmt.Sprint("q", seq), path: pickOne(rnd, "/all/", "/all/", "/read/", "/write/")}).run()
		}
	}
}

// burstFactor multiplies the rate of requests in a burst, to more than the replicas
// can serve.
const burstFactor = 5

func (s *simulation) loadRate(usual float64) float64 {
	if s.burst.Load() {
		return burstFactor * usual
	}
	return usual
}

// evacuate takes a failure domain out of rotation for good, unless it is the last
// one in rotation.
func (s *simulation) evacuate(domain string) {
	if len(s.excluded)+1 >= s.domains || s.excluded[domain] {
		return
	}
	s.excluded[domain] = true
	s.store.put(kindDomains, domain, domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, up := range s.upstreams {
		if up.Domain == domain {
			s.checker.markOut(up.ID, time.Now())
		}
	}
}

func (s *simulation) pickReady(domain string, rnd *rand.Rand) *vm {
	var local, all []*vm
	for _, v := range s.allVMs() {
		if d := v.current(); d == nil || !d.Ready() {
			continue
		}
		all = append(all, v)
		if v.settings.Domain == domain {
			local = append(local, v)
		}
	}
	if len(local) > 0 {
		return pickOne(rnd, local...)
	}
	if len(all) > 0 {
		return pickOne(rnd, all...)
	}
	return nil
}

// A caller sends one request.
type caller struct {
	vm     *vm
	daemon *Daemon
	id     string
	path   string
}

func (c *caller) run() {
	table, matched := c.daemon.Flow.Match(simHost, c.path)
	req := c.vm.sim.checker.recordRequest(c.id, c.path)
	now := time.Now()
	answer := c.daemon.Flow.Serve(context.Background(), &proxy.Request{
		Payload:  &client.Request{ID: c.id, Method: "GET", Target: c.path, Host: simHost},
		Table:    table,
		Route:    matched,
		Arrived:  now,
		Deadline: now.Add(requestTimeout),
	})
	c.vm.sim.checker.recordAnswer(req, answer, c.vm.current() == c.daemon)
}

// injectFault injects a random fault or operation and returns its description.
func (s *simulation) injectFault() string {
	v := pickOne(s.rnd, s.allVMs()...)
	service := pickOne(s.rnd, s.services()...)
	i := s.rnd.IntN(len(s.replicasOf(service)))
	duration := time.Duration(200+s.rnd.IntN(2500)) * time.Millisecond
	switch s.rnd.IntN(16) {
	case 0:
		v.kill()
		time.AfterFunc(duration, v.start)
		return "kill " + v.settings.Name
	case 1:
		for _, v := range s.allVMs() {
			v.kill()
		}
		time.Sleep(duration)
		for _, v := range s.allVMs() {
			v.start()
		}
		return "kill all daemons"
	case 2:
		s.store.setFaults(true, 0)
		return "store unavailable"
	case 3:
		s.store.setFaults(false, 300*time.Millisecond)
		return "store slow"
	case 4:
		var names []string
		for _, v := range s.allVMs() {
			if s.rnd.IntN(2) == 0 {
				names = append(names, v.settings.Name)
			}
		}
		s.store.setFaults(false, 0, names...)
		return fmt.Sprint("store rejects ", names)
	case 5:
		s.store.compact()
		return "store history compacted"
	case 6:
		refs := s.pickReplicas(service, i)
		for _, ref := range refs {
			s.crashReplica(ref.service, ref.index)
			time.AfterFunc(duration, func() { s.addReplica(ref.service, ref.index, true) })
		}
		return fmt.Sprint("replicas crashed for ", duration, " ", refs)
	case 7:
		behavior := pickOne(s.rnd, fakes.ReplicaBehavior{NoReply: true}, fakes.ReplicaBehavior{RejectShare: 0.7}, fakes.ReplicaBehavior{FailShare: 0.5}, fakes.ReplicaBehavior{ResetConn: true}, fakes.ReplicaBehavior{ServiceTime: 10 * s.workTime})
		behavior.ServiceTime = max(behavior.ServiceTime, s.workTime)
		refs := s.pickReplicas(service, i)
		for _, ref := range refs {
			s.replicasOf(ref.service)[ref.index].SetBehavior(behavior)
		}
		time.AfterFunc(2*duration, func() {
			for _, ref := range refs {
				s.replicasOf(ref.service)[ref.index].SetBehavior(fakes.ReplicaBehavior{ServiceTime: s.workTime})
			}
		})
		return fmt.Sprintf("for %v replicas behave as %+v: %v", 2*duration, behavior, refs)
	case 8:
		s.drainReplica(service, i)
		return fmt.Sprint("drain replica ", service, i)
	case 9:
		s.store.clearFaults()
		return "store faults cleared"
	case 10:
		s.configure()
		return "new configuration version"
	case 11:
		s.net.SetCut(func(from, to string) bool { return from == v.settings.PeerAddr || to == v.settings.PeerAddr })
		time.AfterFunc(duration, func() { s.net.SetCut(nil) })
		return "network cut off " + v.settings.Name
	case 12:
		domain := s.domain(s.rnd.IntN(s.domains))
		s.evacuate(domain)
		return "evacuate domain " + domain
	case 13:
		s.addDaemon(fmt.Sprint("joiner", len(s.allVMs())), len(s.allVMs()))
		return "daemon added"
	case 14:
		s.burst.Store(true)
		time.AfterFunc(duration, func() { s.burst.Store(false) })
		return fmt.Sprint("load burst for ", duration)
	default:
		domain := s.domain(s.rnd.IntN(s.domains))
		for _, v := range s.allVMs() {
			if v.settings.Domain == domain {
				v.kill()
				time.AfterFunc(duration, v.start)
			}
		}
		return "kill domain " + domain
	}
}

// A replicaRef names a replica by its service and its index within it.
type replicaRef struct {
	service string
	index   int
}

// pickReplicas returns, at random, replica i of the service, all replicas of the
// service, or one replica of each service.
func (s *simulation) pickReplicas(service string, i int) []replicaRef {
	var out []replicaRef
	switch s.rnd.IntN(3) {
	case 0:
		return []replicaRef{{service, i}}
	case 1:
		for k := range s.replicasOf(service) {
			out = append(out, replicaRef{service, k})
		}
	default:
		for _, name := range s.services() {
			out = append(out, replicaRef{name, i % len(s.replicasOf(name))})
		}
	}
	return out
}

// drainReplica drains a replica for good, after adding a cold one in its place.
func (s *simulation) drainReplica(service string, i int) {
	r := s.replicasOf(service)[i]
	s.mu.Lock()
	up := *s.upstreams[r.ID]
	s.mu.Unlock()
	s.addReplica(service, i, true)
	up.Draining = true
	s.store.put(kindUpstreams, r.ID, &up)
	s.checker.markOut(r.ID, time.Now())
}

// allServable reports whether each service has a usable replica. A service may
// have none, when all its replicas are in evacuated domains.
func (s *simulation) allServable() bool {
	for _, name := range s.services() {
		if s.usableReplicas(name) == 0 {
			return false
		}
	}
	return true
}

func (s *simulation) usableReplicas(service string) int {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, up := range s.upstreams {
		if _, out := s.checker.outSince[up.ID]; up.Service == service && !out && !s.crashed[up.ID] && !s.excluded[up.Domain] {
			n++
		}
	}
	return n
}

// clearFaults ends all faults and starts the daemons that are down.
func (s *simulation) clearFaults() {
	s.burst.Store(false)
	s.store.clearFaults()
	s.net.SetCut(nil)
	for _, v := range s.allVMs() {
		v.start()
	}
	for _, name := range s.services() {
		for _, r := range s.replicasOf(name) {
			r.SetBehavior(fakes.ReplicaBehavior{ServiceTime: s.workTime})
		}
	}
}
