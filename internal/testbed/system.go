// Package testbed runs a whole system in one process: fakes of the platform and of
// the upstreams, and real daemons. The demo, the experiments and the end-to-end
// tests use it.
package testbed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// A System is a fleet of daemons with fakes of the platform and the upstreams
// that they use. Use New to make one, and Close to stop it.
type System struct {
	Seed        uint64
	Network     *fakes.Network // in-memory network; nil for loopback sockets
	Store       *fakes.Store
	VMs         *fakes.VMList
	Nodes       []*Node
	Upstreams   []*Upstream
	Specs       []Spec
	Linger      time.Duration       // how long a leaving daemon still accepts new requests
	Drain       time.Duration       // time limit of a daemon's leave, Linger included
	RelayPolicy func(*relay.Policy) // changes the daemons' relay policy; may be nil
	Editor      *admin.Editor       // changes objects in Store
	Client      *http.Client        // HTTP client of callers and operators
	Watcher     *admin.StatusClient // polls the daemons' status
	LogOutput   io.Writer           // where daemons log; nil discards the logs

	objectsAddr string // address of Store
	vmsAddr     string // address of VMs
	servers     []*http.Server
	wg          sync.WaitGroup // one for each of servers
}

// A Spec describes one layout of a service and its upstreams.
type Spec struct {
	Service  string
	Caller   string                 // caller class whose queries go to the service
	Docs     int                    // number of documents
	Shards   int                    // number of shards
	Cell     int                    // number of shards in one cell
	Blocks   int                    // number of permit blocks in one cell
	Domains  []string               // failure domains; each has one replica of each shard
	Behavior fakes.SearcherBehavior // behavior of the upstreams
	Selector object.Selector        // limits; AddService sets its Caller and Service
}

// Documents returns the service's data.
func (s *Spec) Documents() fakes.Documents {
	return fakes.Documents{Service: s.Service, Count: s.Docs}
}

// An Upstream is one fake upstream with its address and what it serves.
type Upstream struct {
	*fakes.Searcher
	Address string
	Domain  string // failure domain
	Service string
	Layout  int // number of the layout, from 1
	Shard   int // from 0
}

// Timeouts and defaults of a System.
const (
	defaultLinger = 200 * time.Millisecond
	defaultDrain  = 20 * time.Second
	storeTimeout  = 2 * time.Second // of one call of Editor
	closeDelay    = time.Second     // for connections over cut links to end
)

// maxIdleConns is the number of idle connections that Client keeps to one daemon.
const maxIdleConns = 256

// New returns a System with a running platform, but without upstreams and
// daemons. The seed sets the random choices of the fakes. A nil network stands
// for loopback sockets.
func New(seed uint64, network *fakes.Network) (*System, error) {
	sys := &System{
		Seed:    seed,
		Network: network,
		Store:   fakes.NewStore(seed),
		VMs:     &fakes.VMList{},
		Linger:  defaultLinger,
		Drain:   defaultDrain,
	}
	var err error
	if sys.objectsAddr, err = sys.serve(&http.Server{Handler: sys.Store}); err != nil {
		return nil, err
	}
	if sys.vmsAddr, err = sys.serve(&http.Server{Handler: sys.VMs}); err != nil {
		return nil, err
	}
	t := &http.Transport{DialContext: sys.dialer("caller"), MaxIdleConnsPerHost: maxIdleConns}
	sys.Client = &http.Client{Transport: t}
	sys.Watcher = &admin.StatusClient{HTTP: sys.Client}
	sys.Editor = &admin.Editor{Store: &store.Client{ObjectsAddr: sys.objectsAddr, HTTP: sys.Client, Timeout: storeTimeout}}
	return sys, nil
}

// dialer returns a function that connects from the address from.
func (sys *System) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if sys.Network != nil {
		return sys.Network.Dialer(from)
	}
	var d net.Dialer
	return d.DialContext
}

// listen returns a listener at an unused address.
func (sys *System) listen() (net.Listener, error) {
	if sys.Network != nil {
		return sys.Network.Listen(sys.Network.NewAddress())
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// serve starts a server at an unused address and returns the address. Close
// closes the server.
func (sys *System) serve(s *http.Server) (string, error) {
	l, err := sys.listen()
	if err != nil {
		return "", err
	}
	sys.servers = append(sys.servers, s)
	sys.wg.Add(1)
	go (&server{server: s, listener: l, wg: &sys.wg}).run()
	return l.Addr().String(), nil
}

// A server is an HTTP server of a fake, with its listener.
type server struct {
	server   *http.Server
	listener net.Listener
	wg       *sync.WaitGroup
}

// run serves until the server is closed, and then calls wg.Done.
func (s *server) run() {
	defer s.wg.Done()
	_ = s.server.Serve(s.listener)
}

// AddService starts the upstreams of a service and writes their labels, the
// layout and the selector. Each further call for the same service adds its next
// layout and leaves the selector as it is.
func (sys *System) AddService(ctx context.Context, s Spec) error {
	number := 1
	for _, o := range sys.Specs {
		if o.Service == s.Service {
			number++
		}
	}
	sys.Specs = append(sys.Specs, s)
	for shard := range s.Shards {
		for _, domain := range s.Domains {
			if err := sys.addUpstream(ctx, &s, number, shard, domain); err != nil {
				return err
			}
		}
	}
	name := object.LayoutName(s.Service, number)
	_, err := admin.Edit(ctx, sys.Editor, object.KindLayout, name, func(l *object.Layout) {
		*l = object.Layout{Service: s.Service, Number: number, Shards: s.Shards, Cell: s.Cell, Blocks: s.Blocks}
	})
	if err != nil || number > 1 {
		return err
	}
	_, err = admin.Edit(ctx, sys.Editor, object.KindSelector, s.Caller, func(p *object.Selector) {
		*p = s.Selector
		p.Caller, p.Service = s.Caller, s.Service
	})
	return err
}

// addUpstream starts one replica of a shard and writes its labels.
func (sys *System) addUpstream(ctx context.Context, s *Spec, layout, shard int, domain string) error {
	place := fakes.ShardSpec{Docs: s.Documents(), Layout: layout, Shard: shard, Shards: s.Shards}
	u := &Upstream{
		Searcher: fakes.NewSearcher(place, s.Behavior, sys.Seed*1000+uint64(len(sys.Upstreams))),
		Domain:   domain,
		Service:  s.Service,
		Layout:   layout,
		Shard:    shard,
	}
	var err error
	u.Address, err = sys.serve(&http.Server{Handler: u.Searcher, ConnState: u.ConnState, ConnContext: u.ConnContext})
	if err != nil {
		return err
	}
	sys.Upstreams = append(sys.Upstreams, u)
	target := "upstream/" + u.Address
	_, err = admin.Edit(ctx, sys.Editor, object.KindLabel, target, func(l *object.Label) {
		l.Target = target
		l.Set(object.KeyService, s.Service)
		l.Set(object.KeyLayout, fmt.Sprint(layout))
		l.Set(object.KeyShard, fmt.Sprint(shard))
		l.Set(object.KeyDomain, domain)
		l.Set(object.KeySlots, fmt.Sprint(s.Behavior.Slots))
		l.Set(object.KeyConns, fmt.Sprint(s.Behavior.MaxConns))
	})
	return err
}

// newLog returns a log that writes to LogOutput.
func (sys *System) newLog() *event.Log {
	l := logrus.New()
	l.SetOutput(io.Discard)
	if sys.LogOutput != nil {
		l.SetOutput(sys.LogOutput)
	}
	return event.New(l)
}

// WaitReady waits until every live daemon serves every service. If ctx ends
// first, the error names a daemon that lags and the reason, or says why the
// status could not be read.
func (sys *System) WaitReady(ctx context.Context) error {
	lags, err := sys.Watcher.Wait(ctx, sys.firstUp().Entry, 0, true)
	if err == nil && len(lags) > 0 {
		err = fmt.Errorf("%s: %s", lags[0].Identity, lags[0].Reason)
	}
	return err
}

// WaitApplied waits until every live daemon has applied revision rev. Errors are
// as for WaitReady.
func (sys *System) WaitApplied(ctx context.Context, rev uint64) error {
	lags, err := sys.Watcher.Wait(ctx, sys.firstUp().Entry, rev, false)
	if err == nil && len(lags) > 0 {
		err = fmt.Errorf("%s: %s", lags[0].Identity, lags[0].Reason)
	}
	return err
}

// SetLabel sets one label of a target and returns the revision of the change.
func (sys *System) SetLabel(ctx context.Context, target, key, value string) (uint64, error) {
	return admin.Edit(ctx, sys.Editor, object.KindLabel, target, func(l *object.Label) {
		l.Target = target
		l.Set(key, value)
	})
}

// Warm makes all upstreams warm, so that they take their full load.
func (sys *System) Warm() {
	for _, u := range sys.Upstreams {
		u.Warm()
	}
}

// Close stops all daemons, at once, and all fakes.
func (sys *System) Close() {
	for _, n := range sys.Nodes {
		if n.Up.Load() {
			sys.KillNode(n)
		}
	}
	for _, s := range sys.servers {
		_ = s.Close()
	}
	sys.wg.Wait()
	sys.Client.CloseIdleConnections()
	if sys.Network != nil {
		// An operation that waits on a cut link polls it, and ends at its next
		// poll.
		sys.Network.SetCut(nil)
		time.Sleep(closeDelay)
	}
}
