package tier

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/flow"
	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// A plan is the sizes of a site.
type plan struct {
	regions  int
	domains  int
	daemons  int
	shards   int
	replicas int // of each shard
	slots    int
	conns    int // that a replica accepts
	store    int // calls a second that the store bears
	work     time.Duration
	load     float64 // part of what the replicas bear that callers ask for
}

// String returns the sizes on one line.
func (p plan) String() string {
	return fmt.Sprintf("%d daemons in %d domains of %d regions, %d shards of %d replicas with %d slots and %d connections, store %d/s, work %v, load %v",
		p.daemons, p.domains, p.regions, p.shards, p.replicas, p.slots, p.conns, p.store, p.work, p.load)
}

// one returns one of some values.
func one[T any](rnd *rand.Rand, values ...T) T {
	return values[rnd.IntN(len(values))]
}

// drawPlan draws a site that nobody wrote for: from one daemon to thirty, from
// replicas without a second to seven of them.
func drawPlan(rnd *rand.Rand) plan {
	p := plan{
		domains:  one(rnd, 1, 2, 3, 5, 6),
		daemons:  one(rnd, 1, 3, 8, 30),
		shards:   one(rnd, 2, 6, 12),
		replicas: one(rnd, 1, 2, 3, 7),
		slots:    one(rnd, 2, 4),
		conns:    one(rnd, 8, 25, 67),
		store:    one(rnd, 20, 100, 400),
		work:     one(rnd, 5*time.Millisecond, 40*time.Millisecond),
		load:     one(rnd, 0.2, 0.5),
	}
	p.regions = min(p.domains, one(rnd, 1, 2, 3))
	return p
}

// Names and bounds of the sites.
const (
	siteHost     = "h"
	siteSingle   = "single"
	siteAttempts = 2
	siteLeast    = 0.8
	siteGoal     = 250 * time.Millisecond
	siteDue      = 2 * time.Second
	siteCold     = 6.0 // requests a second that a cold replica bears
	siteColdFor  = 4 * time.Second
)

var siteBounds = flow.Bounds{Ratio: 0.2, Slack: 60, Window: 10 * time.Second, ColdTimes: 1.5, ColdSlack: 5}

// A site is a fleet before stand-ins, under a paused clock.
type site struct {
	plan
	t       *testing.T
	rnd     *rand.Rand
	net     *fakes.Network
	depot   *depot
	judge   *judge
	log     *event.Log
	units   []*unit
	version uint64
	seeds   []string
	out     map[string]bool // failure domains that are out of use
	burst   atomic.Bool

	mu       sync.Mutex
	replicas map[string][]*fakes.Replica // by service; those that are gone stay
	ups      map[string]*roster.Upstream // by ID
	lost     map[string]bool             // replicas that are gone, by ID
	number   int                         // of replicas so far
}

// A unit is a VM with a daemon.
type unit struct {
	site     *site
	settings *Settings

	mu   sync.Mutex
	tier *Tier // nil while it is down
}

// now returns the daemon, or nil while it is down.
func (u *unit) now() *Tier {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tier
}

func newSite(t *testing.T, p plan, seed uint64, log io.Writer) *site {
	out := logrus.New()
	out.SetOutput(log)
	out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
	s := &site{
		plan:     p,
		t:        t,
		rnd:      rand.New(rand.NewPCG(seed, 7)),
		net:      fakes.NewNetwork(seed),
		depot:    newDepot(p.store),
		judge:    newJudge(),
		log:      event.New(out),
		replicas: make(map[string][]*fakes.Replica),
		ups:      make(map[string]*roster.Upstream),
		lost:     make(map[string]bool),
		out:      make(map[string]bool),
	}
	for _, name := range s.services() {
		for i := range p.replicas {
			s.add(name, i, false)
		}
	}
	s.configure()
	for range min(p.daemons, 3) {
		s.seeds = append(s.seeds, s.net.Address())
	}
	for i := range p.daemons {
		s.join(fmt.Sprint("daemon", i), i)
	}
	return s
}

// join adds a daemon on the i-th VM, and starts it. The first ones are the
// seeds of all.
func (s *site) join(name string, i int) {
	u := &unit{site: s, settings: &Settings{
		Name:    name,
		Domain:  s.domain(i),
		Region:  s.region(i),
		Callers: s.net.Address(),
		Ready:   s.net.Address(),
		Peer:    s.net.Address(),
		Seeds:   s.seeds,
		Grace:   time.Second,
		Bounds:  siteBounds,
	}}
	if i < len(s.seeds) {
		u.settings.Peer = s.seeds[i]
	}
	u.start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units = append(s.units, u)
}

// fleet returns all VMs.
func (s *site) fleet() []*unit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.units)
}

func (s *site) shardNames() []string {
	var out []string
	for i := range s.shards {
		out = append(out, fmt.Sprint("shard", i))
	}
	return out
}

func (s *site) services() []string {
	return append(s.shardNames(), siteSingle)
}

// domain returns the failure domain of the i-th of some machines.
func (s *site) domain(i int) string {
	return fmt.Sprint("d", i%s.domains)
}

// region returns its region.
func (s *site) region(i int) string {
	return fmt.Sprint("r", i%s.domains%s.regions)
}

// add starts a replica of a service, the i-th one, and registers it.
func (s *site) add(service string, i int, cold bool) {
	address := s.net.Address()
	l, err := s.net.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	id := fmt.Sprintf("%s.%d", service, s.number)
	p := &fakes.Replica{ID: id, Slots: s.slots, Queue: 6 * s.slots, Conns: s.conns, Body: strings.Repeat(service+"........", 2)[:16]}
	p.Note = func(request string) { s.judge.arrive(service, id, request) }
	p.Set(fakes.Nurture{Work: s.work})
	p.Start(l)
	s.replicas[service] = append(s.replicas[service], p)
	up := &roster.Upstream{ID: id, Service: service, Address: address, Domain: s.domain(i), Region: s.region(i), Slots: s.slots, StartMs: int64(s.number)}
	if cold {
		up.ColdUntil = time.Now().Add(siteColdFor)
		s.judge.cold(id, up.ColdUntil)
	}
	s.ups[id] = up
	s.depot.put(depotRoster, id, up)
}

// all returns the replicas of a service.
func (s *site) all(service string) []*fakes.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.replicas[service])
}

// lose ends a replica without notice. Its registration lapses.
func (s *site) lose(service string, i int) {
	p := s.all(service)[i]
	p.Close()
	s.mu.Lock()
	s.lost[p.ID] = true
	s.mu.Unlock()
	time.AfterFunc(siteLapse, func() { s.depot.put(depotRoster, p.ID, nil) })
}

// siteLapse is how long a registration outlasts its replica.
const siteLapse = 2 * time.Second

// configure stores the next version of the configuration.
func (s *site) configure() {
	s.version++
	names := s.shardNames()
	t := route.Table{Version: s.version, Routes: []route.Route{
		{Name: "all", Host: siteHost, Prefix: "/all/", Shards: names, TopK: 3, MinCoverage: siteLeast, Idempotent: true, MaxAttempts: siteAttempts, LatencyTarget: siteGoal, Timeout: siteDue},
		{Name: "read", Host: siteHost, Prefix: "/read/", Service: siteSingle, Idempotent: true, MaxAttempts: siteAttempts, LatencyTarget: siteGoal, Timeout: siteDue, Priority: 1},
		{Name: "write", Host: siteHost, Prefix: "/write/", Service: siteSingle, MaxAttempts: siteAttempts, LatencyTarget: siteGoal, Timeout: siteDue, Priority: 1},
	}}
	for _, name := range s.services() {
		t.Services = append(t.Services, route.Service{Name: name, MaxConns: s.conns, ColdDuration: siteColdFor, ColdRate: siteCold})
	}
	s.depot.put(depotRoutes, "routes", t)
}

// codec speaks to replicas, and tells the judge what is sent.
func (s *site) codec() *link.Codec {
	c := fakes.ReplicaCodec()
	header := c.Header
	c.Header = func(p *link.Payload, id string, left time.Duration) http.Header {
		s.judge.send(p.ID, id)
		return header(p, id, left)
	}
	return c
}

// start starts the daemon, which knows its settings only.
func (u *unit) start() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tier != nil {
		return
	}
	dial := u.site.net.Dialer(u.settings.Peer)
	t := &Tier{
		Settings: u.settings,
		Source:   u.site.depot.source(u.settings.Name),
		Codec:    u.site.codec(),
		Handler:  http.NotFoundHandler(), // callers come by Flow.Serve
		Log:      u.site.log,
		Listen:   u.site.net.Listen,
		Dial:     func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
	}
	if err := t.Start(context.Background()); err != nil {
		u.site.t.Error(err)
		return
	}
	u.tier = t
}

// kill ends the daemon at once.
func (u *unit) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tier == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// What is cut short is the point.
	_ = u.tier.Stop(ctx)
	u.tier = nil
}

// end ends all.
func (s *site) end() {
	for _, u := range s.fleet() {
		u.kill()
	}
	for _, name := range s.services() {
		for _, p := range s.all(name) {
			p.Close()
		}
	}
}
