// Package daemon assembles the services of one daemon: the entry, the relay, and
// the services that keep it in sync with the other daemons.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bronzedoor.dev/bronzedoor/internal/cert"
	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/entry"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/intake"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/once"
	"bronzedoor.dev/bronzedoor/internal/owner"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/plan"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/setup"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Names of the services in the kernel, for kernel.Lookup.
const (
	serviceCerts   = "files"
	serviceMembers = "members"
	serviceConf    = "conf"
	serviceRelay   = "relay"
	serviceHold    = "hold"
	servicePeers   = "peers"
	serviceEntry   = "entry"
	serviceSweep   = "sweep"
	serviceJoin    = "join"
)

// callTimeout bounds one call to the object store or the VM list, and one fetch
// of another daemon's member table.
const callTimeout = 2 * time.Second

// A Net opens sockets. Tests replace the functions. All must be set.
type Net struct {
	Listen func(address string) (net.Listener, error)
	Packet func(address string) (net.PacketConn, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// SystemNet returns a Net that uses the network of the operating system.
func SystemNet() Net {
	var d net.Dialer
	return Net{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Packet: func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) },
		Dial:   d.DialContext,
	}
}

// A Daemon is one process of the system. Use New to make one.
type Daemon struct {
	Settings     *setup.Settings // at the start; see InForce
	Net          Net
	Log          *event.Log
	AdjustPolicy func(*relay.Policy) // modifies the relay's policy before the start; may be nil

	identity     string
	kernel       kernel.Kernel
	config       conf.Config
	registry     *prometheus.Registry
	metrics      *entry.Metrics
	balancer     plan.Balancer
	detector     *peer.Detector
	socket       *peer.Socket
	follower     *conf.Follower
	relay        *relay.Relay
	blockManager *owner.Manager
	entry        *entry.Entry
	server       *peerServer  // for other daemons
	client       *http.Client // for calls to other daemons
	store        *store.Client
	certs        *cert.Reloader
	heartbeats   heartbeatStats
	reloaded     atomic.Pointer[setup.Settings] // settings in force; nil before the first reload

	mu           sync.Mutex
	remotes      map[string]*remote     // by address
	loggedStates map[string]memberState // states of members as last logged, by identity
	nextCompare  time.Time              // earliest time of the next comparison of member tables
	rankedDigest uint64                 // digest of the members from which watching was computed
	watching     bool                   // this daemon holds a watch on the store
}

// New returns a daemon that is ready to start. If the settings hold no start
// identity, it makes a random one.
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
	d.loggedStates = make(map[string]memberState)
	return d
}

// Identity returns the daemon's peer address and start identity, as ADDRESS#START.
func (d *Daemon) Identity() string {
	return d.identity
}

// Start opens the listeners and starts all services. ctx bounds the services'
// lifetime as well. Start returns an error if a listener or a service fails.
func (d *Daemon) Start(ctx context.Context) error {
	err := d.build()
	if err == nil {
		err = d.kernel.Start(ctx)
	}
	if err != nil {
		d.closeSockets()
		return err
	}
	d.Log.Emit(event.DaemonStarted, event.Fields{Step: "start", Detail: d.identity})
	return nil
}

// build creates the services and registers them in the order of their start.
func (d *Daemon) build() error {
	if d.Settings.TLS != (setup.TLS{}) {
		t := d.Settings.TLS
		d.certs = &cert.Reloader{CertFile: t.Cert, KeyFile: t.Key, RootsFile: t.Root, Log: d.Log}
		if err := d.kernel.Register(serviceCerts, d.certs); err != nil {
			return err
		}
	}
	d.client = d.peerClient()
	d.registry = prometheus.NewRegistry()
	d.metrics = entry.NewMetrics(d.registry)
	if err := d.buildDetector(); err != nil {
		return err
	}
	storeClient := d.newStoreClient()
	d.store = storeClient
	d.buildConf(storeClient)
	d.buildRelay(storeClient)
	if err := d.buildServers(storeClient); err != nil {
		return err
	}
	for _, s := range []struct {
		name    string
		service kernel.Service
	}{
		{serviceMembers, d.detector},
		{serviceConf, d.follower},
		{serviceRelay, d.relay},
		{serviceHold, d.blockManager},
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

func (d *Daemon) newStoreClient() *store.Client {
	return &store.Client{
		ObjectsAddr: d.Settings.Objects,
		VMListAddr:  d.Settings.Machine,
		HTTP:        &http.Client{Transport: &http.Transport{DialContext: d.Net.Dial}},
		Timeout:     callTimeout,
	}
}

func (d *Daemon) buildDetector() error {
	conn, err := d.Net.Packet(d.Settings.Peer)
	if err != nil {
		return fault.Wrap(err, "listen", d.Settings.Peer)
	}
	d.socket = &peer.Socket{Conn: conn}
	d.detector = &peer.Detector{
		Self:             peer.Member{Identity: d.identity, Domain: d.Settings.Domain},
		Send:             d.socket.Send,
		Revision:         d.config.Revision,
		OnNewerRevision:  func(from string, rev uint64) { d.follower.AddHint(from, rev) },
		OnChange:         d.membersChanged,
		OnDigestMismatch: d.compareTables,
		CountSent:        d.heartbeats.countSent,
		CountReceived:    d.heartbeats.countReceived,
	}
	d.socket.Detector = d.detector
	d.detector.Init()
	d.socket.Start()
	return nil
}

func (d *Daemon) buildConf(storeClient *store.Client) {
	d.follower = &conf.Follower{
		Config:     &d.config,
		Watch:      watchStore(storeClient),
		Fetch:      d.fetchChanges,
		HoldsWatch: d.holdsWatch,
		OnAdvance:  d.configAdvanced,
		Log:        d.Log,
	}
	d.follower.Init()
}

func (d *Daemon) buildRelay(storeClient *store.Client) {
	d.relay = &relay.Relay{
		Config:  &d.config,
		Dial:    d.Net.Dial,
		Observe: d.metrics.ObserveShard,
	}
	if d.AdjustPolicy != nil {
		d.AdjustPolicy(&d.relay.Policy)
	}
	d.blockManager = &owner.Manager{
		Self:          owner.Candidate{Identity: d.identity, Domain: d.Settings.Domain},
		Config:        &d.config,
		Relay:         d.relay,
		Store:         storeClient,
		Members:       d.detector.Members,
		MembersDigest: d.detector.Digest,
		Announce:      d.announce,
		Peer:          d.fleetClient,
		OnList:        d.vmsListed,
		PollsList:     d.holdsWatch,
		Log:           d.Log,
	}
	d.blockManager.Init()
}

// callerMemory is the memory in bytes that a caller's connection takes at most: a head of short
// lines, a body of query.MaxBody, stacks and buffers.
const callerMemory = 352 << 10

// noteRefused logs that a caller's connection was ended to make room.
func (d *Daemon) noteRefused(r intake.Refusal, peer net.Addr) {
	d.Log.Emit(event.CallerRefused, event.Fields{Step: "read", Peer: peer.String(), Detail: r.Reason})
}

func (d *Daemon) buildServers(storeClient *store.Client) error {
	peers, err := d.Net.Listen(d.Settings.Peer)
	if err != nil {
		return fault.Wrap(err, "listen", d.Settings.Peer)
	}
	callers, err := d.Net.Listen(d.Settings.Address)
	if err != nil {
		_ = peers.Close()
		return fault.Wrap(err, "listen", d.Settings.Address)
	}
	conns := &intake.Table{ConnMemory: callerMemory, Refused: d.noteRefused}
	conns.SetLimits(d.Settings.MemoryLimit(), intake.MaxFiles())
	callers, err = conns.Listener(callers)
	if err != nil {
		// Served all the same: the kernel's usual buffers only take more memory.
		d.Log.Emit(event.SettingNotInForce, event.Fields{Step: "listen", Peer: d.Settings.Address, Class: "receive buffer", Err: err})
	}
	d.server = &peerServer{daemon: d, listener: peers}
	d.entry = &entry.Entry{
		Self:        d.identity,
		Listener:    callers,
		Conns:       conns,
		Config:      &d.config,
		Versions:    &plan.Versions{},
		Balancer:    &d.balancer,
		CellsClient: d.cellsClient,
		Claims:      &once.Claims{Store: storeClient, Log: d.Log},
		Metrics:     d.metrics,
		AddHandlers: d.addHandlers,
		Log:         d.Log,
	}
	if d.certs != nil {
		d.entry.TLS = d.certs.ServerConfig()
	}
	return nil
}

// addHandlers adds the metrics and status paths to the listener for callers.
func (d *Daemon) addHandlers(mux *http.ServeMux) {
	mux.Handle("GET "+query.PathMetrics, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+query.PathStatus, d.handleStatus)
}

// cellsClient returns the Cells service of the daemon with the given identity. For
// this daemon it is the relay itself, called without the network.
func (d *Daemon) cellsClient(identity string) wire.Cells {
	if identity == d.identity {
		return d.relay
	}
	return d.remote(peer.Address(identity)).cells
}

func (d *Daemon) fleetClient(address string) wire.Fleet {
	return d.remote(address).fleet
}

// Leave shuts the daemon down gracefully: it announces to peers and the load
// balancer that it is leaving, accepts requests until the linger time has passed,
// transfers its permits to other daemons and finishes the requests in flight. It
// returns an error if ctx ends first.
func (d *Daemon) Leave(ctx context.Context) error {
	d.Log.Emit(event.DaemonLeaving, event.Fields{Step: "leave", Detail: d.identity})
	d.entry.Drain(answerBy(ctx))
	linger := time.NewTimer(time.Duration(d.InForce().Linger))
	defer linger.Stop()
	err := d.blockManager.TransferAll(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	if stopErr := d.kernel.Stop(ctx); err == nil {
		err = stopErr
	}
	d.closeConns()
	if err != nil {
		d.Log.Emit(event.DrainIncomplete, event.Fields{Step: "leave", Err: err})
		return err
	}
	d.Log.Emit(event.DaemonStopped, event.Fields{Step: "leave", Detail: d.identity})
	return nil
}

// finishTime is the part of a leave that is left when the last requests are answered, for
// the transfer of their permits and the end of other daemons' connections. A short leave
// has half of it.
const finishTime = 3 * time.Second

// answerBy returns when the last requests of a leave that ends with ctx have to be answered.
// It is zero if ctx has no deadline.
func answerBy(ctx context.Context) time.Time {
	end, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return end.Add(-min(finishTime, time.Until(end)/2))
}

// closeSockets closes the sockets that build has opened, after a failed start.
func (d *Daemon) closeSockets() {
	if d.socket != nil {
		_ = d.socket.Conn.Close()
	}
	if d.server != nil {
		_ = d.server.listener.Close()
	}
	if d.entry != nil {
		_ = d.entry.Listener.Close()
	}
}

// closeConns closes the heartbeat socket and idle connections, which stopping the
// services leaves open.
func (d *Daemon) closeConns() {
	_ = d.socket.Conn.Close()
	d.client.CloseIdleConnections()
	d.store.HTTP.CloseIdleConnections()
}

// Kill stops the daemon at once, as if its VM had failed: connections are closed
// and no permits are transferred.
func (d *Daemon) Kill() {
	d.entry.Close()
	d.server.close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.kernel.Stop(ctx)
	d.closeConns()
}
