// Package mirror replicates the contents of the metadata store from daemon to
// daemon. The daemons share a fixed order. The first one reads the store. Each
// of the others keeps a long poll open to the first of its failure domain or
// region, or to the next of a few that answers and is up to date. A daemon that
// the store rejects fetches from any peer.
package mirror

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/mirror/rpc"
)

// Timing of replication.
const (
	longPoll    = 1500 * time.Millisecond // how long a call waits for a change
	fetchSlack  = 600 * time.Millisecond  // further time for the answer before the call fails
	dialTimeout = 300 * time.Millisecond  // for a connection to a peer
	idleDelay   = 20 * time.Millisecond   // between two checks for a source, while there is none
	retryDelay  = 100 * time.Millisecond  // after a source that failed or was not up to date
	sourceReset = 5 * time.Second         // after which the preferred source is tried again
	maxCopyAge  = 1600 * time.Millisecond // a source whose copy is older is not up to date
)

// maxSources bounds the sources that a daemon tries in turn.
const maxSources = 3

// A Mirror replicates topics: it serves their contents to peers and merges what
// peers return. Set the exported fields, then call Init and Start.
type Mirror struct {
	Fleet  *Fleet
	Topics []*feed.Topic
	Dial   func(ctx context.Context, address string) (net.Conn, error) // connects to the IP:PORT of a peer

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change
	ahead      chan string   // address of a peer with newer revisions; holds one, as others call again
	client     *http.Client
	packer     packer
	goroutines kernel.Group
}

// Init prepares the mirror. It must be called before any other method.
func (m *Mirror) Init() {
	m.changed = make(chan struct{})
	m.ahead = make(chan string, 1)
	m.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return m.Dial(ctx, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     sourceReset,
	}}
}

// Start starts replication in the background. It always returns nil.
func (m *Mirror) Start(ctx context.Context) error {
	ctx = m.goroutines.Begin(ctx, 2)
	go (&follower{m}).loop(ctx)
	go (&fallback{m}).loop(ctx)
	return nil
}

// Stop ends replication and closes idle connections. It always returns nil.
func (m *Mirror) Stop(context.Context) error {
	m.goroutines.Stop()
	m.client.CloseIdleConnections()
	return nil
}

// Wake wakes the calls of peers that wait for a change.
func (m *Mirror) Wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed at the next change.
func (m *Mirror) changeSignal() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Handler returns the handler of the replication service for peers.
func (m *Mirror) Handler() http.Handler {
	next := rpc.NewMirrorServer(m)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, r.RemoteAddr)))
	})
}

// callerKey is the context key of the remote address of a call, a string.
type callerKey struct{}

// isCaller reports whether address, IP:PORT, is on the host that made the call of ctx.
func isCaller(ctx context.Context, address string) bool {
	remote, _ := ctx.Value(callerKey{}).(string)
	callerHost, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	host, _, err := net.SplitHostPort(address)
	return err == nil && host == callerHost
}

// Changes returns what changed in the requested topics after the given cursors.
// It waits for a change, up to the requested time, or until all topics are
// confirmed to be complete as of a time after the call began: otherwise the age
// of a copy would grow at each hop. If a topic is older than fallbackAge here
// and the calling daemon has a newer revision of it, the call returns at once,
// and this daemon fetches from that one, if the address it gives is its own.
func (m *Mirror) Changes(ctx context.Context, r *rpc.ChangesRequest) (*rpc.ChangesReply, error) {
	timer := time.NewTimer(min(time.Duration(r.GetWait())*time.Millisecond, longPoll))
	defer timer.Stop()
	start := time.Now()
	if m.behind(r.GetCursors(), start) {
		if isCaller(ctx, r.GetFrom()) {
			m.noteAhead(r.GetFrom())
		}
		reply, _, err := m.collect(r.GetCursors())
		return reply, err
	}
	for {
		changed := m.changeSignal()
		reply, found, err := m.collect(r.GetCursors())
		if err != nil {
			return nil, err
		}
		if found || m.confirmedSince(start) {
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

// behind reports whether a topic is older than fallbackAge here and the sender
// of the cursors has a newer revision of it.
func (m *Mirror) behind(cursors []*rpc.Cursor, now time.Time) bool {
	for _, c := range cursors {
		t := m.topic(c.GetTopic())
		if t != nil && feed.Revision(c.GetSince()) > t.Revision() && t.Age(now) > fallbackAge {
			return true
		}
	}
	return false
}

// noteAhead records the address of a peer to fetch from.
func (m *Mirror) noteAhead(address string) {
	select {
	case m.ahead <- address:
	default:
	}
}

// confirmedSince reports whether all topics are complete as of a time after
// start.
func (m *Mirror) confirmedSince(start time.Time) bool {
	age := time.Since(start)
	for _, t := range m.Topics {
		if t.Age(time.Now()) >= age {
			return false
		}
	}
	return true
}

// collect returns what changed in each topic after its cursor, and whether
// anything did. Unknown topics are left out.
func (m *Mirror) collect(cursors []*rpc.Cursor) (*rpc.ChangesReply, bool, error) {
	reply := &rpc.ChangesReply{}
	found := false
	now := time.Now()
	for _, c := range cursors {
		t := m.topic(c.GetTopic())
		if t == nil {
			continue
		}
		changes, changed := t.ChangesSince(feed.Cursor{Revision: feed.Revision(c.GetSince()), Digest: c.GetDigest()}, now)
		found = found || changed
		msg, err := m.packer.encode(t.Name, changes, c.GetSince())
		if err != nil {
			return nil, false, err
		}
		reply.Copies = append(reply.Copies, msg)
	}
	return reply, found, nil
}

func (m *Mirror) topic(name string) *feed.Topic {
	for _, t := range m.Topics {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// fetch requests the changes of all topics from a peer and merges them. It
// reports whether all copies are up to date. precedes says that the peer comes
// before this daemon in the replication order; only then may the peer wait for
// a change before it answers.
func (m *Mirror) fetch(ctx context.Context, source Member, precedes bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, longPoll+fetchSlack)
	defer cancel()
	r := &rpc.ChangesRequest{Wait: uint32(longPoll.Milliseconds()), From: m.Fleet.Self.Address}
	for _, t := range m.Topics {
		c := t.Cursor()
		r.Cursors = append(r.Cursors, &rpc.Cursor{Topic: t.Name, Since: uint64(c.Revision), Digest: c.Digest})
	}
	if !precedes {
		r.Wait = 0
	}
	reply, err := rpc.NewMirrorProtobufClient("http://"+source.Address, m.client).Changes(ctx, r)
	if err != nil {
		return false, err
	}
	fresh := true
	now := time.Now()
	for _, msg := range reply.GetCopies() {
		c, err := decode(msg)
		if err != nil {
			return false, err
		}
		fresh = fresh && c.Revision > 0 && c.Age < maxCopyAge
		if t := m.topic(msg.GetTopic()); t != nil {
			t.Merge(c, precedes, now)
		}
	}
	return fresh, nil
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// A follower replicates from the sources of this daemon, which come before it
// in the replication order.
type follower struct {
	*Mirror
}

// loop fetches until ctx ends. It moves on to the next source when one fails or
// is not up to date, and goes back to the preferred one after sourceReset.
func (f *follower) loop(ctx context.Context) {
	defer f.goroutines.Done()
	i := 0
	switched := time.Now()
	for ctx.Err() == nil {
		sources := f.Fleet.Sources(maxSources)
		if len(sources) == 0 {
			delay.Sleep(ctx, idleDelay)
			continue
		}
		if time.Since(switched) > sourceReset {
			i = 0
			switched = time.Now()
		}
		fresh, err := f.fetch(ctx, sources[i%len(sources)], true)
		if err == nil && fresh {
			continue
		}
		i++
		switched = time.Now()
		delay.Sleep(ctx, delay.Jitter(retryDelay))
	}
}

// A fallback fetches from any peer while a topic is older than fallbackAge, and
// from peers that are known to have newer revisions.
type fallback struct {
	*Mirror
}

// fallbackAge is the age of a topic above which a daemon fetches from any peer.
// It is above feed.StaleAge, so that a daemon that can reach the store reads that
// first.
const fallbackAge = feed.StaleAge + 500*time.Millisecond

// loop fetches when needed until ctx ends.
func (f *fallback) loop(ctx context.Context) {
	defer f.goroutines.Done()
	for {
		timer := time.NewTimer(delay.Jitter(2 * retryDelay))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case address := <-f.ahead:
			timer.Stop()
			f.tryFetch(ctx, Member{Address: address})
		case <-timer.C:
			if peer, ok := f.Fleet.RandomPeer(); ok && f.stale(time.Now()) {
				f.tryFetch(ctx, peer)
			}
		}
	}
}

// stale reports whether a topic is older than fallbackAge.
func (f *fallback) stale(now time.Time) bool {
	for _, t := range f.Topics {
		if t.Age(now) > fallbackAge {
			return true
		}
	}
	return false
}

// tryFetch fetches from a peer and ignores errors: the next round picks another
// peer of many.
func (f *fallback) tryFetch(ctx context.Context, peer Member) {
	_, _ = f.fetch(ctx, peer, false)
}
