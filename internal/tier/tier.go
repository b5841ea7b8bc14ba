// Package tier assembles the services of a daemon that stands between callers
// and upstreams: what it follows, what it serves, and how it leaves.
package tier

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/flow"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/link"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// Names of the services, by which they find each other.
const (
	serviceFlow    = "flow"
	serviceRoutes  = "routes"
	serviceRoster  = "roster"
	serviceDomains = "domains"
	serviceMembers = "members"
	serviceCallers = "callers"
	serviceIdle    = "idle"
	serviceReady   = "ready"
	serviceMetrics = "metrics"
	serviceJoin    = "join"
	serviceReap    = "reap"
	serviceExpire  = "expire"
	servicePeers   = "peers"
	serviceMirror  = "mirror"
)

// Times between two reads of everything, by a daemon that reads the store. They
// bound how long a silent watch keeps the fleet ignorant, and are below
// feed.Stale, so that those who copy stay up to date.
const (
	readRoster  = time.Second
	readRoutes  = 1200 * time.Millisecond
	readDomains = 1200 * time.Millisecond
	readMembers = 1200 * time.Millisecond
)

// Settings are what a daemon is told at its start.
type Settings struct {
	Name    string // of this daemon, unique in the fleet
	Domain  string // failure domain
	Region  string
	Callers string   // address for callers: IP number and port
	Ready   string   // address that tells whether callers may come
	Peer    string   // address for other daemons
	Seeds   []string // addresses of some daemons, for a start while the store is away
	Metrics string   // address of the metrics; empty for none
	Grace   time.Duration
	Memory  int64         // bytes that the process may use; 0 sets no bound
	Lease   time.Duration // how long a daemon's record lasts that is not renewed; 0 for the default
	Bounds  flow.Bounds
}

// A Source reads and watches the four kinds of objects that a daemon follows,
// and turns them into what they mean.
type Source struct {
	Routes  Kind[*route.Table]
	Roster  Kind[roster.Upstream]
	Domains Kind[string]        // failure domains that get no work
	Members Kind[mirror.Member] // daemons of the fleet
	// Join writes this daemon's own record. Another term makes it another
	// state of the record, which renews it.
	Join func(ctx context.Context, self mirror.Member, term int) error
	// Remove removes a daemon's record if it is still at the revision.
	Remove func(ctx context.Context, name string, revision uint64) error
}

// A Kind is one kind of objects.
type Kind[T any] struct {
	Read   func(ctx context.Context) (feed.List, error)
	Watch  func(ctx context.Context, since uint64, wait time.Duration) (feed.List, error)
	Decode func(o feed.Object) (T, error)
}

// A Tier is one daemon. Set the exported fields, then Start.
type Tier struct {
	Settings *Settings
	Source   *Source
	Codec    *link.Codec
	Handler  http.Handler // of callers' requests
	Log      *event.Log
	Listen   func(address string) (net.Listener, error)
	Dial     func(ctx context.Context, address string) (net.Conn, error)

	Flow    *flow.Flow
	kernel  kern.Kernel
	roster  *roster.Roster
	table   atomic.Pointer[route.Table]
	known   atomic.Bool // the roster has been read
	leaving atomic.Bool
	out     map[string]bool // failure domains that get no work; used by one topic only
	fleet   mirror.Fleet
	members map[string]mirror.Member // by object name; used by one topic only
	mirror  *mirror.Mirror
	reaper  *reaper
	callers *server
}

// Start starts all services.
func (t *Tier) Start(ctx context.Context) error {
	registry := prometheus.NewRegistry()
	t.out = make(map[string]bool)
	t.members = make(map[string]mirror.Member)
	t.fleet.Self = mirror.Member{Name: t.Settings.Name, Address: t.Settings.Peer, Domain: t.Settings.Domain, Region: t.Settings.Region}
	for _, a := range t.Settings.Seeds {
		if a != t.Settings.Peer {
			t.fleet.Seeds = append(t.fleet.Seeds, mirror.Member{Address: a})
		}
	}
	t.mirror = &mirror.Mirror{Fleet: &t.fleet, Dial: t.Dial}
	t.mirror.Init()
	t.reaper = &reaper{tier: t}
	t.roster = roster.New()
	t.Flow = &flow.Flow{
		Domain:  t.Settings.Domain,
		Region:  t.Settings.Region,
		Codec:   t.Codec,
		Dial:    t.Dial,
		Share:   t.fleet.Share,
		Daemons: t.fleet.Daemons,
		Memory:  t.Settings.Memory,
		Log:     t.Log,
		Meter:   flow.NewMeter(registry),
	}
	t.Flow.Limit(t.Settings.Bounds)
	t.roster.OnChange = t.Flow.Update
	if err := t.register(registry); err != nil {
		return err
	}
	if err := t.kernel.Start(ctx); err != nil {
		return err
	}
	t.Log.Emit(event.DaemonStarted, event.Fields{Step: "start", Peer: t.Settings.Callers, Detail: t.Settings.Name})
	return nil
}

// named is a service and its name.
type named struct {
	name    string
	service kern.Service
}

// worker names a service that is one loop.
func worker(name string, loop func(ctx context.Context)) named {
	return named{name, &kern.Worker{Loop: loop}}
}

func (t *Tier) register(registry *prometheus.Registry) error {
	idle := &idler{Limit: t.idleLimit}
	t.callers = &server{tier: t, address: t.Settings.Callers, handler: t.Handler, patience: startWait, idler: idle}
	topics := []*feed.Topic{
		follow(t, serviceMembers, readMembers, &t.Source.Members, t.applyMembers, t.reaper.restart),
		follow(t, serviceRoutes, readRoutes, &t.Source.Routes, t.applyRoutes, nil),
		follow(t, serviceRoster, readRoster, &t.Source.Roster, t.applyRoster, t.lapsed),
		follow(t, serviceDomains, readDomains, &t.Source.Domains, t.applyDomains, nil),
	}
	// The members come first: they say who reads the others.
	for _, topic := range topics[1:] {
		topic.Ranked = t.fleet.Known
	}
	t.mirror.Topics = topics
	t.reaper.age = topics[0].Age
	services := []named{{serviceFlow, t.Flow}, worker(serviceJoin, (&joiner{tier: t}).loop), worker(serviceReap, t.reaper.loop)}
	for _, topic := range topics {
		services = append(services, named{topic.Name, topic})
	}
	services = append(services,
		named{servicePeers, &server{tier: t, address: t.Settings.Peer, handler: t.mirror.Handler()}},
		named{serviceMirror, t.mirror},
		worker(serviceExpire, (&expirer{tier: t}).loop),
		named{serviceReady, &server{tier: t, address: t.Settings.Ready, handler: http.HandlerFunc(t.handleReady)}},
		worker(serviceIdle, idle.loop),
		named{serviceCallers, t.callers},
	)
	if t.Settings.Metrics != "" {
		h := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
		services = append(services, named{serviceMetrics, &server{tier: t, address: t.Settings.Metrics, handler: h}})
	}
	for _, s := range services {
		if err := t.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// follow returns the topic of a kind.
func follow[T any](t *Tier, name string, every time.Duration, k *Kind[T], apply func([]decoded[T]), found func()) *feed.Topic {
	d := &decoder[T]{tier: t, kind: k, apply: apply}
	return &feed.Topic{
		Name:    name,
		Every:   every,
		Read:    k.Read,
		Watch:   k.Watch,
		Rank:    t.fleet.Rank,
		Apply:   d.take,
		Found:   found,
		Changed: t.mirror.Wake,
		Log:     t.Log,
	}
}

// decoded is an object and what it means.
type decoded[T any] struct {
	feed.Object
	value T
	bad   bool // it could not be decoded
}

// A decoder turns objects into what they mean.
type decoder[T any] struct {
	tier  *Tier
	kind  *Kind[T]
	apply func([]decoded[T])
}

func (d *decoder[T]) take(objects []feed.Object) {
	out := make([]decoded[T], 0, len(objects))
	for _, o := range objects {
		v := decoded[T]{Object: o}
		if !o.Gone {
			value, err := d.kind.Decode(o)
			if err != nil {
				d.tier.Log.Emit(event.EntryRefused, event.Fields{Step: "decode", Class: o.Name, Err: err})
				v.bad = true
			}
			v.value = value
		}
		out = append(out, v)
	}
	d.apply(out)
}

// Ready reports whether callers may come.
func (t *Tier) Ready() bool {
	return t.table.Load() != nil && t.known.Load() && !t.leaving.Load()
}

// Leaving reports whether the daemon is about to stop.
func (t *Tier) Leaving() bool {
	return t.leaving.Load()
}

func (t *Tier) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !t.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// idleLimit returns how long a caller's connection may stay idle.
func (t *Tier) idleLimit() time.Duration {
	if d := t.Limits().IdleTimeout; d > 0 {
		return d
	}
	return idleWait
}

// Limits returns the callers' limits in force.
func (t *Tier) Limits() route.Limits {
	if table := t.table.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// Parts of the time that a leaving daemon has.
const (
	acceptShare = 0.7 // until then it accepts new connections
	finishShare = 0.9 // until then it finishes requests
)

// Leave stops the daemon without cutting a request: callers are told to stay
// away first, and served until the grace time is nearly over.
func (t *Tier) Leave() error {
	t.leaving.Store(true)
	t.Log.Emit(event.DaemonLeaving, event.Fields{Step: "leave", Detail: t.Settings.Name})
	accept := time.Duration(acceptShare * float64(t.Settings.Grace))
	finish := time.Duration(finishShare * float64(t.Settings.Grace))
	begun := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(finish))
	defer cancel()
	time.Sleep(time.Until(begun.Add(accept)))
	err := t.callers.Stop(ctx)
	if err != nil {
		t.Log.Emit(event.LeaveCut, event.Fields{Step: "leave", Err: fault.Wrap(err, "leave", "")})
	}
	t.Log.Emit(event.DaemonStopped, event.Fields{Step: "leave", Detail: t.Settings.Name})
	return nil
}

// Configured reports whether a routing table is in force.
func (t *Tier) Configured() bool {
	return t.table.Load() != nil
}

// Reload takes in changed settings. Addresses that the daemon listens at stay
// as they are until it starts again.
func (t *Tier) Reload(s *Settings) {
	t.Flow.Limit(s.Bounds)
	t.Log.Emit(event.SettingsRead, event.Fields{Step: "reload", Detail: s.Name})
}

// Stop ends all services at once.
func (t *Tier) Stop(ctx context.Context) error {
	return t.kernel.Stop(ctx)
}
