package relay

import (
	"context"
	"errors"
	"time"

	"bronzedoor.dev/bronzedoor/internal/search"
)

// send sends a part to a replica that was taken, and releases it.
func (s *shard) send(ctx context.Context, u *upstr, path string, p *search.Part) (search.Reply, error) {
	c, err := s.connect(ctx, u)
	if err != nil {
		s.release(u)
		return search.Reply{}, err
	}
	begun := time.Now()
	re, err := c.Do(ctx, path, p)
	s.finish(u, c, time.Since(begun), re, err)
	return re, err
}

// connect returns an idle connection or opens one.
func (s *shard) connect(ctx context.Context, u *upstr) (*search.Conn, error) {
	s.mu.Lock()
	drop := func(c *search.Conn) { s.drop(u, c) }
	if c := u.takeIdle(drop); c != nil {
		u.sent++
		s.mu.Unlock()
		return c, nil
	}
	if u.open >= u.ramp.Max {
		s.mu.Unlock()
		return nil, &search.Error{Cause: search.CauseCold, Unrun: true}
	}
	u.open++
	s.mu.Unlock()
	return s.open(ctx, u)
}

// open opens a connection that is already counted. The upstream may turn out
// to have restarted: then the request may go no further.
func (s *shard) open(ctx context.Context, u *upstr) (*search.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	c, err := search.Open(ctx, u.address, s.dial)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		u.open--
		if ctx.Err() == nil {
			u.refused(now)
			time.AfterFunc(u.backoff, s.retry)
		}
		return nil, err
	}
	u.backoff = 0
	u.heard(c.Start.Oldest, c.Start.Newest)
	u.ramp.Seen(c.Start.Start)
	if u.flight > u.ramp.Limit(now) {
		u.idle = append(u.idle, c)
		return nil, &search.Error{Cause: search.CauseCold, Unrun: true}
	}
	u.sent++
	return c, nil
}

// finish takes in what became of a request, and releases the replica.
func (s *shard) finish(u *upstr, c *search.Conn, took time.Duration, re search.Reply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake(time.Now())
	now := time.Now()
	u.flight--
	switch {
	case c.Broken():
		s.drop(u, c)
	case u.open > u.ramp.Max || u.conf.Excluded:
		s.drop(u, c)
	default:
		u.idle = append(u.idle, c)
	}
	var e *search.Error
	if errors.As(err, &e) {
		s.failed(u, c, e, took, now)
		return
	}
	u.heard(re.Oldest, re.Newest)
	u.sample(took, now)
	s.quant.Add(took)
	if re.Start != u.ramp.Start() {
		return
	}
	if u.ramp.Good(took, now) && s.warmed != nil {
		s.warmed(u.address, re.Start)
	}
}

// failed takes in an error of a request on connection c.
func (s *shard) failed(u *upstr, c *search.Conn, e *search.Error, took time.Duration, now time.Time) {
	u.heard(e.Reply.Oldest, e.Reply.Newest)
	if c.Start.Start != u.ramp.Start() {
		return
	}
	switch e.Cause {
	case search.CauseShed:
		u.ramp.Shed()
	case search.CauseReset, search.CauseCut:
		u.ramp.Lost()
	case search.CauseDrain:
		u.retryAt = now.Add(drainPause)
		time.AfterFunc(drainPause, s.retry)
	case search.CauseLate:
		u.sample(took, now)
	}
}
