package conf

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/pace"
	"bronzedoor.dev/bronzedoor/internal/ring"
)

// Times of a follower.
const (
	WatchWait  = 10 * time.Second       // a watch waits so long for a change
	pollOften  = time.Second            // between two reads beside a watch, which may stall in silence
	pollRarely = time.Minute            // between two reads by a daemon that does not watch
	retryFirst = 100 * time.Millisecond // after a failed read, doubled up to retryMost
	retryMost  = 10 * time.Second
	pullWait   = 2 * time.Second // for one read from a peer
)

// PageSize is the number of objects in one page.
const PageSize = 1000

// A Page is some objects in the order of their revisions.
type Page struct {
	Objects  []object.Object
	Revision uint64 // complete up to here
	More     bool   // a further page exists
}

// A Hint says that a peer has a newer configuration.
type Hint struct {
	Peer     string // identity
	Revision uint64
}

// A Follower keeps a Book up to date from the store and from peers. Set the
// exported fields and call Init, then Start.
type Follower struct {
	Book     *Book
	Watch    func(ctx context.Context, since uint64, wait time.Duration) (Page, error)
	Fetch    func(ctx context.Context, peer string, since uint64) (Page, error)
	Watcher  func() bool      // whether this daemon holds a watch; nil means always
	Advanced func(rev uint64) // told when the book has moved on; may be nil
	Log      *event.Log

	hints  *ring.Ring[Hint]
	duties kern.Group
}

// hintRing is the number of hints that may wait; the newest matter most.
const hintRing = 16

// Init makes the follower ready for hints.
func (f *Follower) Init() {
	f.hints = ring.New[Hint](hintRing)
}

// Start starts following.
func (f *Follower) Start(ctx context.Context) error {
	ctx = f.duties.Begin(ctx, 3)
	go f.loop(ctx)
	go (&poller{f}).loop(ctx)
	go (&puller{f}).loop(ctx)
	return nil
}

// Stop ends following.
func (f *Follower) Stop(context.Context) error {
	f.duties.Stop()
	return nil
}

// Newer takes in that a peer has a newer configuration.
func (f *Follower) Newer(peer string, rev uint64) {
	f.hints.Put(Hint{Peer: peer, Revision: rev})
}

// loop reads from the store until ctx ends.
func (f *Follower) loop(ctx context.Context) {
	defer f.duties.Done()
	retry := retryFirst
	for ctx.Err() == nil {
		more, err := f.read(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			f.Log.Emit(event.WatchFailed, event.Fields{Step: "watch", Err: err})
			pace.Sleep(ctx, pace.Jitter(retry))
			retry = min(2*retry, retryMost)
			continue
		case !more && !f.watches() && f.Book.Revision() > 0:
			f.idle(ctx)
		}
		retry = retryFirst
	}
}

// A poller reads from the store beside the watch.
type poller struct {
	*Follower
}

// loop reads without waiting until ctx ends. Failures are the watch's to report.
func (f *poller) loop(ctx context.Context) {
	defer f.duties.Done()
	for ctx.Err() == nil {
		pace.Sleep(ctx, pace.Jitter(pollOften))
		if !f.watches() || f.Book.Revision() == 0 || ctx.Err() != nil {
			continue
		}
		if p, err := f.Watch(ctx, f.Book.Revision(), 0); err == nil {
			f.apply(p, "store")
		}
	}
}

func (f *Follower) watches() bool {
	return f.Watcher == nil || f.Watcher()
}

// idle waits until it is time to read again without a watch, or until this
// daemon becomes a watcher.
func (f *Follower) idle(ctx context.Context) {
	end := time.Now().Add(pace.Jitter(pollRarely))
	for ctx.Err() == nil && time.Now().Before(end) && !f.watches() {
		pace.Sleep(ctx, time.Second)
	}
}

func (f *Follower) read(ctx context.Context) (bool, error) {
	var wait time.Duration
	since := f.Book.Revision()
	if f.watches() && since > 0 {
		wait = WatchWait
	}
	p, err := f.Watch(ctx, since, wait)
	if err != nil {
		return false, err
	}
	f.apply(p, "store")
	if since == 0 && len(p.Objects) == 0 {
		// The store is empty, or too old to serve: don't ask without a pause.
		pace.Sleep(ctx, retryFirst)
	}
	return p.More, nil
}

func (f *Follower) apply(p Page, from string) {
	before := f.Book.Revision()
	for _, r := range f.Book.Apply(p.Objects, p.Revision) {
		f.Log.Emit(event.ObjectRejected, event.Fields{
			Step:   "apply",
			Peer:   from,
			Detail: string(r.Kind) + " " + r.Name + ": " + r.Faults[0].String(),
		})
	}
	if now := f.Book.Revision(); now > before && f.Advanced != nil {
		f.Advanced(now)
	}
}

// A puller reads from the peers that are ahead.
type puller struct {
	*Follower
}

// loop reads from peers until ctx ends.
func (f *puller) loop(ctx context.Context) {
	defer f.duties.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.hints.Ready():
			for _, h := range f.hints.Take() {
				f.pull(ctx, h)
			}
		}
	}
}

func (f *Follower) pull(ctx context.Context, h Hint) {
	for ctx.Err() == nil && f.Book.Revision() < h.Revision {
		call, cancel := context.WithTimeout(ctx, pullWait)
		p, err := f.Fetch(call, h.Peer, f.Book.Revision())
		cancel()
		if err == nil && p.Revision <= f.Book.Revision() {
			err = fault.New("pull", h.Peer, "peer is at revision %d, said %d", p.Revision, h.Revision)
		}
		if err != nil {
			f.Log.Emit(event.FetchFailed, event.Fields{Step: "pull", Peer: h.Peer, Err: err})
			return
		}
		f.apply(p, h.Peer)
	}
}
