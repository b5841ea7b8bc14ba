// Package feed follows the objects of one kind in a metadata store: by watching
// for changes, and by reading all of them now and then, as a watch can go
// silent without an error. Only a few daemons read the store; the others copy
// what those know.
package feed

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kern"
)

// ErrHistory says that changes since a revision can't be told any more.
var ErrHistory = errors.New("the history since then is gone")

// Stale is the age from which knowledge is no longer relied on: a daemon that
// knows nothing newer asks others, or the store itself.
const Stale = 2 * time.Second

// tombMost is the number of removed objects that are remembered.
const tombMost = 4096

// An Object is one state of one object.
type Object struct {
	Name     string
	Revision uint64 // of its last change
	Gone     bool   // it was removed
	Body     []byte // as stored; empty if Gone
}

// A List is all objects of a kind, or some changes.
type List struct {
	Objects  []Object
	Revision uint64 // of the store when it was read
}

// A Copy is what another daemon knows.
type Copy struct {
	List
	Whole  bool          // Objects are all that there are
	Age    time.Duration // since the daemon knew that this was all
	Digest uint64        // of all that the daemon holds; 0 for a copy that has travelled
}

// A Topic follows one kind. Set the exported fields, then Start.
type Topic struct {
	Name    string
	Every   time.Duration // between two reads of the store by a daemon that reads it
	Read    func(ctx context.Context) (List, error)
	Watch   func(ctx context.Context, since uint64, wait time.Duration) (List, error) // nil for a kind whose changes can wait for the next read
	Rank    func() int                                                                // daemons that read before this one does
	Ranked  func() bool                                                               // whether Rank is known; nil if it always is
	Apply   func(changes []Object)                                                    // takes in what changed, one call at a time
	Found   func()                                                                    // told when knowledge is fresh again after a gap; may be nil
	Changed func()                                                                    // told when other daemons could be told more; may be nil
	Log     *event.Log

	mu     sync.Mutex
	held   map[string]Object
	tombs  map[string]uint64 // revisions of removed objects
	floor  uint64            // removals up to here may be forgotten
	rev    uint64            // complete up to here; 0 before anything is known
	digest uint64            // of the names and revisions held
	asOf   time.Time         // when that was known to be all
	leads  bool              // what is known comes from the store, not from another daemon
	failed time.Time         // since when the store has not answered
	missed int               // reads in a row that failed
	duties kern.Duties
}

// Start starts following.
func (t *Topic) Start(ctx context.Context) error {
	ctx = t.duties.Begin(ctx, 1)
	if t.Watch != nil {
		t.duties.Add()
		go (&watcher{t}).loop(ctx)
	}
	go (&reader{Topic: t, born: time.Now()}).loop(ctx)
	return nil
}

// Stop ends following.
func (t *Topic) Stop(context.Context) error {
	t.duties.End()
	return nil
}

// Revision returns the revision up to which the topic is complete; 0 before
// anything was read.
func (t *Topic) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rev
}

// Age returns the time since the topic was known to be complete.
func (t *Topic) Age(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.asOf)
}

// A Cursor is how far a daemon knows a topic.
type Cursor struct {
	Since  uint64 // revision up to which it is complete; 0 for nothing
	Digest uint64 // of all that it holds
}

// Cursor returns how far the topic is known.
func (t *Topic) Cursor() Cursor {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Cursor{Since: t.rev, Digest: t.digest}
}

// Since returns what another daemon does not know, and whether there is
// anything. A daemon that knows as much and still holds something else has
// missed a change, and gets everything.
func (t *Topic) Since(c Cursor, now time.Time) (Copy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Copy{List: List{Revision: t.rev}, Age: now.Sub(t.asOf), Digest: t.digest}
	if t.rev == 0 || c.Since > t.rev || c.Digest == t.digest && c.Since > 0 {
		return out, false
	}
	out.Whole = c.Since < t.floor || c.Since == t.rev
	for _, o := range t.held {
		if out.Whole || o.Revision > c.Since {
			out.Objects = append(out.Objects, o)
		}
	}
	if out.Whole {
		return out, true
	}
	for name, rev := range t.tombs {
		if rev > c.Since {
			out.Objects = append(out.Objects, Object{Name: name, Revision: rev, Gone: true})
		}
	}
	return out, true
}

// leading reports whether the daemon reads the store for itself.
func (t *Topic) leading() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leads
}

// confirm notes when what is known was known to be all. The mutex is held.
func (t *Topic) confirm(asOf time.Time) {
	if !asOf.After(t.asOf) {
		return
	}
	t.asOf = asOf
	if t.Changed != nil {
		t.Changed()
	}
}

// lost notes a failed call to the store.
func (t *Topic) lost(ctx context.Context, err error) {
	t.mu.Lock()
	first := t.failed.IsZero()
	if first {
		t.failed = time.Now()
	}
	t.mu.Unlock()
	if first && ctx.Err() == nil {
		t.Log.Emit(event.SourceLost, event.Fields{Step: "follow", Class: t.Name, Err: err})
	}
}

// found notes that the store has answered. The mutex is held.
func (t *Topic) found() {
	if t.failed.IsZero() {
		return
	}
	away := time.Since(t.failed)
	t.failed = time.Time{}
	t.Log.Emit(event.SourceFound, event.Fields{Step: "follow", Class: t.Name, Detail: "away for " + away.Round(time.Millisecond).String()})
	if t.Found != nil {
		t.Found()
	}
}

// change takes in some changes from the store.
func (t *Topic) change(l List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.found()
	t.apply(l.Objects, l.Revision)
}

// Merge takes in what another daemon knows. first says that this daemon reads
// the store only when the other one's knowledge is too old.
func (t *Topic) Merge(c Copy, first bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Revision == 0 || c.Revision < t.rev {
		return
	}
	if t.rev > 0 && now.Sub(t.asOf) > 2*Stale && c.Age < Stale && t.Found != nil {
		t.Found()
	}
	if c.Whole {
		t.replace(c.List)
	} else {
		t.apply(c.Objects, c.Revision)
	}
	t.confirm(now.Add(-c.Age))
	if first && c.Age < Stale {
		t.leads = false
		t.failed = time.Time{}
	}
}

// replace takes in all objects. The mutex is held.
func (t *Topic) replace(l List) {
	seen := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		seen[o.Name] = true
	}
	changes := slices.Clone(l.Objects)
	for name, o := range t.held {
		if !seen[name] {
			changes = append(changes, Object{Name: name, Revision: max(o.Revision, l.Revision), Gone: true})
		}
	}
	t.apply(changes, l.Revision)
}

// apply takes in those changes that are news. The mutex is held.
func (t *Topic) apply(changes []Object, rev uint64) {
	if t.held == nil {
		t.held = make(map[string]Object)
		t.tombs = make(map[string]uint64)
	}
	var news []Object
	for _, o := range changes {
		h, known := t.held[o.Name]
		switch {
		case o.Revision < max(h.Revision, t.tombs[o.Name]):
			continue
		case o.Gone && !known, !o.Gone && known && o.Revision == h.Revision:
			continue
		case o.Gone:
			delete(t.held, o.Name)
			t.digest ^= mark(h)
			t.bury(o)
		default:
			if known {
				t.digest ^= mark(h)
			}
			t.digest ^= mark(o)
			delete(t.tombs, o.Name)
			t.held[o.Name] = o
		}
		news = append(news, o)
	}
	first := t.rev == 0
	if first {
		t.floor = rev
	}
	t.rev = max(t.rev, rev)
	if len(news) == 0 && !first {
		return
	}
	t.Apply(news)
	if t.Changed != nil {
		t.Changed()
	}
}

// mark returns an object's part of a digest.
func mark(o Object) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], o.Revision)
	return xxhash.Sum64(append(b[:], o.Name...))
}

// bury remembers a removed object, so that other daemons can be told.
func (t *Topic) bury(o Object) {
	if len(t.tombs) >= tombMost {
		t.floor = t.rev
		clear(t.tombs)
	}
	t.tombs[o.Name] = o.Revision
}
