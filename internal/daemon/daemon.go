// Package daemon assembles the services of one daemon: entry and relay, and
// what keeps it together with the others.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedoor.dev/bronzedoor/internal/cert"
	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/entry"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/hold"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/once"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/plan"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/setup"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Names of the services, by which they find each other.
const (
	serviceFiles   = "files"
	serviceMembers = "members"
	serviceConf    = "conf"
	serviceRelay   = "relay"
	serviceHold    = "hold"
	servicePeers   = "peers"
	serviceEntry   = "entry"
	serviceSweep   = "sweep"
	serviceJoin    = "join"
)

// storeWait bounds one call to the platform.
const storeWait = 2 * time.Second

// A Net opens sockets. The fields are seams for tests.
type Net struct {
	Listen func(address string) (net.Listener, error)
	Packet func(address string) (net.PacketConn, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Sockets returns a Net of the machine's own sockets.
func Sockets() Net {
	var d net.Dialer
	return Net{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Packet: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) },
		Dial:   d.DialContext,
	}
}

// A Daemon is one process of the system. Use New to make one.
type Daemon struct {
	Settings *setup.Settings
	Net      Net
	Log      *event.Log
	Policy   func(*relay.Policy) // changes the relay's policy before the start; may be nil

	identity string
	kernel   kern.Kernel
	book     conf.Config
	registry *prometheus.Registry
	metrics  *entry.Metrics
	routes   plan.Balancer
	beater   *peer.Detector
	socket   *peer.Socket
	follower *conf.Follower
	relay    *relay.Relay
	keeper   *hold.Manager
	entry    *entry.Entry
	server   *peerServer
	client   *http.Client // for other daemons
	store    *store.Client
	files    *cert.Reloader
	traffic  traffic

	mu      sync.Mutex
	remotes map[string]*remote // by address
	states  map[string]state   // of members, by identity, as last logged
	differs time.Time          // tables may be compared again
	ranked  uint64             // digest of the members that watches goes by
	watches bool               // this daemon is a watcher
}

// New returns a daemon that is ready to start.
func New(s *setup.Settings, n Net, log *event.Log) *Daemon {
	d := &Daemon{Settings: s, Net: n, Log: log}
	start := s.Start
	if start == "" {
		b := make([]byte, 6)
		_, _ = rand.Read(b)
		start = hex.EncodeToString(b)
	}
	d.identity = s.Peer + "#" + start
	d.remotes = make(map[string]*remote)
	d.states = make(map[string]state)
	return d
}

// Identity returns the daemon's address and start.
func (d *Daemon) Identity() string {
	return d.identity
}

// Start starts all services.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.build(); err != nil {
		return err
	}
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	d.Log.Emit(event.DaemonStarted, event.Fields{Step: "start", Detail: d.identity})
	return nil
}

// build makes the services and registers them in the order of their start.
func (d *Daemon) build() error {
	if d.Settings.TLS != (setup.TLS{}) {
		t := d.Settings.TLS
		d.files = &cert.Reloader{CertFile: t.Cert, KeyFile: t.Key, RootsFile: t.Root, Log: d.Log}
		if err := d.kernel.Register(serviceFiles, d.files); err != nil {
			return err
		}
	}
	d.client = d.peerClient()
	d.registry = prometheus.NewRegistry()
	d.metrics = entry.NewMetrics(d.registry)
	if err := d.buildMembers(); err != nil {
		return err
	}
	platform := d.platform()
	d.store = platform
	d.buildConf(platform)
	d.buildRelay(platform)
	if err := d.buildServers(platform); err != nil {
		return err
	}
	for _, s := range []struct {
		name    string
		service kern.Service
	}{
		{serviceMembers, d.beater},
		{serviceConf, d.follower},
		{serviceRelay, d.relay},
		{serviceHold, d.keeper},
		{servicePeers, d.server},
		{serviceJoin, &joiner{daemon: d}},
		{serviceSweep, &sweeper{daemon: d}},
		{serviceEntry, d.entry},
	} {
		if err := d.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) platform() *store.Client {
	return &store.Client{
		ObjectsAddr: d.Settings.Objects,
		VMListAddr:  d.Settings.Machine,
		HTTP:        &http.Client{Transport: &http.Transport{DialContext: d.Net.Dial}},
		Timeout:     storeWait,
	}
}

func (d *Daemon) buildMembers() error {
	conn, err := d.Net.Packet(d.Settings.Peer)
	if err != nil {
		return fault.Wrap(err, "listen", d.Settings.Peer)
	}
	d.socket = &peer.Socket{Conn: conn}
	d.beater = &peer.Detector{
		Self:             peer.Member{Identity: d.identity, Domain: d.Settings.Domain},
		Send:             d.socket.Send,
		Revision:         d.book.Revision,
		OnNewerRevision:  func(from string, rev uint64) { d.follower.AddHint(from, rev) },
		OnChange:         d.changed,
		OnDigestMismatch: d.differ,
		CountSent:        d.traffic.sent,
		CountReceived:    d.traffic.got,
	}
	d.socket.Detector = d.beater
	d.beater.Init()
	d.socket.Start()
	return nil
}

func (d *Daemon) buildConf(platform *store.Client) {
	d.follower = &conf.Follower{
		Config:     &d.book,
		Watch:      watch(platform),
		Fetch:      d.fetch,
		HoldsWatch: d.watcher,
		OnAdvance:  d.advanced,
		Log:        d.Log,
	}
	d.follower.Init()
}

func (d *Daemon) buildRelay(platform *store.Client) {
	d.relay = &relay.Relay{
		Book:    &d.book,
		Dial:    d.Net.Dial,
		Observe: d.metrics.Part,
	}
	if d.Policy != nil {
		d.Policy(&d.relay.Policy)
	}
	d.keeper = &hold.Manager{
		Self:          hold.Candidate{Identity: d.identity, Domain: d.Settings.Domain},
		Book:          &d.book,
		Relay:         d.relay,
		Store:         platform,
		Members:       d.beater.Members,
		MembersDigest: d.beater.Digest,
		Announce:      d.say,
		Peer:          d.fleet,
		OnList:        d.listed,
		PollsList:     d.watcher,
		Log:           d.Log,
	}
	d.keeper.Init()
}

func (d *Daemon) buildServers(platform *store.Client) error {
	peers, err := d.Net.Listen(d.Settings.Peer)
	if err != nil {
		return fault.Wrap(err, "listen", d.Settings.Peer)
	}
	callers, err := d.Net.Listen(d.Settings.Address)
	if err != nil {
		_ = peers.Close()
		return fault.Wrap(err, "listen", d.Settings.Address)
	}
	d.server = &peerServer{daemon: d, listener: peers}
	d.entry = &entry.Entry{
		Self:     d.identity,
		Listener: callers,
		Book:     &d.book,
		Pins:     &plan.Versions{},
		Routes:   &d.routes,
		Cells:    d.cells,
		Claims:   &once.Claims{Store: platform, Log: d.Log},
		Metrics:  d.metrics,
		Extra:    d.extra,
		Log:      d.Log,
	}
	if d.files != nil {
		d.entry.TLS = d.files.ServerConfig()
	}
	return nil
}

// extra adds the operators' paths to the callers' interface.
func (d *Daemon) extra(mux *http.ServeMux) {
	mux.Handle("GET "+query.PathMetrics, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+query.PathStatus, d.handleStatus)
}

// cells returns the cells of a holder: a function call when it is this daemon.
func (d *Daemon) cells(identity string) wire.Cells {
	if identity == d.identity {
		return d.relay
	}
	return d.remote(peer.Address(identity)).cells
}

func (d *Daemon) fleet(address string) wire.Fleet {
	return d.remote(address).fleet
}

// Leave stops the daemon without cutting a request: it tells peers and the
// balancer, goes on accepting for the linger time, gives its permits away and
// finishes what it has. It returns an error when ctx ended first.
func (d *Daemon) Leave(ctx context.Context) error {
	d.Log.Emit(event.DaemonLeaving, event.Fields{Step: "leave", Detail: d.identity})
	d.entry.Leave()
	linger := time.NewTimer(time.Duration(d.Settings.Linger))
	defer linger.Stop()
	err := d.keeper.TransferAll(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	if stopErr := d.kernel.Stop(ctx); err == nil {
		err = stopErr
	}
	d.release()
	if err != nil {
		d.Log.Emit(event.DrainIncomplete, event.Fields{Step: "leave", Err: err})
		return err
	}
	d.Log.Emit(event.DaemonStopped, event.Fields{Step: "leave", Detail: d.identity})
	return nil
}

// release closes what the services leave open.
func (d *Daemon) release() {
	_ = d.socket.Conn.Close()
	d.client.CloseIdleConnections()
	d.store.HTTP.CloseIdleConnections()
}

// Kill ends the daemon at once, as if its VM had failed: connections are cut
// and nothing is given away.
func (d *Daemon) Kill() {
	d.entry.Close()
	d.server.close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.kernel.Stop(ctx)
	d.release()
}
