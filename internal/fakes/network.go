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

// A Network is an in-memory network whose links can be cut and can lose
// datagrams. It works with the fake clock of a synctest bubble. Use NewNetwork to
// create one.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	packetConns map[string]*packetConn
	cut         func(from, to string) bool
	lossShare   float64
	rnd         *rand.Rand
	port        int
}

// NewNetwork returns a network whose datagram losses are drawn from seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		packetConns: make(map[string]*packetConn),
		rnd:         rand.New(rand.NewPCG(seed, 3)),
		port:        10000,
	}
}

// NewAddress returns an unused address, IP number and port.
func (n *Network) NewAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.port++
	return fmt.Sprintf("127.0.0.1:%d", n.port)
}

// SetCut sets which links are cut; nil means none. A cut link drops datagrams and
// stalls connections until it is restored.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// SetLoss sets the share of datagrams that are lost, from 0 to 1.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossShare = share
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// Listen returns a listener on address, or an error if the address is in use.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: address in use", address)
	}
	l := &listener{network: n, address: memAddr(address), conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function whose connections have from as local address.
// It fails if nothing listens on the address that is dialed, and waits on a cut
// link until ctx is done.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	if err := n.waitUncut(ctx, from, address); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: memAddr(address), Err: err}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: memAddr(address), Err: errors.New("connection refused")}
	}
	a, b := net.Pipe()
	near, far := n.newConn(a, from, address), n.newConn(b, address, from)
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
	return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: memAddr(address), Err: err}
}

// cutPollInterval is the time between two checks of a cut link.
const cutPollInterval = 5 * time.Millisecond

// waitUncut waits until the link is cut in neither direction, or ctx is done.
func (n *Network) waitUncut(ctx context.Context, from, to string) error {
	for n.isCut(from, to) || n.isCut(to, from) {
		t := time.NewTimer(cutPollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// memAddr is an address in a Network.
type memAddr string

// Network returns the name of the network.
func (p memAddr) Network() string { return "memory" }

// String returns the IP number and port of p.
func (p memAddr) String() string { return string(p) }

type listener struct {
	network *Network
	address memAddr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
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

// bufferedConn is one end of a connection. Written data is buffered without bound
// until the link is not cut and the other end reads, so that a writer that holds
// locks never blocks.
type bufferedConn struct {
	net.Conn
	network *Network
	from    string
	to      string
	wake    chan struct{} // receives when there is data to send or the end is closed

	mu      sync.Mutex
	pending []byte
	closed  bool
}

// newConn returns one end of a connection and starts its sending goroutine.
func (n *Network) newConn(c net.Conn, from, to string) *bufferedConn {
	l := &bufferedConn{Conn: c, network: n, from: from, to: to, wake: make(chan struct{}, 1)}
	go l.run()
	return l
}

// Write appends b to the send buffer. It returns net.ErrClosed after Close.
func (l *bufferedConn) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, net.ErrClosed
	}
	l.pending = append(l.pending, b...)
	l.signal()
	return len(b), nil
}

func (l *bufferedConn) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// flushTimeout bounds the time that a closed end spends on sending its buffered data.
const flushTimeout = 100 * time.Millisecond

// run sends buffered data until the end is closed or a write fails.
func (l *bufferedConn) run() {
	for range l.wake {
		for l.network.isCut(l.from, l.to) && !l.isClosed() {
			time.Sleep(cutPollInterval)
		}
		l.mu.Lock()
		b, closed := l.pending, l.closed
		l.pending = nil
		l.mu.Unlock()
		if closed {
			_ = l.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
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

func (l *bufferedConn) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Close ends reads at once, and closes the connection once the buffered data is
// sent or flushTimeout has passed.
func (l *bufferedConn) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.Conn.SetReadDeadline(time.Now().Add(-time.Second))
	_ = l.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
	l.signal()
	return nil
}

// LocalAddr returns the address of this end of the connection.
func (l *bufferedConn) LocalAddr() net.Addr { return memAddr(l.from) }

// RemoteAddr returns the address of the other end of the connection.
func (l *bufferedConn) RemoteAddr() net.Addr { return memAddr(l.to) }

// datagramQueue is the number of unread datagrams that a socket holds; more are lost.
const datagramQueue = 256

// datagram is a datagram that has not been read yet.
type datagram struct {
	from string
	data []byte
}

// packetConn is an in-memory net.PacketConn.
type packetConn struct {
	network *Network
	address string
	queue   chan datagram
	done    chan struct{}
	once    sync.Once
}

// ListenPacket returns a datagram socket on address, or an error if the address
// is in use.
func (n *Network) ListenPacket(address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.packetConns[address] != nil {
		return nil, fmt.Errorf("listen %s: address in use", address)
	}
	p := &packetConn{network: n, address: address, queue: make(chan datagram, datagramQueue), done: make(chan struct{})}
	n.packetConns[address] = p
	return p, nil
}

// ReadFrom waits for the next datagram. It returns net.ErrClosed after Close.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.queue:
		return copy(b, d.data), memAddr(d.from), nil
	case <-p.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. It never fails: a datagram that is lost, or that
// nobody receives, counts as sent.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := p.network
	n.mu.Lock()
	target := n.packetConns[to.String()]
	lost := n.rnd.Float64() < n.lossShare || n.cut != nil && n.cut(p.address, to.String())
	n.mu.Unlock()
	if target == nil || lost {
		return len(b), nil
	}
	data := make([]byte, len(b))
	copy(data, b)
	select {
	case target.queue <- datagram{from: p.address, data: data}:
	default:
	}
	return len(b), nil
}

// Close closes the socket and frees its address.
func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.done)
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		delete(p.network.packetConns, p.address)
	})
	return nil
}

// LocalAddr returns the socket's address.
func (p *packetConn) LocalAddr() net.Addr { return memAddr(p.address) }

// SetDeadline implements net.PacketConn; deadlines are ignored.
func (p *packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn; deadlines are ignored.
func (p *packetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn; deadlines are ignored.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }
