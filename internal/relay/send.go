package relay

import (
	"context"
	"errors"
	"time"

	"bronzedoor.dev/bronzedoor/internal/search"
)

// send sends a request to a replica that has been acquired, and releases the
// replica. Every error wraps a *search.Error.
func (s *shard) send(ctx context.Context, u *upstream, path string, req *search.ShardRequest) (search.Reply, error) {
	c, err := s.connect(ctx, u)
	if err != nil {
		s.release(u)
		return search.Reply{}, err
	}
	start := time.Now()
	re, err := c.Do(ctx, path, req)
	s.finish(u, c, time.Since(start), re, err)
	return re, err
}

// connect returns an idle connection, or opens one if the permits allow it.
func (s *shard) connect(ctx context.Context, u *upstream) (*search.Conn, error) {
	s.mu.Lock()
	closeConn := func(c *search.Conn) { s.closeConn(u, c) }
	if c := u.takeIdle(closeConn); c != nil {
		u.sent++
		s.mu.Unlock()
		return c, nil
	}
	if u.openConns >= u.limiter.Max {
		s.mu.Unlock()
		return nil, &search.Error{Cause: search.CauseCold, NotExecuted: true}
	}
	u.openConns++
	s.mu.Unlock()
	return s.openConn(ctx, u)
}

// openConn opens a connection that is already counted in openConns. If the
// upstream turns out to have restarted, its limit may have dropped; then openConn
// keeps the connection as idle and returns an error, so that nothing is sent.
func (s *shard) openConn(ctx context.Context, u *upstream) (*search.Conn, error) {
	openCtx, cancel := context.WithTimeout(ctx, connTimeout)
	defer cancel()
	c, err := search.Open(openCtx, u.address, s.dial)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		u.openConns--
		if ctx.Err() == nil {
			u.recordDialFailure(now)
			time.AfterFunc(u.backoff, s.resume)
		}
		return nil, err
	}
	u.backoff = 0
	u.recordVersions(c.Info.Oldest, c.Info.Newest)
	u.limiter.RecordStart(c.Info.StartID)
	if u.inFlight > u.limiter.Limit(now) {
		u.idleConns = append(u.idleConns, c)
		return nil, &search.Error{Cause: search.CauseCold, NotExecuted: true}
	}
	u.sent++
	return c, nil
}

// finish records the result of a request and releases the replica. It keeps the
// connection as idle if it is usable and the permits allow it.
func (s *shard) finish(u *upstream, c *search.Conn, took time.Duration, re search.Reply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.dispatch(time.Now())
	now := time.Now()
	u.inFlight--
	switch {
	case c.Broken():
		s.closeConn(u, c)
	case u.openConns > u.limiter.Max || u.conf.Excluded:
		s.closeConn(u, c)
	default:
		u.idleConns = append(u.idleConns, c)
	}
	var e *search.Error
	if errors.As(err, &e) {
		s.recordFailure(u, c, e, took, now)
		return
	}
	u.recordVersions(re.Oldest, re.Newest)
	u.recordLatency(took, now)
	s.hedgeDelay.Add(took)
	if re.StartID != u.limiter.StartID() {
		return
	}
	if u.limiter.RecordSuccess(took, now) && s.onWarm != nil {
		s.onWarm(u.address, re.StartID)
	}
}

// recordFailure records an error of a request on connection c. Only an error from
// the upstream's current process changes limits and latency.
func (s *shard) recordFailure(u *upstream, c *search.Conn, e *search.Error, took time.Duration, now time.Time) {
	u.recordVersions(e.Reply.Oldest, e.Reply.Newest)
	if c.Info.StartID != u.limiter.StartID() {
		return
	}
	switch e.Cause {
	case search.CauseShed:
		u.limiter.RecordShed()
	case search.CauseReset, search.CauseTruncated:
		u.limiter.RecordDisconnect()
	case search.CauseDrain:
		u.pausedUntil = now.Add(drainPause)
		time.AfterFunc(drainPause, s.resume)
	case search.CauseDeadline:
		u.recordLatency(took, now)
	}
}
