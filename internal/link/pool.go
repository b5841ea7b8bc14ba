package link

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"
)

// Times of a pool's connections.
const (
	dialWait   = time.Second             // for a new connection; a lost opening packet comes again after a second
	idleMost   = 8 * time.Second         // the last connection is closed when it was idle for longer
	idleSpare  = 1500 * time.Millisecond // and the others: an upstream counts those of a lost machine for a while, and needs room for its return
	tightWait  = 500 * time.Millisecond  // between two tries to open a connection to an upstream that accepts no more
	idleMargin = 500 * time.Millisecond  // before the upstream closes an idle connection
	aliveProbe = 2 * time.Second         // silence on a connection after which its other end is probed
)

// ErrBusy says that the upstream takes no further connection of this daemon.
var ErrBusy = errors.New("all connections are in use")

// A Pool keeps the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	Address string
	ID      string // identity of the upstream's process
	Codec   *Codec
	Dial    func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	max     int     // connections that may be open
	part    float64 // of the time that this daemon may have a connection open; 0 for always
	open    int
	dialing int       // of open, those that are being opened
	tight   time.Time // until then the upstream is taken to accept no further connection
	idle    []*conn   // the last used one is last
	closed  bool
	round   time.Duration // least time that a connection took to open
	asked   time.Time     // when the last request came
	gap     time.Duration // typical time between two requests
}

// SetMax changes how many connections may be open; at least one may.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(n, 1)
}

// crowdSafety is the number of standard deviations that the connections which
// are open by chance stay below those that the upstream accepts.
const crowdSafety = 3

// SetUsers sets how many connections the upstream accepts, and how many daemons
// use it. Where there are more of these they take turns: each has a connection
// for a part of the time only, as else those that come last have none at all.
func (p *Pool) SetUsers(conns, users int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.part = 0
	if conns > 0 && users > conns {
		p.part = turns(conns) / float64(users)
	}
}

// turns returns how many connections may be open on average, so that there are
// seldom more than so many. Daemons open them independently: the variance is
// about the mean m, and the bound is where m + crowdSafety * sqrt(m) = conns.
func turns(conns int) float64 {
	root := (math.Sqrt(crowdSafety*crowdSafety+4*float64(conns)) - crowdSafety) / 2
	return root * root
}

// Round returns the least time that opening a connection took, which is about
// the round trip; 0 if none was opened yet.
func (p *Pool) Round() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.round
}

// Room returns how many requests may be outstanding: one for each connection,
// and a few that open new ones. To open many at once would hold the slots of an
// upstream that many daemons return to at the same time.
func (p *Pool) Room() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	up := p.open - p.dialing
	if up > 0 && time.Now().Before(p.tight) {
		return up
	}
	return max(min(p.max, up+max(up/2, 1)), 1)
}

// Idle reports whether a connection is open and free.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// Do sends a request and returns what came of it. strict asks for a connection
// that was in use a moment ago, or a new one, so that an idle connection which
// the upstream drops does not leave the outcome unknown.
func (p *Pool) Do(ctx context.Context, pl *Payload, due time.Time, strict bool) Reply {
	c, err := p.get(ctx, strict)
	if err != nil {
		return Reply{Result: Unsent, Err: err}
	}
	fresh := c.fresh
	sent := time.Now()
	re, again := c.exchange(ctx, p.Codec, pl, p.ID, time.Until(due))
	if re.Result != Unsent {
		re.Sent = sent
	}
	if fresh && re.Result == Unknown && ctx.Err() == nil {
		re.Over = true
		p.tighten()
	}
	p.put(c, again)
	return re
}

// tighten notes that the upstream broke a new connection off: it has as many
// as it accepts.
func (p *Pool) tighten() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tight = time.Now().Add(tightWait)
}

// Probe opens a connection and keeps it, and reports whether that worked.
func (p *Pool) Probe(ctx context.Context) error {
	p.mu.Lock()
	p.open++
	p.dialing++
	p.mu.Unlock()
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	p.put(c, true)
	return nil
}

// get returns an idle connection or opens one.
func (p *Pool) get(ctx context.Context, strict bool) (*conn, error) {
	p.mu.Lock()
	p.note(time.Now())
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.good(time.Now(), strict) {
			p.mu.Unlock()
			return c, nil
		}
		p.drop(c)
	}
	if p.closed || p.open >= p.max {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	p.open++
	p.dialing++
	p.mu.Unlock()
	return p.connect(ctx)
}

// strictIdle is the longest time that a connection was idle on which a request
// is sent that can't be repeated.
const strictIdle = 400 * time.Millisecond

// good reports whether an idle connection may carry a request.
func (c *conn) good(now time.Time, strict bool) bool {
	idle := now.Sub(c.used)
	if strict && idle > strictIdle && !c.fresh {
		return false
	}
	return idle < c.most() && quiet(c.net)
}

// most returns how long the connection may stay idle.
func (c *conn) most() time.Duration {
	if c.keep > 0 {
		return min(idleMost, max(c.keep-idleMargin, c.keep/2))
	}
	return idleMost
}

// connect opens a connection that is already counted.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	begun := time.Now()
	nc, err := p.Dial(ctx, p.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.open--
		return nil, err
	}
	if took := time.Since(begun); p.round == 0 || took < p.round {
		p.round = took
	}
	return &conn{net: nc, r: bufio.NewReaderSize(nc, 2<<10), used: time.Now(), fresh: true}, nil
}

// put takes a connection back.
func (p *Pool) put(c *conn, again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !again || p.closed || p.open > p.max {
		p.drop(c)
		return
	}
	c.used = time.Now()
	c.fresh = false
	p.idle = append(p.idle, c)
	if p.part > 0 {
		time.AfterFunc(p.turn(), p.yield)
	}
}

// gapWeight is the weight of the newest gap in the typical one: about ten
// requests tell how often they come.
const gapWeight = 0.1

// note takes in that a request came. The pool's mutex is held.
func (p *Pool) note(now time.Time) {
	if !p.asked.IsZero() {
		p.gap += time.Duration(gapWeight * float64(now.Sub(p.asked)-p.gap))
	}
	p.asked = now
}

// turn returns how long a connection to a crowded upstream stays idle: so long
// that on average this daemon has one for its part of the time. The pool's
// mutex is held.
func (p *Pool) turn() time.Duration {
	return min(idleSpare, time.Duration(p.part*float64(p.gap)))
}

// yield leaves an upstream's room to other daemons.
func (p *Pool) yield() {
	p.Trim(time.Now())
}

// drop closes a connection. The pool's mutex is held.
func (p *Pool) drop(c *conn) {
	p.open--
	// The connection is given up, whatever its state.
	_ = c.net.Close()
}

// Trim closes connections that were idle for too long. Whether the upstream has
// closed one is looked at when it is used.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := p.idle[:0]
	for i, c := range p.idle {
		idle := now.Sub(c.used)
		spare := i < len(p.idle)-1 && idle > idleSpare || p.part > 0 && idle >= p.turn()
		if idle < c.most() && !spare {
			keep = append(keep, c)
			continue
		}
		p.drop(c)
	}
	p.idle = keep
}

// Close closes idle connections now, and the others when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}

// Dialer opens connections whose dead peers are found out by the kernel.
func Dialer() func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     aliveProbe,
		Interval: aliveProbe,
		Count:    2,
	}}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}
