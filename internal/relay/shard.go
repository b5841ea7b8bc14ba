package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/hedge"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/search"
)

// Constants of a shard's queue and hedge.
const (
	shardQueue = 64                     // requests of one class that may wait for a replica
	hedgeShare = 0.95                   // quantile of latency after which a hedge is sent
	hedgeTimes = 1.5                    // and not before so many medians
	hedgeMost  = 2                      // and not after so many
	hedgeFirst = 50 * time.Millisecond  // before there are latencies
	hedgeLeast = 2 * time.Millisecond   // never earlier
	probeWait  = 500 * time.Millisecond // longest wait for a new connection
)

// A shard sends parts to the replicas of one shard within their limits.
type shard struct {
	number int
	dial   search.Dialer
	warmed func(address, start string) // told when a replica has become warm
	policy *Policy
	quant  hedge.Quant

	mu    sync.Mutex
	ups   []*upstr
	queue limit.Queue
}

func newShard(number int, dial search.Dialer, policy *Policy, warmed func(address, start string)) *shard {
	return &shard{
		number: number,
		dial:   dial,
		warmed: warmed,
		policy: policy,
		quant:  hedge.Quant{Share: hedgeShare, First: hedgeFirst, Least: hedgeLeast, Times: hedgeTimes, Most: hedgeMost},
		queue:  limit.Queue{Bound: shardQueue},
	}
}

// permits are what a daemon may use of one upstream.
type permits struct {
	max   int
	first bool
}

// update takes in the shard's replicas and the daemon's permits for each.
func (s *shard) update(ups []conf.Upstream, hold func(*conf.Upstream) permits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make([]*upstr, 0, len(ups))
	for i := range ups {
		u := s.find(ups[i].Address)
		if u == nil {
			u = &upstr{address: ups[i].Address}
		}
		u.conf = ups[i]
		p := hold(&u.conf)
		u.ramp.Max = p.max
		u.ramp.First = p.first
		u.ramp.Bears = u.conf.Slots
		u.ramp.Goal = timelyGoal
		next = append(next, u)
	}
	for _, u := range s.ups {
		if !slices.Contains(next, u) {
			u.ramp.Max = 0
			u.conf.Excluded = true
			s.trim(u)
		}
	}
	s.ups = next
	for _, u := range next {
		s.trim(u)
	}
	s.wake(time.Now())
}

func (s *shard) find(address string) *upstr {
	for _, u := range s.ups {
		if u.address == address {
			return u
		}
	}
	return nil
}

// trim closes idle connections that the daemon has no permit for.
func (s *shard) trim(u *upstr) {
	for len(u.idle) > 0 && (u.open > u.ramp.Max || u.conf.Excluded) {
		c := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		s.drop(u, c)
	}
}

// drop closes a connection and stops counting it once the upstream has had
// time to see that it is closed.
func (s *shard) drop(u *upstr, c *search.Conn) {
	c.Close()
	time.AfterFunc(closeLinger, func() { s.closed(u) })
}

func (s *shard) closed(u *upstr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.open--
	s.wake(time.Now())
}

// within reports whether no upstream has more connections open than hold allows.
func (s *shard) within(hold func(*conf.Upstream) permits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.ups {
		if u.open > hold(&u.conf).max {
			return false
		}
	}
	return true
}

// A want is what a request needs of a replica.
type want struct {
	class   string
	pick    []object.Pair
	version uint64
	avoid   []string // addresses that have been tried
}

func (s *shard) choose(w *want, now time.Time) *upstr {
	var fit []*upstr
	var sum time.Duration
	var known int
	for _, u := range s.ups {
		if u.latency > 0 {
			sum += u.latency
			known++
		}
		if !u.usable(now) || !u.conf.HasLabels(w.pick) || !u.holds(w.version) || slices.Contains(w.avoid, u.address) {
			continue
		}
		fit = append(fit, u)
	}
	if len(fit) == 0 {
		return nil
	}
	a := fit[rand.IntN(len(fit))]
	if s.policy.Random || len(fit) == 1 {
		return a
	}
	// The second choice is another one: a slow replica is not drawn against itself.
	b := fit[rand.IntN(len(fit)-1)]
	if b == a {
		b = fit[len(fit)-1]
	}
	mean := sum / time.Duration(max(known, 1))
	if b.cost(now, mean) < a.cost(now, mean) {
		return b
	}
	return a
}

// Errors of a wait for a replica.
var (
	errFull    = &search.Error{Cause: search.CauseShed, Unrun: true, Err: limit.ErrFull}
	errCold    = &search.Error{Cause: search.CauseCold, Unrun: true, Err: errors.New("another daemon may send first")}
	errVersion = &search.Error{Cause: search.CauseVersion, Unrun: true, Err: errors.New("no replica holds the version")}
	errMoved   = &search.Error{Cause: search.CauseMoved, Unrun: true, Err: errors.New("another daemon has the permits")}
	errNone    = &search.Error{Cause: search.CauseOut, Unrun: true, Err: errors.New("no replica is in service")}
)

// take waits until a replica may get the request, and counts it in. Each nil
// error needs one release.
func (s *shard) take(ctx context.Context, w *want) (*upstr, error) {
	s.mu.Lock()
	now := time.Now()
	if u := s.choose(w, now); u != nil {
		u.flight++
		s.mu.Unlock()
		return u, nil
	}
	if err := s.hopeless(w, now); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	waiter := &limit.Waiter{Class: w.class, Grant: w}
	waiter.Due, _ = ctx.Deadline()
	ok := s.queue.Push(waiter)
	s.mu.Unlock()
	if !ok {
		return nil, errFull
	}
	select {
	case <-waiter.Ready:
		return waiter.Grant.(*upstr), nil
	case <-ctx.Done():
		return nil, s.giveUp(ctx, waiter)
	}
}

// takeNow is like take, but does not wait.
func (s *shard) takeNow(w *want) *upstr {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.choose(w, time.Now())
	if u != nil {
		u.flight++
	}
	return u
}

func (s *shard) giveUp(ctx context.Context, waiter *limit.Waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(waiter)
	if u, ok := waiter.Grant.(*upstr); ok {
		u.flight--
		s.wake(time.Now())
	}
	return &search.Error{Cause: search.CauseLate, Unrun: true, Err: ctx.Err()}
}

// hopeless returns why waiting can't bring a replica, or nil. A replica that is
// cold and that another daemon has the First right of does not come by waiting.
func (s *shard) hopeless(w *want, now time.Time) error {
	err := errNone
	for _, u := range s.ups {
		switch {
		case u.conf.Excluded || !u.conf.HasLabels(w.pick) || slices.Contains(w.avoid, u.address):
		case !u.holds(w.version):
			err = errVersion
		case u.ramp.Max == 0:
			err = errMoved
		case u.ramp.Limit(now) == 0:
			err = errCold
		default:
			return nil
		}
	}
	return err
}

// wake lets waiters go as far as the limits allow.
func (s *shard) wake(now time.Time) {
	for {
		var u *upstr
		waiter := s.queue.Pop(now, func(w *limit.Waiter) bool {
			u = s.choose(w.Grant.(*want), now)
			return u != nil
		})
		if waiter == nil {
			return
		}
		u.flight++
		waiter.Grant = u
		close(waiter.Ready)
	}
}

// retry wakes waiters after an upstream's pause.
func (s *shard) retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(time.Now())
}

// release gives back a replica that got no request.
func (s *shard) release(u *upstr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.flight--
	s.wake(time.Now())
}

// told takes in another daemon's word that an upstream is warm.
func (s *shard) told(address, start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.find(address); u != nil && !u.ramp.Warm(time.Now()) {
		u.ramp.Told(start, time.Now())
		s.wake(time.Now())
	}
}

// warm returns the upstreams that this daemon knows to be warm, with their starts.
func (s *shard) warm(now time.Time) []warmth {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []warmth
	for _, u := range s.ups {
		if u.ramp.Warm(now) {
			out = append(out, warmth{address: u.address, start: u.ramp.Start(), first: u.ramp.First})
		}
	}
	return out
}

// warmth says that an upstream is warm since a start.
type warmth struct {
	address string
	start   string
	first   bool // this daemon has the First right
}

// span returns the versions that at least one replica in service holds.
func (s *shard) span() (oldest, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.ups {
		if u.conf.Excluded || u.newest == 0 || !u.retryAt.IsZero() && time.Now().Before(u.retryAt) {
			continue
		}
		if u.newest > newest {
			oldest, newest = u.oldest, u.newest
		}
	}
	return oldest, newest
}

// close closes all idle connections and lets nobody take a replica any more.
func (s *shard) close() {
	s.update(nil, nil)
}
