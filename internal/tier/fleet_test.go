package tier

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

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/flow"
	"bronzedoor.dev/bronzedoor/internal/link"
)

// Days of drawn sites can be played by hand:
// go test ./internal/tier -run TestFleet -fleet.seeds 200 -fleet.from 1000
var (
	fleetSeeds = flag.Int("fleet.seeds", 4, "drawn sites to play; .ci/run plays more of them without the race detector")
	fleetFrom  = flag.Uint64("fleet.from", 1, "first seed of them")
	fleetLog   = flag.String("fleet.log", "", "file for the daemons' log lines")
)

// Times of a day.
const (
	fleetWarm  = 5 * time.Second  // before the faults; includes a start of all daemons
	fleetBad   = 14 * time.Second // faults
	fleetGood  = 14 * time.Second // after them
	fleetTail  = 4 * time.Second  // of which so much shows whether service is back
	fleetShare = 0.9              // of requests are served then
)

// TestFleet plays days of faults on sites that are drawn, so that nothing holds
// only for the sizes of a known one.
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
			p := drawPlan(rand.New(rand.NewPCG(seed, 1)))
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, p, seed, log)
				s.play()
			})
		})
	}
}

// play plays the day and judges it.
func (s *site) play() {
	ctx, cancel := context.WithCancel(context.Background())
	go s.load(ctx)
	time.Sleep(fleetWarm)
	var told []string
	for until := time.Now().Add(fleetBad); time.Now().Before(until); {
		told = append(told, s.fault())
		time.Sleep(time.Duration(300+s.rnd.IntN(1200)) * time.Millisecond)
	}
	s.heal()
	calm := time.Now()
	time.Sleep(fleetGood)
	cancel()
	time.Sleep(2 * siteDue)
	s.t.Logf("%v: %s", s.plan, s.judge.tally())
	broken := s.judge.broken(s, calm)
	share := s.judge.served(calm.Add(fleetGood - fleetTail))
	if share < fleetShare && s.complete() {
		broken = append(broken, fmt.Sprintf("%.3f are served after all faults", share))
	}
	if len(broken) > 0 {
		s.t.Logf("faults: %q", told)
	}
	for _, b := range broken {
		s.t.Error(b)
	}
	s.end()
	time.Sleep(time.Minute)
	synctest.Wait()
}

// loadMost bounds the requests a second, so that a day is played in seconds.
const loadMost = 100

// load sends requests at random times, whatever becomes of them.
func (s *site) load(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(uint64(s.number), 5))
	bears := float64(s.plan.replicas*s.slots) / s.work.Seconds()
	rate := min(s.plan.load*bears, loadMost)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rnd.ExpFloat64() / s.rate(rate) * float64(time.Second))):
		}
		// A caller is sent to a daemon of its domain that is ready, if there is one.
		u := s.ready(s.domain(rnd.IntN(s.domains)), rnd)
		if u == nil {
			continue
		}
		if t := u.now(); t != nil {
			go (&caller{unit: u, tier: t, id: fmt.Sprint("q", n), path: one(rnd, "/all/", "/all/", "/read/", "/write/")}).run()
		}
	}
}

// burstTimes is how many times the usual requests come in a burst: more than
// the replicas bear.
const burstTimes = 5

func (s *site) rate(usual float64) float64 {
	if s.burst.Load() {
		return burstTimes * usual
	}
	return usual
}

// evacuate takes a failure domain out of use for good, unless it is the last.
func (s *site) evacuate(domain string) {
	if len(s.out)+1 >= s.domains || s.out[domain] {
		return
	}
	s.out[domain] = true
	s.depot.put(depotDomains, domain, domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, up := range s.ups {
		if up.Domain == domain {
			s.judge.ban(up.ID, time.Now())
		}
	}
}

func (s *site) ready(domain string, rnd *rand.Rand) *unit {
	var near, all []*unit
	for _, u := range s.fleet() {
		if t := u.now(); t == nil || !t.Ready() {
			continue
		}
		all = append(all, u)
		if u.settings.Domain == domain {
			near = append(near, u)
		}
	}
	if len(near) > 0 {
		return one(rnd, near...)
	}
	if len(all) > 0 {
		return one(rnd, all...)
	}
	return nil
}

// A caller sends one request.
type caller struct {
	unit *unit
	tier *Tier
	id   string
	path string
}

func (c *caller) run() {
	table, to := c.tier.Flow.Match(siteHost, c.path)
	a := c.unit.site.judge.ask(c.id, c.path)
	now := time.Now()
	got := c.tier.Flow.Serve(context.Background(), &flow.Request{
		Payload:  &link.Payload{ID: c.id, Method: "GET", Target: c.path, Host: siteHost},
		Table:    table,
		Route:    to,
		Arrived:  now,
		Deadline: now.Add(siteDue),
	})
	c.unit.site.judge.answer(a, got, c.unit.now() == c.tier)
}

// fault brings one fault about, drawn by the seed, and names it.
func (s *site) fault() string {
	u := one(s.rnd, s.fleet()...)
	service := one(s.rnd, s.services()...)
	i := s.rnd.IntN(len(s.all(service)))
	after := time.Duration(200+s.rnd.IntN(2500)) * time.Millisecond
	switch s.rnd.IntN(16) {
	case 0:
		u.kill()
		time.AfterFunc(after, u.start)
		return "kill " + u.settings.Name
	case 1:
		for _, u := range s.fleet() {
			u.kill()
		}
		time.Sleep(after)
		for _, u := range s.fleet() {
			u.start()
		}
		return "kill all"
	case 2:
		s.depot.fail(true, 0)
		return "store away"
	case 3:
		s.depot.fail(false, 300*time.Millisecond)
		return "store slow"
	case 4:
		var names []string
		for _, u := range s.fleet() {
			if s.rnd.IntN(2) == 0 {
				names = append(names, u.settings.Name)
			}
		}
		s.depot.fail(false, 0, names...)
		return fmt.Sprint("store refuses ", names)
	case 5:
		s.depot.forget()
		return "store forgets"
	case 6:
		hit := s.some(service, i)
		for _, at := range hit {
			s.lose(at.service, at.index)
			time.AfterFunc(after, func() { s.add(at.service, at.index, true) })
		}
		return fmt.Sprint("lost for ", after, " ", hit)
	case 7:
		n := one(s.rnd, fakes.Nurture{Silent: true}, fakes.Nurture{Shed: 0.7}, fakes.Nurture{Fail: 0.5}, fakes.Nurture{Reset: true}, fakes.Nurture{Work: 10 * s.work})
		n.Work = max(n.Work, s.work)
		hit := s.some(service, i)
		for _, at := range hit {
			s.all(at.service)[at.index].Set(n)
		}
		time.AfterFunc(2*after, func() {
			for _, at := range hit {
				s.all(at.service)[at.index].Set(fakes.Nurture{Work: s.work})
			}
		})
		return fmt.Sprintf("for %v %+v %v", 2*after, n, hit)
	case 8:
		s.drain(service, i)
		return fmt.Sprint("drain ", service, i)
	case 9:
		s.depot.heal()
		return "store back"
	case 10:
		s.configure()
		return "configuration"
	case 11:
		s.net.Cut(func(from, to string) bool { return from == u.settings.Peer || to == u.settings.Peer })
		time.AfterFunc(after, func() { s.net.Cut(nil) })
		return "cut " + u.settings.Name
	case 12:
		d := s.domain(s.rnd.IntN(s.domains))
		s.evacuate(d)
		return "evacuate " + d
	case 13:
		s.join(fmt.Sprint("joiner", len(s.fleet())), len(s.fleet()))
		return "daemon added"
	case 14:
		s.burst.Store(true)
		time.AfterFunc(after, func() { s.burst.Store(false) })
		return fmt.Sprint("burst for ", after)
	default:
		d := s.domain(s.rnd.IntN(s.domains))
		for _, u := range s.fleet() {
			if u.settings.Domain == d {
				u.kill()
				time.AfterFunc(after, u.start)
			}
		}
		return "kill domain " + d
	}
}

// A spot is a replica: the index-th one of a service.
type spot struct {
	service string
	index   int
}

// some returns one replica, all of its service, or one of each service.
func (s *site) some(service string, i int) []spot {
	var out []spot
	switch s.rnd.IntN(3) {
	case 0:
		return []spot{{service, i}}
	case 1:
		for k := range s.all(service) {
			out = append(out, spot{service, k})
		}
	default:
		for _, name := range s.services() {
			out = append(out, spot{name, i % len(s.all(name))})
		}
	}
	return out
}

// drain takes a replica out of use for good, and puts another in its place.
func (s *site) drain(service string, i int) {
	p := s.all(service)[i]
	s.mu.Lock()
	up := *s.ups[p.ID]
	s.mu.Unlock()
	s.add(service, i, true)
	up.Draining = true
	s.depot.put(depotRoster, p.ID, &up)
	s.judge.ban(p.ID, time.Now())
}

// complete reports whether each service has replicas that may be used. All of
// them may stand in domains that are out.
func (s *site) complete() bool {
	for _, name := range s.services() {
		if s.usable(name) == 0 {
			return false
		}
	}
	return true
}

func (s *site) usable(service string) int {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, up := range s.ups {
		if _, banned := s.judge.banned[up.ID]; up.Service == service && !banned && !s.lost[up.ID] && !s.out[up.Domain] {
			n++
		}
	}
	return n
}

// heal takes all faults back.
func (s *site) heal() {
	s.burst.Store(false)
	s.depot.heal()
	s.net.Cut(nil)
	for _, u := range s.fleet() {
		u.start()
	}
	for _, name := range s.services() {
		for _, p := range s.all(name) {
			p.Set(fakes.Nurture{Work: s.work})
		}
	}
}
