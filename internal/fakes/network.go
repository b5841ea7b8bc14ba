package fakes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// A Network is a network in memory, whose links can be cut and lose datagrams.
// It works under a paused clock. Use NewNetwork to make one.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packets
	cut       func(from, to string) bool
	loss      float64
	rnd       *rand.Rand
	port      int
}

// NewNetwork returns a network whose losses are drawn from seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		listeners: make(map[string]*listener),
		packets:   make(map[string]*packets),
		rnd:       rand.New(rand.NewPCG(seed, 3)),
		port:      10000,
	}
}

// Address returns an address that nobody has.
func (n *Network) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.port++
	return fmt.Sprintf("127.0.0.1:%d", n.port)
}

// Cut sets which links carry nothing; nil for none. Connections over a cut link
// stall until it is whole again.
func (n *Network) Cut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Lose sets the share of datagrams that are lost.
func (n *Network) Lose(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// Listen returns a listener at an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: address in use", address)
	}
	l := &listener{network: n, address: place(address), conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a function that connects from an address.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	if err := n.whole(ctx, from, address); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: place(address), Err: err}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: place(address), Err: errors.New("connection refused")}
	}
	a, b := net.Pipe()
	near, far := n.newLink(a, from, address), n.newLink(b, address, from)
	var err error
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		err = errors.New("connection refused")
	case <-ctx.Done():
		err = ctx.Err()
	}
	_ = near.Close()
	_ = far.Close()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: place(address), Err: err}
}

// cutPoll is the time between two looks at a cut link.
const cutPoll = 5 * time.Millisecond

// whole waits until a link is whole.
func (n *Network) whole(ctx context.Context, from, to string) error {
	for n.isCut(from, to) || n.isCut(to, from) {
		t := time.NewTimer(cutPoll)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// place is an address of the network.
type place string

// Network returns the name of the network.
func (p place) Network() string { return "memory" }

// String returns the IP number and port.
func (p place) String() string { return string(p) }

type listener struct {
	network *Network
	address place
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and frees its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }

// pipe is one end of a connection. What is written waits in memory until the
// link is whole and the other end reads, so that a writer never blocks with its
// locks held.
type pipe struct {
	net.Conn
	network *Network
	from    string
	to      string
	ready   chan struct{} // receives when there is something to do

	mu      sync.Mutex
	waiting []byte
	closed  bool
}

// newLink returns a started end of a connection.
func (n *Network) newLink(c net.Conn, from, to string) *pipe {
	l := &pipe{Conn: c, network: n, from: from, to: to, ready: make(chan struct{}, 1)}
	go l.run()
	return l
}

// Write keeps b until it can be sent.
func (l *pipe) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, net.ErrClosed
	}
	l.waiting = append(l.waiting, b...)
	l.signal()
	return len(b), nil
}

func (l *pipe) signal() {
	select {
	case l.ready <- struct{}{}:
	default:
	}
}

// closeWait bounds the time in which a closed end sends what waits.
const closeWait = 100 * time.Millisecond

// run sends what waits, until the end is closed.
func (l *pipe) run() {
	for range l.ready {
		for l.network.isCut(l.from, l.to) && !l.ended() {
			time.Sleep(cutPoll)
		}
		l.mu.Lock()
		b, closed := l.waiting, l.closed
		l.waiting = nil
		l.mu.Unlock()
		if closed {
			_ = l.Conn.SetWriteDeadline(time.Now().Add(closeWait))
		}
		var err error
		if len(b) > 0 {
			_, err = l.Conn.Write(b)
		}
		if closed || err != nil {
			_ = l.Conn.Close()
			return
		}
	}
}

func (l *pipe) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Close ends reads at once, and the connection once what waits is sent.
func (l *pipe) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.Conn.SetDeadline(time.Now().Add(-time.Second))
	_ = l.Conn.SetWriteDeadline(time.Now().Add(closeWait))
	l.signal()
	return nil
}

// LocalAddr returns the address of this end.
func (l *pipe) LocalAddr() net.Addr { return place(l.from) }

// RemoteAddr returns the address of the other end.
func (l *pipe) RemoteAddr() net.Addr { return place(l.to) }

// inbox is the number of datagrams that may wait.
const inbox = 256

// datagram is one message on its way.
type datagram struct {
	from string
	data []byte
}

// packets is a net.PacketConn in memory.
type packets struct {
	network *Network
	address string
	in      chan datagram
	done    chan struct{}
	once    sync.Once
}

// Packet returns a socket for datagrams at an address.
func (n *Network) Packet(address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packets[address] != nil {
		return nil, fmt.Errorf("listen %s: address in use", address)
	}
	p := &packets{network: n, address: address, in: make(chan datagram, inbox), done: make(chan struct{})}
	n.packets[address] = p
	return p, nil
}

// ReadFrom returns the next datagram.
func (p *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.in:
		return copy(b, d.data), place(d.from), nil
	case <-p.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram, which may be lost.
func (p *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	n := p.network
	n.mu.Lock()
	target := n.packets[to.String()]
	lost := n.rnd.Float64() < n.loss || n.cut != nil && n.cut(p.address, to.String())
	n.mu.Unlock()
	if target == nil || lost {
		return len(b), nil
	}
	data := make([]byte, len(b))
	copy(data, b)
	select {
	case target.in <- datagram{from: p.address, data: data}:
	default:
	}
	return len(b), nil
}

// Close frees the address.
func (p *packets) Close() error {
	p.once.Do(func() {
		close(p.done)
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		delete(p.network.packets, p.address)
	})
	return nil
}

// LocalAddr returns the socket's address.
func (p *packets) LocalAddr() net.Addr { return place(p.address) }

// SetDeadline does nothing.
func (p *packets) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (p *packets) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (p *packets) SetWriteDeadline(time.Time) error { return nil }
