package proxy

import (
	"fmt"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
	"bronzedoor.dev/bronzedoor/internal/event"
)

// leavingMargin is how long before the end of the drain time an upstream that has said
// that it is leaving goes out of use: time for the requests that are on their way to it.
const leavingMargin = 800 * time.Millisecond

// SetDrainTime sets how long an upstream gets requests after it has said that it is
// leaving.
func (p *Proxy) SetDrainTime(d time.Duration) {
	p.drainTime.Store(int64(d))
}

// hasLeft reports whether the upstream has said that it is leaving so long ago that it
// gets no more requests.
func (u *upstream) hasLeft(now time.Time) bool {
	since := u.stated.LeavingFor(now)
	return since > 0 && since >= time.Duration(u.proxy.drainTime.Load())-leavingMargin
}

// recordStated records what a reply says of the upstream, and logs changes.
func (u *upstream) recordStated(re client.Reply, now time.Time) {
	if re.RateLimit.Known {
		u.recordRateLimit(re, now)
	}
	if re.Leaving && u.stated.ObserveLeaving(now) {
		u.logStated(event.UpstreamLeaving, fmt.Sprintf("by its reply with status %d", re.Status))
	}
	if re.Pause > 0 && u.stated.ObservePause(re.Pause, now) {
		u.logStated(event.UpstreamPaused, fmt.Sprintf("%d ms asked, %d ms kept", re.Pause.Milliseconds(), u.stated.PauseWait(now).Milliseconds()))
		u.group.queue.wakeAll() // requests that wait for it go elsewhere
	}
	if re.BadPause != "" && u.stated.ShouldReport(now) {
		u.logStated(event.UpstreamPaused, fmt.Sprintf("%q can't be read, ignored", re.BadPause))
	}
}

// recordRateLimit records what a reply says about the upstream's rate limit.
func (u *upstream) recordRateLimit(re client.Reply, now time.Time) {
	l := re.RateLimit
	if !u.stated.Rate.Observe(l.Limited, l.PerSecond, re.SentAt, now) {
		return
	}
	text := "no limit"
	if l.Limited {
		text = fmt.Sprintf("%.4g requests/s, share %.4g", l.PerSecond, u.proxy.LimitShare())
	}
	u.logStated(event.RateLimitChanged, text)
}

func (u *upstream) logStated(id event.ID, text string) {
	u.proxy.Log.Emit(id, event.Fields{Step: "send", Peer: u.info.Address, Class: u.info.Service, Detail: u.info.ID + ": " + text})
}
