package relay

import (
	"context"
	"slices"
	"time"

	"bronzedoor.dev/bronzedoor/internal/search"
)

// probeAge is the age after which what is known of an upstream is looked up.
const probeAge = 2 * time.Second

// probe looks at the upstreams that have not been heard of lately.
func (s *shard) probe(ctx context.Context, work *tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, u := range s.ups {
		if u.conf.Excluded || u.probing || now.Before(u.retryAt) {
			continue
		}
		if now.Sub(u.probed) < probeAge || now.Sub(u.sampled) < probeAge {
			continue
		}
		l := s.newLook(u)
		if l == nil {
			continue
		}
		u.probing = true
		u.probed = now
		work.Add()
		go l.run(ctx, work)
	}
}

// newLook returns a look over an idle connection, or over one that is to be
// opened; nil if there is neither.
func (s *shard) newLook(u *upstr) *look {
	l := &look{shard: s, up: u}
	l.conn = u.takeIdle(func(c *search.Conn) { s.drop(u, c) })
	if l.conn != nil {
		return l
	}
	if u.open >= u.ramp.Max {
		return nil
	}
	u.open++
	return l
}

// A look is one probe of an upstream.
type look struct {
	shard *shard
	up    *upstr
	conn  *search.Conn // nil until there is one
}

// run opens a connection, learns the upstream's versions and its start, and
// keeps the connection if it is the only unused one.
func (l *look) run(ctx context.Context, work *tally) {
	defer work.Done()
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	var err error
	if l.conn == nil {
		l.conn, err = search.Open(ctx, l.up.address, l.shard.dial)
	} else {
		err = l.conn.Ask(ctx)
	}
	l.shard.looked(l.up, l.conn, err)
}

// looked takes in the result of a look.
func (s *shard) looked(u *upstr, c *search.Conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u.probing = false
	if err != nil {
		s.undo(u, c)
		u.refused(now)
		time.AfterFunc(u.backoff, s.retry)
		return
	}
	u.backoff = 0
	u.heard(c.Start.Oldest, c.Start.Newest)
	u.ramp.Seen(c.Start.Start)
	if c.Start.Drain {
		u.retryAt = now.Add(drainPause)
		time.AfterFunc(drainPause, s.retry)
	}
	if !slices.Contains(s.ups, u) || u.open > u.ramp.Max {
		s.drop(u, c)
	} else {
		u.idle = append(u.idle, c)
	}
	s.wake(now)
}

// undo stops counting a connection that failed while it was looked at.
func (s *shard) undo(u *upstr, c *search.Conn) {
	if c == nil {
		u.open--
		return
	}
	s.drop(u, c)
}
