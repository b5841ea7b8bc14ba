package client

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/quota"
)

const (
	// dialTimeout bounds opening a connection. TCP sends a lost SYN again after 1 s.
	dialTimeout = time.Second

	// maxIdle is how long a pool's most recently used connection may stay idle.
	maxIdle = 8 * time.Second

	// maxSpareIdle is how long its other connections may stay idle. It is short
	// because an upstream counts the connections of a lost VM for a while, and
	// needs room for new ones when the VM returns.
	maxSpareIdle = 1500 * time.Millisecond

	// connLimitWait is how long an upstream that broke off a new connection is
	// taken to be at its connection limit.
	connLimitWait = 500 * time.Millisecond

	// idleMargin is how long before the upstream's idle timeout a connection is
	// closed.
	idleMargin = 500 * time.Millisecond

	// keepAliveInterval is the silence on a connection after which TCP keep-alive
	// probes are sent, and the time between two probes.
	keepAliveInterval = 2 * time.Second
)

// ErrBusy is returned when the pool has no idle connection and may not open
// another one.
var ErrBusy = errors.New("all connections to the upstream are in use")

// ErrHeld is returned for a request that found its connection only after the upstream had
// asked for no more.
var ErrHeld = errors.New("the upstream wants no requests now")

// A Pool holds this daemon's connections to one upstream. Set the exported fields
// and call SetMaxOpen before use. It is safe for concurrent use.
type Pool struct {
	Address string // IP number and port of the upstream
	ID      string // ID of the upstream's process, which is sent with each request
	Codec   *Codec
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Memory  *quota.Quota // bytes of long responses, shared by all pools; nil for no limit
	// Extra limits the connections of all pools together, beyond the first of each; nil for
	// no limit.
	Extra *quota.Quota
	// Held reports whether the upstream is to get no requests now. It is asked when a
	// request has its connection, which may take long. It may be nil.
	Held func() bool

	mu           sync.Mutex
	maxOpen      int       // maximum number of open connections, including those being dialed
	openShare    float64   // share of the time that this daemon may hold a connection, from 0 to 1; 0 sets no limit
	open         int       // open connections: idle, in use or being dialed
	dialing      int       // those of open that are being dialed
	atLimitUntil time.Time // until when the upstream is taken to be at its connection limit
	idle         []*conn   // in order of use, the most recently used one last
	closed       bool
	rtt          time.Duration // shortest time that opening a connection took; 0 before the first
	lastRequest  time.Time     // when the latest request came
	meanGap      time.Duration // moving average of the time between requests
}

// SetMaxOpen sets the maximum number of open connections; values below 1 count
// as 1. Connections above a lowered maximum are closed after their request.
func (p *Pool) SetMaxOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = max(n, 1)
}

// connLimitSigmas is the number of standard deviations that are kept between the
// mean number of open connections and the number that the upstream accepts.
const connLimitSigmas = 3

// SetSharing sets how many connections the upstream accepts, 0 for no limit, and
// how many daemons use it. With more daemons than connections, each daemon holds
// a connection only for a share of the time. If each kept its connection, those
// that connect last would never get one.
func (p *Pool) SetSharing(limit, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openShare = 0
	if limit > 0 && daemons > limit {
		p.openShare = meanOpen(limit) / float64(daemons)
	}
}

// meanOpen returns how many connections all daemons may have open on average so
// that their number rarely exceeds limit. Daemons open connections independently,
// so the variance is about the mean m: m + connLimitSigmas * sqrt(m) = limit.
func meanOpen(limit int) float64 {
	root := (math.Sqrt(connLimitSigmas*connLimitSigmas+4*float64(limit)) - connLimitSigmas) / 2
	return root * root
}

// RTT returns the shortest time that opening a connection took, which is about
// the round-trip time; 0 if none has been opened yet.
func (p *Pool) RTT() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rtt
}

// MaxInFlight returns how many requests may be in flight: one for each established
// connection, and half as many again, at least one, to open new connections. If
// many were opened at once, they would occupy the slots of an upstream that many
// daemons reconnect to at the same time.
func (p *Pool) MaxInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	established := p.open - p.dialing
	if established > 0 && (p.Extra.Full() || time.Now().Before(p.atLimitUntil)) {
		return established
	}
	return max(min(p.maxOpen, established+max(established/2, 1)), 1)
}

// HasIdle reports whether the pool holds an idle connection.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// Do sends a request over an idle or a new connection and returns the outcome.
// The exchange ends with ctx; the deadline is only passed on to the upstream. With
// recentOnly the connection is new or was in use within maxRecentIdle: if the
// upstream closed an older one just then, the outcome would stay unknown.
func (p *Pool) Do(ctx context.Context, req *Request, deadline time.Time, recentOnly bool) Reply {
	c, err := p.get(ctx, recentOnly)
	if err != nil {
		return Reply{Result: Unsent, Err: err}
	}
	if p.Held != nil && p.Held() {
		p.put(c, true)
		return Reply{Result: Unsent, Err: ErrHeld}
	}
	fresh := c.fresh
	c.fresh = false
	sent := time.Now()
	re, reusable := c.exchange(ctx, p, req, time.Until(deadline))
	if re.Result != Unsent {
		re.SentAt = sent
	}
	if fresh && re.Result == Unknown && ctx.Err() == nil {
		re.AtConnLimit = true
		p.noteConnLimit()
	}
	p.put(c, reusable)
	return re
}

// noteConnLimit records that the upstream broke off a new connection, which it
// does when it has as many as it accepts.
func (p *Pool) noteConnLimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atLimitUntil = time.Now().Add(connLimitWait)
}

// Probe opens a connection and adds it to the idle ones. If the maximum number is
// open, it closes an idle one first, which says less about the upstream. It returns
// the dial error if that fails, and ErrBusy if all connections are in use or the
// pool is closed.
func (p *Pool) Probe(ctx context.Context) error {
	if !p.reserveProbe() {
		return ErrBusy
	}
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	p.put(c, true)
	return nil
}

// reserveProbe counts a connection to be opened by Probe, and reports whether it may
// be.
func (p *Pool) reserveProbe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen && len(p.idle) > 0 {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	return p.beginDial()
}

// beginDial counts a connection to be opened, and reports whether it may be. The pool's mutex
// is held.
func (p *Pool) beginDial() bool {
	if p.closed || p.open >= p.maxOpen || p.open > 0 && !p.Extra.Take(1) {
		return false
	}
	p.open++
	p.dialing++
	return true
}

// countOut notes that a connection is open no longer. The pool's mutex is held.
func (p *Pool) countOut() {
	p.open--
	if p.open > 0 {
		p.Extra.Return(1)
	}
}

// get returns an idle connection or opens one. It returns ErrBusy if the maximum
// number is open, by itself or with other pools, or the pool is closed.
func (p *Pool) get(ctx context.Context, recentOnly bool) (*conn, error) {
	p.mu.Lock()
	p.noteRequest(time.Now())
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.usable(time.Now(), recentOnly) {
			p.mu.Unlock()
			return c, nil
		}
		p.drop(c)
	}
	ok := p.beginDial()
	p.mu.Unlock()
	if !ok {
		return nil, ErrBusy
	}
	return p.connect(ctx)
}

// maxRecentIdle is how long a connection may have been idle when it carries a
// request that must not be repeated.
const maxRecentIdle = 400 * time.Millisecond

// usable reports whether an idle connection may carry a request.
func (c *conn) usable(now time.Time, recentOnly bool) bool {
	idle := now.Sub(c.lastUsed)
	if recentOnly && idle > maxRecentIdle {
		return false
	}
	return idle < c.idleLimit() && healthy(c.net)
}

// idleLimit returns how long the connection may stay idle.
func (c *conn) idleLimit() time.Duration {
	if c.idleTimeout > 0 {
		return min(maxIdle, max(c.idleTimeout-idleMargin, c.idleTimeout/2))
	}
	return maxIdle
}

// connect opens a connection. The caller has counted it in open and dialing.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	start := time.Now()
	nc, err := p.Dial(ctx, p.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.countOut()
		return nil, err
	}
	if took := time.Since(start); p.rtt == 0 || took < p.rtt {
		p.rtt = took
	}
	return newConn(nc), nil
}

// put returns a connection to the pool, or closes it if it is not reusable.
func (p *Pool) put(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.closed || p.open > p.maxOpen {
		p.drop(c)
		return
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
	if p.openShare > 0 {
		time.AfterFunc(p.sharedIdle(), p.trimNow)
	}
}

// gapWeight is the weight of the newest gap in the moving average, which thus
// covers about the last ten requests.
const gapWeight = 0.1

// noteRequest updates the average gap between requests. The pool's mutex is held.
func (p *Pool) noteRequest(now time.Time) {
	if !p.lastRequest.IsZero() {
		p.meanGap += time.Duration(gapWeight * float64(now.Sub(p.lastRequest)-p.meanGap))
	}
	p.lastRequest = now
}

// sharedIdle returns how long a connection stays idle at an upstream with more
// daemons than connections, so that on average this daemon holds one for its share
// of the time. The pool's mutex is held.
func (p *Pool) sharedIdle() time.Duration {
	return min(maxSpareIdle, time.Duration(p.openShare*float64(p.meanGap)))
}

// trimNow closes connections whose idle time is over, so that other daemons can
// connect to the upstream.
func (p *Pool) trimNow() {
	p.Trim(time.Now())
}

// drop closes a connection and counts it out. The pool's mutex is held.
func (p *Pool) drop(c *conn) {
	p.countOut()
	// The connection is discarded in any case, so an error does not matter.
	_ = c.net.Close()
}

// Trim closes connections that have been idle for too long. It does not look for
// connections that the upstream has closed: get checks that.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for i, c := range p.idle {
		idle := now.Sub(c.lastUsed)
		surplus := i < len(p.idle)-1 && idle > maxSpareIdle || p.openShare > 0 && idle >= p.sharedIdle()
		if idle < c.idleLimit() && !surplus {
			kept = append(kept, c)
			continue
		}
		p.drop(c)
	}
	p.idle = kept
}

// Close closes idle connections now, and those in use when their request ends.
// Afterwards Do fails with ErrBusy.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}

// Dialer returns a function that opens TCP connections with keep-alive probes, by
// which the kernel detects a dead remote host.
func Dialer() func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveInterval,
		Interval: keepAliveInterval,
		Count:    2,
	}}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}
