// Package server assembles a daemon, which serves callers' requests from sharded
// and replicated upstreams. It starts the daemon's services, applies what they
// read from the metadata store, and drains the daemon before it stops.
package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedoor.dev/bronzedoor/internal/boot"
	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/proxy"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// upstreamShareOfFiles is the inverse of the share of the process's descriptors for connections to
// upstreams, beyond one to each. Callers have one half (package intake); one connection to each
// upstream, those to other daemons and the store, and the log have the rest.
const upstreamShareOfFiles = 4

// Names under which the services are registered with the kernel.
const (
	serviceFlow    = "flow"
	serviceRoutes  = "routes"
	serviceRoster  = "roster"
	serviceDomains = "domains"
	serviceMembers = "members"
	serviceCallers = "callers"
	serviceReady   = "ready"
	serviceMetrics = "metrics"
	serviceJoin    = "join"
	serviceReap    = "reap"
	serviceExpire  = "expire"
	servicePeers   = "peers"
	serviceMirror  = "mirror"
)

// Intervals between full reads by a daemon that reads the metadata store itself.
// They bound how long the fleet misses changes when a watch stalls without an
// error. They are below feed.StaleAge, so that the copies held by daemons that
// replicate from peers do not become stale between two reads.
const (
	rosterReadInterval  = time.Second
	routesReadInterval  = 1200 * time.Millisecond
	domainsReadInterval = 1200 * time.Millisecond
	membersReadInterval = 1200 * time.Millisecond
)

// A Source is a daemon's access to the metadata store: the four collections
// that the daemon follows, and the member records, which it also writes.
type Source struct {
	Routes          Collection[*route.Table]
	Upstreams       Collection[roster.Upstream]
	ExcludedDomains Collection[string]        // failure domains out of rotation
	Members         Collection[mirror.Member] // daemons of the fleet
	// PutMember writes this daemon's own record, and reports whether there was one.
	// A term that differs from the stored one changes the record and so its
	// revision, which renews its lease.
	PutMember func(ctx context.Context, self mirror.Member, term int) (existed bool, err error)
	// RemoveMember removes a daemon's record if it still has the given revision.
	RemoveMember func(ctx context.Context, name string, revision feed.Revision) error
}

// A Collection reads, watches and decodes the stored objects of one kind. Watch
// returns changes after the revision since, or an empty list after wait. A nil
// Watch leaves changes to the next Read.
type Collection[T any] struct {
	Read   func(ctx context.Context) (feed.List, error)
	Watch  func(ctx context.Context, since feed.Revision, wait time.Duration) (feed.List, error)
	Decode func(o feed.Object) (T, error)
}

// A Daemon is one process of the fleet. Set the exported fields before Flow,
// then call Start, which sets Flow.
type Daemon struct {
	Settings *Settings // at the start; Reload changes some of them
	Source   *Source
	Codec    *client.Codec
	Handler  http.Handler // serves callers' requests
	Log      *event.Log
	Listen   func(address string) (net.Listener, error)
	Dial     func(ctx context.Context, address string) (net.Conn, error)

	Flow        *proxy.Proxy
	kernel      kernel.Kernel
	roster      *roster.Roster
	table       atomic.Pointer[route.Table]
	rosterRead  atomic.Bool // whether the upstreams have been read
	draining    atomic.Bool
	gracePeriod atomic.Int64    // Settings.GracePeriod in force, in ns
	excluded    map[string]bool // failure domains out of rotation; used only by the domains topic
	fleet       mirror.Fleet
	members     map[string]mirror.Member // by object name; used only by the members topic
	mirror      *mirror.Mirror
	membership  membership
	reaper      *reaper
	callers     *callerServer
	startup     *boot.Timeline
	reloads     *prometheus.CounterVec // by result
	notInForce  prometheus.Gauge       // settings that need a restart
	refused     *prometheus.CounterVec // callers, by reason
}

// Start starts all services. If one fails to start, those already started are
// stopped and the error is returned.
func (d *Daemon) Start(ctx context.Context) error {
	registry := prometheus.NewRegistry()
	d.registerSettingsMetrics(registry)
	d.registerCallerMetrics(registry)
	d.excluded = make(map[string]bool)
	d.members = make(map[string]mirror.Member)
	d.fleet.Self = mirror.Member{Name: d.Settings.Name, Address: d.Settings.PeerAddr, Domain: d.Settings.Domain, Region: d.Settings.Region}
	d.mirror = &mirror.Mirror{Fleet: &d.fleet, Dial: d.Dial}
	d.mirror.Init()
	d.reaper = &reaper{daemon: d}
	d.roster = roster.New()
	d.startup = &boot.Timeline{Started: time.Now(), Served: d.logFirstAnswer}
	d.Flow = &proxy.Proxy{
		Region:       d.Settings.Region,
		Codec:        d.Codec,
		Dial:         d.Dial,
		LimitShare:   d.fleet.Share,
		CountedSince: d.membership.countedSince,
		Daemons:      d.fleet.CountByRegion,
		MemoryLimit:  d.Settings.MemoryLimit,
		MaxConns:     d.Settings.maxFiles() / upstreamShareOfFiles,
		Log:          d.Log,
		Metrics:      proxy.NewMetrics(registry),
		Startup:      d.startup,
	}
	d.apply(d.Settings)
	d.roster.OnChange = d.Flow.SetUpstreams
	if err := d.registerServices(registry); err != nil {
		return err
	}
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	d.Log.Emit(event.DaemonStarted, event.Fields{Step: "start", Peer: d.Settings.CallerAddr, Detail: d.Settings.Name})
	return nil
}

func (d *Daemon) logFirstAnswer(detail string) {
	d.Log.Emit(event.FirstAnswer, event.Fields{Step: "start", Detail: detail})
}

// A namedService is a service and the name that it is registered under.
type namedService struct {
	name    string
	service kernel.Service
}

// worker returns a service that runs loop until it is stopped.
func worker(name string, loop func(ctx context.Context)) namedService {
	return namedService{name, &kernel.Worker{Loop: loop}}
}

func (d *Daemon) registerServices(registry *prometheus.Registry) error {
	d.callers = &callerServer{daemon: d}
	members := newTopic(d, serviceMembers, membersReadInterval, &d.Source.Members, d.applyMembers, d.reaper.restartLeases)
	upstreams := newTopic(d, serviceRoster, rosterReadInterval, &d.Source.Upstreams, d.applyRoster, d.storeRecovered)
	upstreams.Restored = d.storeRestored
	domains := newTopic(d, serviceDomains, domainsReadInterval, &d.Source.ExcludedDomains, d.applyDomains, nil)
	domains.Restored = d.storeRestored
	topics := []*feed.Topic{
		members,
		newTopic(d, serviceRoutes, routesReadInterval, &d.Source.Routes, d.applyRoutes, nil),
		upstreams,
		domains,
	}
	// Members come first: the order in which daemons read the other topics
	// follows from them.
	for _, topic := range topics[1:] {
		topic.RankKnown = d.fleet.Known
	}
	d.mirror.Topics = topics
	d.reaper.recordsAge = members.Age
	services := []namedService{{serviceFlow, d.Flow}, worker(serviceJoin, (&joiner{daemon: d}).loop), worker(serviceReap, d.reaper.loop)}
	for _, topic := range topics {
		services = append(services, namedService{topic.Name, topic})
	}
	services = append(services,
		namedService{servicePeers, &server{daemon: d, address: d.Settings.PeerAddr, handler: d.mirror.Handler()}},
		namedService{serviceMirror, d.mirror},
		worker(serviceExpire, (&expirer{daemon: d}).loop),
		namedService{serviceReady, &server{daemon: d, address: d.Settings.ReadyAddr, handler: http.HandlerFunc(d.handleReady)}},
		namedService{serviceCallers, d.callers},
	)
	if d.Settings.MetricsAddr != "" {
		h := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
		services = append(services, namedService{serviceMetrics, &server{daemon: d, address: d.Settings.MetricsAddr, handler: h}})
	}
	for _, s := range services {
		if err := d.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// newTopic returns a topic that follows collection c. It passes changes to apply,
// and calls recovered, if not nil, once the store answers again after an outage
// or the topic is up to date again after a gap.
func newTopic[T any](d *Daemon, name string, interval time.Duration, c *Collection[T], apply func([]decoded[T], time.Time), recovered func()) *feed.Topic {
	dec := &decoder[T]{daemon: d, collection: c, apply: apply}
	return &feed.Topic{
		Name:         name,
		ReadInterval: interval,
		Read:         c.Read,
		Watch:        c.Watch,
		Rank:         d.fleet.Rank,
		Apply:        dec.decodeAndApply,
		Recovered:    recovered,
		Changed:      d.mirror.Wake,
		Log:          d.Log,
	}
}

// decoded is an object and its decoded value.
type decoded[T any] struct {
	feed.Object
	value   T
	invalid bool // whether decoding failed
}

// A decoder decodes the changed objects of a topic and passes them to apply.
type decoder[T any] struct {
	daemon     *Daemon
	collection *Collection[T]
	apply      func(changes []decoded[T], since time.Time)
}

func (d *decoder[T]) decodeAndApply(objects []feed.Object, since time.Time) {
	out := make([]decoded[T], 0, len(objects))
	for _, o := range objects {
		v := decoded[T]{Object: o}
		if !o.Deleted {
			value, err := d.collection.Decode(o)
			if err != nil {
				d.daemon.Log.Emit(event.RegistrationRejected, event.Fields{Step: "decode", Class: o.Name, Err: err})
				v.invalid = true
			}
			v.value = value
		}
		out = append(out, v)
	}
	d.apply(out, since)
}

// Ready reports whether the daemon accepts requests: it has a routing table and
// a list of upstreams, and is not draining.
func (d *Daemon) Ready() bool {
	return d.table.Load() != nil && d.rosterRead.Load() && !d.draining.Load()
}

// Draining reports whether Drain has been called.
func (d *Daemon) Draining() bool {
	return d.draining.Load()
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Limits returns the limits on callers in force. Where the configuration sets none, the
// defaults apply; MaxBodyBytes is then 0.
func (d *Daemon) Limits() route.Limits {
	var l route.Limits
	if table := d.table.Load(); table != nil {
		l = table.Limits
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Configured reports whether a routing table is in force.
func (d *Daemon) Configured() bool {
	return d.table.Load() != nil
}

// Stop stops all services without draining, in reverse order of their start.
func (d *Daemon) Stop(ctx context.Context) error {
	return d.kernel.Stop(ctx)
}
