package relay

import (
	"context"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/search"
)

// probeAfter is the time without a reply after which an upstream is probed.
const probeAfter = 2 * time.Second

// probe starts a probe of each replica that has had no latency sample and no probe
// for probeAfter.
func (s *shard) probe(ctx context.Context, wg *waitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, u := range s.replicas {
		if u.conf.Excluded || u.probing || now.Before(u.pausedUntil) {
			continue
		}
		if now.Sub(u.probedAt) < probeAfter || now.Sub(u.sampledAt) < probeAfter {
			continue
		}
		p := s.newProbe(u)
		if p == nil {
			continue
		}
		u.probing = true
		u.probedAt = now
		wg.Add()
		go p.run(ctx, wg)
	}
}

// newProbe returns a probe on an idle connection, or on one that is to be opened.
// It returns nil if there is no idle connection and no permit for another one.
func (s *shard) newProbe(u *upstream) *probe {
	p := &probe{shard: s, up: u}
	p.conn = u.takeIdle(func(c *search.Conn) { s.closeConn(u, c) })
	if p.conn != nil {
		return p
	}
	if u.openConns >= u.limiter.Max {
		return nil
	}
	u.openConns++
	return p
}

// A probe asks one upstream for its versions and its start ID.
type probe struct {
	shard *shard
	up    *upstream
	conn  *search.Conn // nil until it is open
}

// run asks the upstream, on a new connection if the probe has none, and records
// the result.
func (p *probe) run(ctx context.Context, wg *waitGroup) {
	defer wg.Done()
	ctx, cancel := context.WithTimeout(ctx, connTimeout)
	defer cancel()
	var err error
	if p.conn == nil {
		p.conn, err = search.Open(ctx, p.up.address, p.shard.dial)
	} else {
		err = p.conn.Refresh(ctx)
	}
	p.shard.finishProbe(p.up, p.conn, err)
}

// finishProbe records the result of a probe. After a success, it keeps the
// connection as idle if the permits allow it.
func (s *shard) finishProbe(u *upstream, c *search.Conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u.probing = false
	if err != nil {
		s.discardConn(u, c)
		u.recordDialFailure(now)
		time.AfterFunc(u.backoff, s.resume)
		return
	}
	u.backoff = 0
	u.recordVersions(c.Info.Oldest, c.Info.Newest)
	u.limiter.RecordStart(c.Info.StartID)
	if c.Info.Draining {
		u.pausedUntil = now.Add(drainPause)
		time.AfterFunc(drainPause, s.resume)
	}
	if !slices.Contains(s.replicas, u) || u.openConns > u.limiter.Max {
		s.closeConn(u, c)
	} else {
		u.idleConns = append(u.idleConns, c)
	}
	s.dispatch(now)
}

// discardConn stops counting the connection of a failed probe. c is nil if it
// could not be opened.
func (s *shard) discardConn(u *upstream, c *search.Conn) {
	if c == nil {
		u.openConns--
		return
	}
	s.closeConn(u, c)
}
