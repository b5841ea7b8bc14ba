package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/daemon"
	"bronzedoor.dev/bronzedoor/internal/setup"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A Node is one VM and the daemon that it runs.
type Node struct {
	// Daemon is the one of the latest start, and nil before the first.
	*daemon.Daemon

	Entry  string // address for callers
	Peer   string // address for other daemons
	Domain string // failure domain
	Starts int    // number of times that the VM was started
	Up     atomic.Bool
}

// AddNode adds a VM with unused addresses, without starting it.
func (sys *System) AddNode(domain string) (*Node, error) {
	n := &Node{Domain: domain}
	for _, a := range []*string{&n.Entry, &n.Peer} {
		l, err := sys.listen()
		if err != nil {
			return nil, err
		}
		*a = l.Addr().String()
		_ = l.Close()
	}
	sys.Nodes = append(sys.Nodes, n)
	return n, nil
}

// StartNode starts a new daemon on a VM, adds the VM to the platform's list and
// waits until callers may send to it. The daemon gets up to three running VMs as
// its first peers.
func (sys *System) StartNode(n *Node) error {
	n.Starts++
	start := fmt.Sprintf("s%d", n.Starts)
	s := &setup.Settings{
		Address: n.Entry,
		Peer:    n.Peer,
		Domain:  n.Domain,
		Start:   start,
		Objects: sys.objectsAddr,
		Machine: sys.vmsAddr,
		Linger:  setup.Duration(sys.Linger),
		Drain:   setup.Duration(sys.Drain),
	}
	for _, o := range sys.Nodes {
		if o != n && o.Up.Load() && len(s.Peers) < 3 {
			s.Peers = append(s.Peers, o.Peer)
		}
	}
	n.Daemon = daemon.New(s, sys.daemonNet(n), sys.newLog())
	n.AdjustPolicy = sys.RelayPolicy
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	sys.VMs.Set(store.VM{Address: n.Peer, StartID: start, Domain: n.Domain, State: "live"})
	if err := sys.waitHealthy(n); err != nil {
		return err
	}
	n.Up.Store(true)
	return nil
}

// Times of the health check that a load balancer makes.
const (
	healthInterval = 20 * time.Millisecond
	healthTimeout  = 3 * time.Second // a daemon must be healthy this soon after its start
)

// waitHealthy waits until a node passes the load balancer's health check; a
// balancer sends it no callers before that.
func (sys *System) waitHealthy(n *Node) error {
	end := time.Now().Add(healthTimeout)
	for time.Now().Before(end) {
		resp, err := sys.Client.Get("http://" + n.Entry + query.PathHealth)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(healthInterval)
	}
	return fmt.Errorf("%s not healthy within %v", n.Entry, healthTimeout)
}

// daemonNet returns the network that a node's daemon uses.
func (sys *System) daemonNet(n *Node) daemon.Net {
	if sys.Network == nil {
		return daemon.SystemNet()
	}
	return daemon.Net{Listen: sys.Network.Listen, Packet: sys.Network.ListenPacket, Dial: sys.Network.Dialer(n.Peer)}
}

// KillNode stops a VM at once, without draining, as in a crash. The platform
// still lists it.
func (sys *System) KillNode(n *Node) {
	n.Up.Store(false)
	n.Kill()
}

// StopNode drains and stops a VM within Drain, and removes it from the platform's
// list.
func (sys *System) StopNode(n *Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), sys.Drain)
	defer cancel()
	n.Up.Store(false)
	err := n.Leave(ctx)
	sys.VMs.Remove(n.Peer)
	return err
}

// firstUp returns the first node that is up, or the first node if none is.
func (sys *System) firstUp() *Node {
	for _, n := range sys.Nodes {
		if n.Up.Load() {
			return n
		}
	}
	return sys.Nodes[0]
}

// ClientOf returns a client that sends to one node.
func (sys *System) ClientOf(n *Node) *query.Client {
	return &query.Client{Address: n.Entry, HTTP: sys.Client}
}
