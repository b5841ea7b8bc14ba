package conf

import (
	"context"
	"errors"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/ring"
)

// Intervals and timeouts of a Follower.
const (
	WatchTimeout      = 10 * time.Second       // time that a watch waits for a change
	pollInterval      = time.Second            // between two reads beside a watch, as a watch may stall without an error
	unwatchedInterval = time.Minute            // between two reads by a daemon without a watch
	minRetryDelay     = 100 * time.Millisecond // after a failed read; doubled with each failure, up to maxRetryDelay
	maxRetryDelay     = 10 * time.Second
	fetchTimeout      = 2 * time.Second // for one read from a peer
)

// restoreHold is how long a configuration stays in force after the store has come back
// from an older copy, until operators have written again what the copy lacks.
const restoreHold = 2 * time.Second

// ErrRestored is returned by Follower.Watch when the store was restored from an older
// copy after the requested revision.
var ErrRestored = errors.New("store was restored from an older copy")

// PageSize is the maximum number of objects in a page.
const PageSize = 1000

// A Page is one part of a list of changed objects, in the order of their revisions.
type Page struct {
	Objects  []object.Object
	Revision uint64 // the objects are complete up to this revision
	More     bool   // there is a further page
}

// A Hint tells that a peer has a newer configuration.
type Hint struct {
	Peer     string // identity
	Revision uint64 // that the peer has in force
}

// A Follower keeps a Config up to date from the store and from peers. Set the
// exported fields and call Init, then Start.
//
// Watch reads the changes after revision since from the store. If there are none,
// it waits for one up to the given time; with a wait of 0 it returns at once.
// Fetch reads the changes from a peer.
type Follower struct {
	Config     *Config
	Watch      func(ctx context.Context, since uint64, wait time.Duration) (Page, error)
	Fetch      func(ctx context.Context, peer string, since uint64) (Page, error)
	HoldsWatch func() bool      // reports whether this daemon watches the store; nil means always
	OnAdvance  func(rev uint64) // called after the configuration has advanced to rev; may be nil
	Log        *event.Log

	relisting  sync.Mutex // held while the store is listed anew after a restore
	hints      *ring.Ring[Hint]
	goroutines kernel.Group
}

// maxHints is the number of queued hints. When it is exceeded the oldest is
// dropped, as the newest matter most.
const maxHints = 16

// Init prepares the follower, so that AddHint may be called before Start.
func (f *Follower) Init() {
	f.hints = ring.New[Hint](maxHints)
}

// Start starts to follow the store and the peers. It always returns nil.
func (f *Follower) Start(ctx context.Context) error {
	ctx = f.goroutines.Begin(ctx, 3)
	go f.loop(ctx)
	go (&poller{f}).loop(ctx)
	go (&fetcher{f}).loop(ctx)
	return nil
}

// Stop stops following and waits until all goroutines have returned.
func (f *Follower) Stop(context.Context) error {
	f.goroutines.Stop()
	return nil
}

// AddHint tells the follower that a peer has revision rev in force. If that is
// newer, the follower reads from the peer. It does not block.
func (f *Follower) AddHint(peer string, rev uint64) {
	f.hints.Put(Hint{Peer: peer, Revision: rev})
}

// loop reads from the store until ctx ends: by a watch if the daemon holds one,
// else at intervals.
func (f *Follower) loop(ctx context.Context) {
	defer f.goroutines.Done()
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		more, err := f.readStore(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			f.Log.Emit(event.WatchFailed, event.Fields{Step: "watch", Err: err})
			delay.Sleep(ctx, delay.Jitter(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		case !more && !f.holdsWatch() && f.Config.Revision() > 0:
			f.waitWithoutWatch(ctx)
		}
		retryDelay = minRetryDelay
	}
}

// A poller reads from the store beside the watch, in case the watch stalls.
type poller struct {
	*Follower
}

// loop reads from the store at intervals until ctx ends. It ignores errors, as the
// watch reports them.
func (f *poller) loop(ctx context.Context) {
	defer f.goroutines.Done()
	for ctx.Err() == nil {
		delay.Sleep(ctx, delay.Jitter(pollInterval))
		if !f.holdsWatch() || f.Config.Revision() == 0 || ctx.Err() != nil {
			continue
		}
		since := f.Config.Revision()
		p, err := f.Watch(ctx, since, 0)
		switch {
		case err == nil:
			f.apply(p, "store")
		case errors.Is(err, ErrRestored):
			// If it fails, the next round tries again.
			_ = f.relist(ctx, since)
		}
	}
}

// relist reads all objects, after restoreHold, and replaces the configuration by them.
// before is the revision that the store has lost. Another goroutine may have done so
// meanwhile.
func (f *Follower) relist(ctx context.Context, before uint64) error {
	f.relisting.Lock()
	defer f.relisting.Unlock()
	if f.Config.Revision() != before {
		return nil
	}
	f.Log.Emit(event.StoreRestored, event.Fields{Step: "watch", Detail: "after revision " + feed.Revision(before).String()})
	delay.Sleep(ctx, restoreHold)
	var all Page
	for all.More = true; all.More; {
		p, err := f.Watch(ctx, all.Revision, 0)
		if err != nil {
			return err
		}
		all = Page{Objects: append(all.Objects, p.Objects...), Revision: p.Revision, More: p.More}
	}
	f.logRejections(f.Config.Replace(all.Objects, all.Revision), "store")
	f.advanced(before)
	return nil
}

func (f *Follower) holdsWatch() bool {
	return f.HoldsWatch == nil || f.HoldsWatch()
}

// waitWithoutWatch waits until the next read of a daemon without a watch is due,
// or until the daemon gets a watch.
func (f *Follower) waitWithoutWatch(ctx context.Context) {
	end := time.Now().Add(delay.Jitter(unwatchedInterval))
	for ctx.Err() == nil && time.Now().Before(end) && !f.holdsWatch() {
		delay.Sleep(ctx, time.Second)
	}
}

// readStore reads one page from the store, by a watch if the daemon holds one. It
// reports whether there is a further page.
func (f *Follower) readStore(ctx context.Context) (bool, error) {
	var wait time.Duration
	since := f.Config.Revision()
	if f.holdsWatch() && since > 0 {
		wait = WatchTimeout
	}
	p, err := f.Watch(ctx, since, wait)
	if errors.Is(err, ErrRestored) {
		return false, f.relist(ctx, since)
	}
	if err != nil {
		return false, err
	}
	f.apply(p, "store")
	if since == 0 && len(p.Objects) == 0 {
		// The store is empty, or too stale to serve. Pause, so as not to read in a
		// tight loop.
		delay.Sleep(ctx, minRetryDelay)
	}
	return p.More, nil
}

// apply applies a page, logs the objects that were rejected and calls OnAdvance.
// from is the peer that the page came from, or "store".
func (f *Follower) apply(p Page, from string) {
	before := f.Config.Revision()
	f.logRejections(f.Config.Apply(p.Objects, p.Revision), from)
	f.advanced(before)
}

// logRejections logs objects that were rejected.
func (f *Follower) logRejections(rejections []Rejection, from string) {
	for _, r := range rejections {
		f.Log.Emit(event.ObjectRejected, event.Fields{
			Step:   "apply",
			Peer:   from,
			Detail: string(r.Kind) + " " + r.Name + ": " + r.Faults[0].String(),
		})
	}
}

// advanced calls OnAdvance if the configuration is later than before.
func (f *Follower) advanced(before uint64) {
	if now := f.Config.Revision(); now > before && f.OnAdvance != nil {
		f.OnAdvance(now)
	}
}

// A fetcher reads from peers that have a newer configuration.
type fetcher struct {
	*Follower
}

// loop handles hints until ctx ends.
func (f *fetcher) loop(ctx context.Context) {
	defer f.goroutines.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.hints.Ready():
			for _, h := range f.hints.Take() {
				f.fetch(ctx, h)
			}
		}
	}
}

// fetch reads from a peer until the configuration has reached the revision in the
// hint. It gives up if a read fails or brings nothing new.
func (f *Follower) fetch(ctx context.Context, h Hint) {
	for ctx.Err() == nil && f.Config.Revision() < h.Revision {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		p, err := f.Fetch(fetchCtx, h.Peer, f.Config.Revision())
		cancel()
		if err == nil && p.Revision <= f.Config.Revision() {
			err = fault.New("pull", h.Peer, "peer returned revision %d after it announced %d", p.Revision, h.Revision)
		}
		if err != nil {
			f.Log.Emit(event.FetchFailed, event.Fields{Step: "pull", Peer: h.Peer, Err: err})
			return
		}
		f.apply(p, h.Peer)
	}
}
