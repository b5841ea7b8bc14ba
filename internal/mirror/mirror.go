// Package mirror copies what daemons know of the metadata store from one to
// another. The first of them all, in an order that all agree on, reads the
// store; each of the others holds a call to the first of its failure domain or
// its region, or of the next few that answers and is up to date. A daemon that
// the store turns away learns from any other.
package mirror

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/mirror/rpc"
	"bronzedoor.dev/bronzedoor/internal/pace"
)

// Times of the copying.
const (
	pullWait  = 1500 * time.Millisecond // a call waits so long for news
	callWait  = 600 * time.Millisecond  // for an answer beyond that
	dialWait  = 300 * time.Millisecond  // for a connection to another daemon
	lookWait  = 20 * time.Millisecond   // between two looks for a daemon to follow
	pause     = 100 * time.Millisecond  // after a daemon that did not help
	firstBack = 5 * time.Second         // after which the first daemon is asked again
	freshMost = 1600 * time.Millisecond
)

// sources is the number of daemons that another one asks in turn.
const sources = 3

// A Mirror gives out and takes in what topics hold. Set the exported fields,
// then Start.
type Mirror struct {
	Fleet  *Fleet
	Topics []*feed.Topic
	Dial   func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	changed chan struct{} // closed and made anew with each change
	tips    chan string   // a daemon that knows more than this one; a further one can wait for its next call
	client  *http.Client
	packer  packer
	duties  kern.Duties
}

// Init makes the mirror ready to be told of changes.
func (m *Mirror) Init() {
	m.changed = make(chan struct{})
	m.tips = make(chan string, 1)
	m.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialWait)
			defer cancel()
			return m.Dial(ctx, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     firstBack,
	}}
}

// Start starts copying.
func (m *Mirror) Start(ctx context.Context) error {
	ctx = m.duties.Begin(ctx, 2)
	go (&follower{m}).loop(ctx)
	go (&rescuer{m}).loop(ctx)
	return nil
}

// Stop ends copying.
func (m *Mirror) Stop(context.Context) error {
	m.duties.End()
	m.client.CloseIdleConnections()
	return nil
}

// Wake tells waiting daemons that there is news.
func (m *Mirror) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) next() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Handler serves other daemons.
func (m *Mirror) Handler() http.Handler {
	return rpc.NewMirrorServer(m)
}

// Changes returns what has changed in some topics. It waits for a change, or
// until all of them are known to be unchanged since the call: else the age of
// what is known would grow with each daemon that it passes. A caller that knows
// more is answered at once, and asked back.
func (m *Mirror) Changes(ctx context.Context, r *rpc.ChangesRequest) (*rpc.ChangesReply, error) {
	timer := time.NewTimer(min(time.Duration(r.GetWait())*time.Millisecond, pullWait))
	defer timer.Stop()
	begun := time.Now()
	if m.behind(r.GetCursors(), begun) {
		m.tip(r.GetFrom())
		reply, _, err := m.collect(r.GetCursors())
		return reply, err
	}
	for {
		changed := m.next()
		reply, news, err := m.collect(r.GetCursors())
		if err != nil {
			return nil, err
		}
		if news || m.confirmed(begun) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			reply, _, err = m.collect(r.GetCursors())
			return reply, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// behind reports whether this daemon's knowledge of a topic is too old, and the
// holder of the cursors knows more.
func (m *Mirror) behind(cursors []*rpc.Cursor, now time.Time) bool {
	for _, c := range cursors {
		t := m.topic(c.GetTopic())
		if t != nil && c.GetSince() > t.Revision() && t.Age(now) > rescueAge {
			return true
		}
	}
	return false
}

// tip notes a daemon to ask. A daemon that has no address is not asked.
func (m *Mirror) tip(address string) {
	if address == "" {
		return
	}
	select {
	case m.tips <- address:
	default:
	}
}

// confirmed reports whether all topics are known as of a later time than begun.
func (m *Mirror) confirmed(begun time.Time) bool {
	age := time.Since(begun)
	for _, t := range m.Topics {
		if t.Age(time.Now()) >= age {
			return false
		}
	}
	return true
}

// collect returns what has changed, and whether anything has.
func (m *Mirror) collect(cursors []*rpc.Cursor) (*rpc.ChangesReply, bool, error) {
	reply := &rpc.ChangesReply{}
	news := false
	now := time.Now()
	for _, c := range cursors {
		t := m.topic(c.GetTopic())
		if t == nil {
			continue
		}
		part, more := t.ChangesSince(feed.Cursor{Revision: c.GetSince(), Digest: c.GetDigest()}, now)
		news = news || more
		copied, err := m.packer.encode(t.Name, part, c.GetSince())
		if err != nil {
			return nil, false, err
		}
		reply.Copies = append(reply.Copies, copied)
	}
	return reply, news, nil
}

func (m *Mirror) topic(name string) *feed.Topic {
	for _, t := range m.Topics {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// pull asks a daemon, and takes in what it says. It reports whether all of it
// is up to date. first says that the daemon reads the store before this one.
func (m *Mirror) pull(ctx context.Context, from Member, first bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+callWait)
	defer cancel()
	r := &rpc.ChangesRequest{Wait: uint32(pullWait.Milliseconds()), From: m.Fleet.Self.Address}
	for _, t := range m.Topics {
		c := t.Cursor()
		r.Cursors = append(r.Cursors, &rpc.Cursor{Topic: t.Name, Since: c.Revision, Digest: c.Digest})
	}
	if !first {
		r.Wait = 0
	}
	reply, err := rpc.NewMirrorProtobufClient("http://"+from.Address, m.client).Changes(ctx, r)
	if err != nil {
		return false, err
	}
	fresh := true
	now := time.Now()
	for _, part := range reply.GetCopies() {
		c, err := decode(part)
		if err != nil {
			return false, err
		}
		fresh = fresh && c.Revision > 0 && c.Age < freshMost
		if t := m.topic(part.GetTopic()); t != nil {
			t.Merge(c, first, now)
		}
	}
	return fresh, nil
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// A follower copies from the daemons that read the store before this one.
type follower struct {
	*Mirror
}

// loop copies until ctx ends.
func (f *follower) loop(ctx context.Context) {
	defer f.duties.Done()
	next := 0
	moved := time.Now()
	for ctx.Err() == nil {
		before := f.Fleet.Before(sources)
		if len(before) == 0 {
			pace.Sleep(ctx, lookWait)
			continue
		}
		if time.Since(moved) > firstBack {
			next = 0
			moved = time.Now()
		}
		fresh, err := f.pull(ctx, before[next%len(before)], true)
		if err == nil && fresh {
			continue
		}
		next++
		moved = time.Now()
		pace.Sleep(ctx, pace.Jitter(pause))
	}
}

// A rescuer asks any daemon while this one's knowledge is too old, and those
// that are known to know more.
type rescuer struct {
	*Mirror
}

// rescueAge is the age of its knowledge from which a daemon asks any other:
// above feed.Stale, so that the store is read first where it can be.
const rescueAge = feed.StaleAge + 500*time.Millisecond

// loop asks until ctx ends.
func (s *rescuer) loop(ctx context.Context) {
	defer s.duties.Done()
	for {
		look := time.NewTimer(pace.Jitter(2 * pause))
		select {
		case <-ctx.Done():
			look.Stop()
			return
		case address := <-s.tips:
			look.Stop()
			s.ask(ctx, Member{Address: address})
		case <-look.C:
			if from, ok := s.Fleet.Other(); ok && s.old(time.Now()) {
				s.ask(ctx, from)
			}
		}
	}
}

// old reports whether the knowledge of a topic is too old.
func (s *rescuer) old(now time.Time) bool {
	for _, t := range s.Topics {
		if t.Age(now) > rescueAge {
			return true
		}
	}
	return false
}

// ask asks a daemon. One that does not answer is one of many: the next look
// asks another one.
func (s *rescuer) ask(ctx context.Context, from Member) {
	_, _ = s.pull(ctx, from, false)
}
