package proxy

import (
	"fmt"
	"time"
)

// retryAfterDraining is the delay to suggest to a caller whose request a draining daemon
// refuses: other daemons can take it at once.
const retryAfterDraining = 10 * time.Millisecond

// lateShare is the share of a drain that is its late part. In it, requests come only from
// callers that have kept a connection, and are better sent elsewhere in case of doubt.
const lateShare = 0.5

// A drain is the time in which a daemon finishes its work before it ends.
type drain struct {
	begun time.Time
	end   time.Time // all requests are answered by then
}

// AnswerBy makes the proxy answer all requests by the given time, also those in flight.
// What has no reply by then is answered as timed out. From now on, requests that would
// probably not be answered by then are refused.
func (p *Proxy) AnswerBy(end time.Time) {
	p.drain.Store(&drain{begun: time.Now(), end: end})
	time.AfterFunc(time.Until(end), p.cancelServe)
}

// limitDeadline moves the deadline of a request to the time given to AnswerBy if that is
// earlier. If the time left is too short, it returns why the request is to be refused.
func (p *Proxy) limitDeadline(q *Request) (refusal string) {
	d := p.drain.Load()
	if d == nil || q.Deadline.Before(d.end) {
		return ""
	}
	q.Deadline = d.end
	left, need := time.Until(d.end), p.timeNeeded(q, d)
	if left < need {
		return fmt.Sprintf("draining, %d ms left of %d needed", left.Milliseconds(), need.Milliseconds())
	}
	return ""
}

// timeNeeded returns how much of a drain must be left for a request to be admitted: the
// time in which nearly all requests of the route are answered. Until the late part a
// request that can be sent again is admitted anyway, and in it one that can't never is.
func (p *Proxy) timeNeeded(q *Request, d *drain) time.Duration {
	usual := p.routeStats(q.Route.Name).nearlyAll.Value()
	late := time.Duration(lateShare * float64(d.end.Sub(d.begun)))
	if q.Route.Idempotent {
		return min(usual, late)
	}
	return max(usual+latencyObjective(q.Route), late)
}
