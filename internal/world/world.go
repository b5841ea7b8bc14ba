// Package world runs a whole system in one process: stand-ins for the platform
// and the upstreams, and real daemons. The demo, the experiments and the tests
// of the whole stand on it.
package world

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/daemon"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/setup"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A World is a system with its surroundings. Use New to make one.
type World struct {
	Seed    uint64
	Memory  *fakes.Network // nil for the machine's own sockets
	Store   *fakes.Store
	VMs     *fakes.VMList
	Nodes   []*Node
	Hosts   []*Host
	Specs   []Spec
	Linger  time.Duration       // of daemons that leave
	Drain   time.Duration       // of daemons that leave
	Policy  func(*relay.Policy) // of relays; may be nil
	Editor  *admin.Editor       // changes objects
	Client  *http.Client        // for callers
	Watcher *admin.Watcher      // asks daemons
	Logs    io.Writer           // where daemons log; nil for nowhere

	objects string
	machine string
	servers []*http.Server
	work    sync.WaitGroup
}

// A Spec is a service and its upstreams.
type Spec struct {
	Service string
	Caller  string // class whose selector sends to the service
	Docs    int
	Shards  int
	Cell    int      // shards in one cell
	Blocks  int      // blocks in one cell
	Domains []string // one replica of each shard in each
	Nature  fakes.SearcherBehavior
	Policy  object.Selector // Caller and Service are set from the spec
}

// Documents returns the service's data.
func (s *Spec) Documents() fakes.Documents {
	return fakes.Documents{Service: s.Service, Count: s.Docs}
}

// A Host is one searcher with its place.
type Host struct {
	*fakes.Searcher
	Address string
	Domain  string
	Service string
	Layout  int
	Shard   int
}

// A Node is one VM of the system.
type Node struct {
	*daemon.Daemon
	Entry  string // address for callers
	Peer   string // address for daemons
	Domain string
	Starts int // number of times that the VM was started
	Up     atomic.Bool
}

// Times of a world.
const (
	defaultLinger = 200 * time.Millisecond
	defaultDrain  = 20 * time.Second
	callWait      = 2 * time.Second
	closeWait     = time.Second
)

// callerConns is the number of connections that callers keep to one entry.
const callerConns = 256

// New returns a world with a platform, but without upstreams and daemons.
func New(seed uint64, memory *fakes.Network) (*World, error) {
	w := &World{
		Seed:   seed,
		Memory: memory,
		Store:  fakes.NewStore(seed),
		VMs:    &fakes.VMList{},
		Linger: defaultLinger,
		Drain:  defaultDrain,
	}
	var err error
	if w.objects, err = w.serve(&http.Server{Handler: w.Store}); err != nil {
		return nil, err
	}
	if w.machine, err = w.serve(&http.Server{Handler: w.VMs}); err != nil {
		return nil, err
	}
	t := &http.Transport{DialContext: w.dialer("caller"), MaxIdleConnsPerHost: callerConns}
	w.Client = &http.Client{Transport: t}
	w.Watcher = &admin.Watcher{HTTP: w.Client}
	w.Editor = &admin.Editor{Store: &store.Client{Objects: w.objects, HTTP: w.Client, Timeout: callWait}}
	return w, nil
}

func (w *World) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if w.Memory != nil {
		return w.Memory.Dialer(from)
	}
	var d net.Dialer
	return d.DialContext
}

// listen returns a listener at an address that nobody has.
func (w *World) listen() (net.Listener, error) {
	if w.Memory != nil {
		return w.Memory.Listen(w.Memory.NewAddress())
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// serve starts a server and returns its address.
func (w *World) serve(s *http.Server) (string, error) {
	l, err := w.listen()
	if err != nil {
		return "", err
	}
	w.servers = append(w.servers, s)
	w.work.Add(1)
	go (&server{server: s, listener: l, work: &w.work}).run()
	return l.Addr().String(), nil
}

// A server is a stand-in that is being served.
type server struct {
	server   *http.Server
	listener net.Listener
	work     *sync.WaitGroup
}

// run serves until the server is closed.
func (s *server) run() {
	defer s.work.Done()
	_ = s.server.Serve(s.listener)
}

// AddService starts the searchers of a service and writes its objects. Each
// call for the same service adds its next layout.
func (w *World) AddService(ctx context.Context, s Spec) error {
	number := 1
	for _, o := range w.Specs {
		if o.Service == s.Service {
			number++
		}
	}
	w.Specs = append(w.Specs, s)
	for shard := range s.Shards {
		for _, domain := range s.Domains {
			if err := w.addHost(ctx, &s, number, shard, domain); err != nil {
				return err
			}
		}
	}
	name := object.LayoutName(s.Service, number)
	_, err := admin.Edit(ctx, w.Editor, object.KindLayout, name, func(l *object.Layout) {
		*l = object.Layout{Service: s.Service, Number: number, Shards: s.Shards, Cell: s.Cell, Blocks: s.Blocks}
	})
	if err != nil || number > 1 {
		return err
	}
	_, err = admin.Edit(ctx, w.Editor, object.KindSelector, s.Caller, func(p *object.Selector) {
		*p = s.Policy
		p.Caller, p.Service = s.Caller, s.Service
	})
	return err
}

func (w *World) addHost(ctx context.Context, s *Spec, layout, shard int, domain string) error {
	place := fakes.ShardSpec{Docs: s.Documents(), Layout: layout, Shard: shard, Shards: s.Shards}
	h := &Host{
		Searcher: fakes.NewSearcher(place, s.Nature, w.Seed*1000+uint64(len(w.Hosts))),
		Domain:   domain,
		Service:  s.Service,
		Layout:   layout,
		Shard:    shard,
	}
	var err error
	h.Address, err = w.serve(&http.Server{Handler: h.Searcher, ConnState: h.ConnState, ConnContext: h.ConnContext})
	if err != nil {
		return err
	}
	w.Hosts = append(w.Hosts, h)
	target := "upstream/" + h.Address
	_, err = admin.Edit(ctx, w.Editor, object.KindLabel, target, func(l *object.Label) {
		l.Target = target
		l.Set(object.KeyService, s.Service)
		l.Set(object.KeyLayout, fmt.Sprint(layout))
		l.Set(object.KeyShard, fmt.Sprint(shard))
		l.Set(object.KeyDomain, domain)
		l.Set(object.KeySlots, fmt.Sprint(s.Nature.Slots))
		l.Set(object.KeyConns, fmt.Sprint(s.Nature.MaxConns))
	})
	return err
}

// AddNode makes a VM with addresses of its own, and does not start it.
func (w *World) AddNode(domain string) (*Node, error) {
	n := &Node{Domain: domain}
	for _, a := range []*string{&n.Entry, &n.Peer} {
		l, err := w.listen()
		if err != nil {
			return nil, err
		}
		*a = l.Addr().String()
		_ = l.Close()
	}
	w.Nodes = append(w.Nodes, n)
	return n, nil
}

// StartNode starts a VM anew and lists it.
func (w *World) StartNode(n *Node) error {
	n.Starts++
	start := fmt.Sprintf("s%d", n.Starts)
	s := &setup.Settings{
		Address: n.Entry,
		Peer:    n.Peer,
		Domain:  n.Domain,
		Start:   start,
		Objects: w.objects,
		Machine: w.machine,
		Linger:  setup.Duration(w.Linger),
		Drain:   setup.Duration(w.Drain),
	}
	for _, o := range w.Nodes {
		if o != n && o.Up.Load() && len(s.Peers) < 3 {
			s.Peers = append(s.Peers, o.Peer)
		}
	}
	n.Daemon = daemon.New(s, w.net(n), w.log())
	n.Policy = w.Policy
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	w.VMs.Set(store.VM{Address: n.Peer, Start: start, Domain: n.Domain, State: "live"})
	if err := w.healthy(n); err != nil {
		return err
	}
	n.Up.Store(true)
	return nil
}

// Times of the stand-in for the balancer.
const (
	healthEvery = 20 * time.Millisecond
	healthWait  = 3 * time.Second // a daemon is to be of use by then
)

// healthy waits until a node passes the balancer's check, before which no
// caller is sent to it.
func (w *World) healthy(n *Node) error {
	end := time.Now().Add(healthWait)
	for time.Now().Before(end) {
		resp, err := w.Client.Get("http://" + n.Entry + query.PathHealth)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(healthEvery)
	}
	return fmt.Errorf("%s is not healthy after %v", n.Entry, healthWait)
}

func (w *World) log() *event.Log {
	l := logrus.New()
	l.SetOutput(io.Discard)
	if w.Logs != nil {
		l.SetOutput(w.Logs)
	}
	return event.New(l)
}

func (w *World) net(n *Node) daemon.Net {
	if w.Memory == nil {
		return daemon.Sockets()
	}
	return daemon.Net{Listen: w.Memory.Listen, Packet: w.Memory.ListenPacket, Dial: w.Memory.Dialer(n.Peer)}
}

// KillNode ends a VM at once. The platform still lists it.
func (w *World) KillNode(n *Node) {
	n.Up.Store(false)
	n.Kill()
}

// LeaveNode stops a VM gracefully and takes it off the platform's list.
func (w *World) LeaveNode(n *Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), w.Drain)
	defer cancel()
	n.Up.Store(false)
	err := n.Leave(ctx)
	w.VMs.Remove(n.Peer)
	return err
}

// Ready waits until every live daemon serves every service.
func (w *World) Ready(ctx context.Context) error {
	lags, err := w.Watcher.Wait(ctx, w.first().Entry, 0, true)
	if err == nil && len(lags) > 0 {
		err = fmt.Errorf("%s: %s", lags[0].Identity, lags[0].Reason)
	}
	return err
}

func (w *World) first() *Node {
	for _, n := range w.Nodes {
		if n.Up.Load() {
			return n
		}
	}
	return w.Nodes[0]
}

// InForce waits until every live daemon has a revision in force.
func (w *World) InForce(ctx context.Context, rev uint64) error {
	lags, err := w.Watcher.Wait(ctx, w.first().Entry, rev, false)
	if err == nil && len(lags) > 0 {
		err = fmt.Errorf("%s: %s", lags[0].Identity, lags[0].Reason)
	}
	return err
}

// Label sets one label of a target and returns the revision.
func (w *World) Label(ctx context.Context, target, key, value string) (uint64, error) {
	return admin.Edit(ctx, w.Editor, object.KindLabel, target, func(l *object.Label) {
		l.Target = target
		l.Set(key, value)
	})
}

// Caller returns a client of one node's entry.
func (w *World) Caller(n *Node) *query.Client {
	return &query.Client{Address: n.Entry, HTTP: w.Client}
}

// Warm makes all searchers bear their full load.
func (w *World) Warm() {
	for _, h := range w.Hosts {
		h.Warm()
	}
}

// Close stops everything.
func (w *World) Close() {
	for _, n := range w.Nodes {
		if n.Up.Load() {
			w.KillNode(n)
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.work.Wait()
	w.Client.CloseIdleConnections()
	if w.Memory != nil {
		// What waits on a cut link sees the end at its next look.
		w.Memory.SetCut(nil)
		time.Sleep(closeWait)
	}
}
