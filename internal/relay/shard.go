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

// Limits of a shard's queue, hedges and connections.
const (
	maxWaiters      = 64                     // requests of one class that may wait for a replica
	hedgeQuantile   = 0.95                   // a hedge is sent after this quantile of latencies,
	hedgeMinMedians = 1.5                    // but not before this multiple of the median,
	hedgeMaxMedians = 2                      // and not after this one
	hedgeInitial    = 50 * time.Millisecond  // delay of a hedge while no latencies are known
	minHedgeDelay   = 2 * time.Millisecond   // least delay of a hedge
	connTimeout     = 500 * time.Millisecond // timeout for opening a connection and for a probe
)

// A shard sends requests to the replicas of one shard within the daemon's permits
// and the replicas' limits. Requests that must wait are queued.
type shard struct {
	number     int
	dial       search.Dialer
	onWarm     func(address, start string) // called with mu held when a replica has become warm; may be nil
	policy     *Policy
	hedgeDelay hedge.Quantile // time after which an attempt is hedged

	mu       sync.Mutex
	replicas []*upstream
	queue    limit.Queue
}

func newShard(number int, dial search.Dialer, policy *Policy, onWarm func(address, start string)) *shard {
	return &shard{
		number:     number,
		dial:       dial,
		onWarm:     onWarm,
		policy:     policy,
		hedgeDelay: hedge.Quantile{Level: hedgeQuantile, Initial: hedgeInitial, Min: minHedgeDelay, MinMedians: hedgeMinMedians, MaxMedians: hedgeMaxMedians},
		queue:      limit.Queue{MaxPerClass: maxWaiters},
	}
}

// permits are the daemon's rights to one upstream.
type permits struct {
	max       int  // most connections and requests in flight
	allowCold bool // requests may be sent while the upstream is cold
}

// update sets the shard's replicas and the daemon's permits for each.
func (s *shard) update(replicas []conf.Upstream, permitsOf func(*conf.Upstream) permits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make([]*upstream, 0, len(replicas))
	for i := range replicas {
		u := s.find(replicas[i].Address)
		if u == nil {
			u = &upstream{address: replicas[i].Address}
		}
		u.conf = replicas[i]
		p := permitsOf(&u.conf)
		u.limiter.Max = p.max
		u.limiter.AllowCold = p.allowCold
		u.limiter.WarmAt = u.conf.Slots
		u.limiter.LatencyTarget = latencyTarget
		next = append(next, u)
	}
	for _, u := range s.replicas {
		if !slices.Contains(next, u) {
			u.limiter.Max = 0
			u.conf.Excluded = true
			s.closeExcess(u)
		}
	}
	s.replicas = next
	for _, u := range next {
		s.closeExcess(u)
	}
	s.dispatch(time.Now())
}

// find returns the replica with that address, or nil.
func (s *shard) find(address string) *upstream {
	for _, u := range s.replicas {
		if u.address == address {
			return u
		}
	}
	return nil
}

// closeExcess closes idle connections while more are open than the daemon has
// permits for. To an upstream that is out of rotation it closes all idle ones.
func (s *shard) closeExcess(u *upstream) {
	for len(u.idleConns) > 0 && (u.openConns-u.closing > u.limiter.Max || u.conf.Excluded) {
		c := u.idleConns[len(u.idleConns)-1]
		u.idleConns = u.idleConns[:len(u.idleConns)-1]
		s.closeConn(u, c)
	}
}

// closeConn closes a connection. The connection counts as open until the upstream
// has had time to notice.
func (s *shard) closeConn(u *upstream, c *search.Conn) {
	c.Close()
	u.closing++
	time.AfterFunc(closeLinger, func() { s.connClosed(u) })
}

// connClosed stops counting a closed connection.
func (s *shard) connClosed(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.openConns--
	u.closing--
	s.dispatch(time.Now())
}

// fits reports whether no upstream has more open connections than permitsOf
// allows.
func (s *shard) fits(permitsOf func(*conf.Upstream) permits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.replicas {
		if u.openConns > permitsOf(&u.conf).max {
			return false
		}
	}
	return true
}

// criteria are what a request needs of a replica.
type criteria struct {
	class   string        // caller class, for the order of waiting
	labels  []object.Pair // labels that the replica must have
	version uint64        // version that the replica must not lack; 0 for any
	exclude []string      // addresses of replicas that have been tried
}

// choose returns the better of two random replicas that may get the request now,
// or nil if there is none.
func (s *shard) choose(crit *criteria, now time.Time) *upstream {
	var candidates []*upstream
	var sum time.Duration
	var known int
	for _, u := range s.replicas {
		if u.meanLatency > 0 {
			sum += u.meanLatency
			known++
		}
		if !u.canSend(now) || !u.conf.HasLabels(crit.labels) || !u.holds(crit.version) || slices.Contains(crit.exclude, u.address) {
			continue
		}
		candidates = append(candidates, u)
	}
	if len(candidates) == 0 {
		return nil
	}
	a := candidates[rand.IntN(len(candidates))]
	if s.policy.RandomReplica || len(candidates) == 1 {
		return a
	}
	// The second candidate differs from the first, so that a slow replica is never
	// compared with itself.
	b := candidates[rand.IntN(len(candidates)-1)]
	if b == a {
		b = candidates[len(candidates)-1]
	}
	mean := sum / time.Duration(max(known, 1))
	if b.cost(now, mean) < a.cost(now, mean) {
		return b
	}
	return a
}

// Errors of acquire.
var (
	errQueueFull = &search.Error{Cause: search.CauseShed, NotExecuted: true, Err: limit.ErrQueueFull}
	errCold      = &search.Error{Cause: search.CauseCold, NotExecuted: true, Err: errors.New("upstream is cold and only another daemon may send to it")}
	errVersion   = &search.Error{Cause: search.CauseVersion, NotExecuted: true, Err: errors.New("no replica holds the version")}
	errNoPermits = &search.Error{Cause: search.CauseNoPermits, NotExecuted: true, Err: errors.New("other daemons own all permits")}
	errNoReplica = &search.Error{Cause: search.CauseNoReplica, NotExecuted: true, Err: errors.New("no matching replica is in rotation")}
)

// acquire waits until a replica may get the request, and counts the request as in
// flight there. Each replica that it returns must be released, by send or by
// release. Its errors are of type *search.Error.
func (s *shard) acquire(ctx context.Context, crit *criteria) (*upstream, error) {
	s.mu.Lock()
	now := time.Now()
	if u := s.choose(crit, now); u != nil {
		u.inFlight++
		s.mu.Unlock()
		return u, nil
	}
	if err := s.unavailable(crit, now); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	waiter := &limit.Waiter{Class: crit.class, Value: crit}
	waiter.Deadline, _ = ctx.Deadline()
	ok := s.queue.Push(waiter)
	s.mu.Unlock()
	if !ok {
		return nil, errQueueFull
	}
	select {
	case <-waiter.Ready:
		return waiter.Value.(*upstream), nil
	case <-ctx.Done():
		return nil, s.abandonWait(ctx, waiter)
	}
}

// tryAcquire is like acquire, but returns nil instead of waiting.
func (s *shard) tryAcquire(crit *criteria) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.choose(crit, time.Now())
	if u != nil {
		u.inFlight++
	}
	return u
}

// abandonWait removes a waiter whose ctx has ended. If the waiter got a replica in
// the meantime, abandonWait releases it.
func (s *shard) abandonWait(ctx context.Context, waiter *limit.Waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(waiter)
	if u, ok := waiter.Value.(*upstream); ok {
		u.inFlight--
		s.dispatch(time.Now())
	}
	return &search.Error{Cause: search.CauseDeadline, NotExecuted: true, Err: ctx.Err()}
}

// unavailable returns the reason if waiting can't bring a replica, and nil
// otherwise. A cold replica to which only another daemon may send does not become
// usable by waiting.
func (s *shard) unavailable(crit *criteria, now time.Time) error {
	err := errNoReplica
	for _, u := range s.replicas {
		switch {
		case u.conf.Excluded || !u.conf.HasLabels(crit.labels) || slices.Contains(crit.exclude, u.address):
		case !u.holds(crit.version):
			err = errVersion
		case u.limiter.Max == 0:
			err = errNoPermits
		case u.limiter.Limit(now) == 0:
			err = errCold
		default:
			return nil
		}
	}
	return err
}

// dispatch hands replicas to waiters as far as the limits allow.
func (s *shard) dispatch(now time.Time) {
	for {
		var u *upstream
		waiter := s.queue.Pop(now, func(w *limit.Waiter) bool {
			u = s.choose(w.Value.(*criteria), now)
			return u != nil
		})
		if waiter == nil {
			return
		}
		u.inFlight++
		waiter.Value = u
		close(waiter.Ready)
	}
}

// resume dispatches waiters after an upstream's pause.
func (s *shard) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(time.Now())
}

// release releases a replica that has been acquired but got no request.
func (s *shard) release(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.inFlight--
	s.dispatch(time.Now())
}

// recordWarm records another daemon's report that the process of an upstream with
// that start ID is warm. It ignores the report if the upstream is known to be warm.
func (s *shard) recordWarm(address, start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.find(address); u != nil && !u.limiter.Warm(time.Now()) {
		u.limiter.RecordWarm(start, time.Now())
		s.dispatch(time.Now())
	}
}

// warmUpstreams returns the replicas that this daemon knows to be warm.
func (s *shard) warmUpstreams(now time.Time) []warmUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []warmUpstream
	for _, u := range s.replicas {
		if u.limiter.Warm(now) {
			out = append(out, warmUpstream{address: u.address, start: u.limiter.StartID(), allowCold: u.limiter.AllowCold})
		}
	}
	return out
}

// A warmUpstream is an upstream that is warm.
type warmUpstream struct {
	address   string
	start     string // start ID of its process
	allowCold bool   // this daemon may send to it while it is cold
}

// versionRange returns the versions that at least one usable replica holds: those
// of the replica with the newest version. Both are 0 if none is known.
func (s *shard) versionRange() (oldest, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.replicas {
		if u.conf.Excluded || u.newest == 0 || !u.pausedUntil.IsZero() && time.Now().Before(u.pausedUntil) {
			continue
		}
		if u.newest > newest {
			oldest, newest = u.oldest, u.newest
		}
	}
	return oldest, newest
}

// close closes all idle connections. No replica can be acquired afterwards.
func (s *shard) close() {
	s.update(nil, nil)
}
