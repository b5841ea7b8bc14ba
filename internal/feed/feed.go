// Package feed follows the objects of one kind in a metadata store: by watching
// for changes, and by reading all of them now and then, as a watch can go
// silent without an error.
package feed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/pace"
)

// ErrHistory says that changes since a revision can't be told any more.
var ErrHistory = errors.New("the history since then is gone")

// Times of a topic.
const (
	WatchWait  = 10 * time.Second       // a watch waits so long for a change
	retryFirst = 100 * time.Millisecond // after a failed call, doubled up to retryMost
	retryMost  = 800 * time.Millisecond // so that a store's return is noticed within a second
)

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

// A Topic follows one kind. Set the exported fields, then Start.
type Topic struct {
	Name  string
	Every time.Duration // between two reads of everything; above 0
	Read  func(ctx context.Context) (List, error)
	Watch func(ctx context.Context, since uint64, wait time.Duration) (List, error)
	Apply func(changes []Object) // takes in what changed, one call at a time
	Found func()                 // told when the store is back; may be nil
	Log   *event.Log

	mu     sync.Mutex
	held   map[string]Object
	rev    uint64 // complete up to here; 0 before the first read
	failed time.Time
	duties kern.Duties
}

// Start starts following.
func (t *Topic) Start(ctx context.Context) error {
	ctx = t.duties.Begin(ctx, 2)
	go (&watcher{t}).loop(ctx)
	go (&reader{t}).loop(ctx)
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

// Objects returns what the topic holds, by name.
func (t *Topic) Objects() []Object {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Object, 0, len(t.held))
	for _, name := range slices.Sorted(maps.Keys(t.held)) {
		out = append(out, t.held[name])
	}
	return out
}

// A watcher waits for changes.
type watcher struct {
	*Topic
}

// loop watches until ctx ends.
func (t *watcher) loop(ctx context.Context) {
	defer t.duties.Done()
	retry := retryFirst
	for ctx.Err() == nil {
		since := t.Revision()
		if since == 0 {
			// The reader brings the first revision.
			pace.Sleep(ctx, retryFirst)
			continue
		}
		l, err := t.Watch(ctx, since, WatchWait)
		switch {
		case err == nil:
			t.change(l)
			retry = retryFirst
			continue
		case errors.Is(err, ErrHistory):
			err = t.readAll(ctx)
		}
		if err != nil {
			t.lost(ctx, err)
			pace.Sleep(ctx, pace.Jitter(retry))
			retry = min(2*retry, retryMost)
		}
	}
}

// A reader reads everything now and then.
type reader struct {
	*Topic
}

// loop reads until ctx ends.
func (t *reader) loop(ctx context.Context) {
	defer t.duties.Done()
	retry := retryFirst
	for ctx.Err() == nil {
		if err := t.readAll(ctx); err != nil {
			t.lost(ctx, err)
			pace.Sleep(ctx, pace.Jitter(retry))
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryFirst
		pace.Sleep(ctx, t.Every-t.Every/8+pace.Jitter(t.Every/8))
	}
}

func (t *Topic) readAll(ctx context.Context) error {
	l, err := t.Read(ctx)
	if err != nil {
		return err
	}
	t.Replace(l)
	return nil
}

// lost notes a failed call.
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

// Replace takes in all objects. A list older than what is known is ignored.
func (t *Topic) Replace(l List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.found()
	if l.Revision < t.rev {
		return
	}
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

// change takes in some changes.
func (t *Topic) change(l List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.found()
	t.apply(l.Objects, l.Revision)
}

// apply takes in those changes that are news. The mutex is held.
func (t *Topic) apply(changes []Object, rev uint64) {
	if t.held == nil {
		t.held = make(map[string]Object)
	}
	var news []Object
	for _, o := range changes {
		h, known := t.held[o.Name]
		switch {
		case o.Revision < h.Revision, known && !o.Gone && o.Revision == h.Revision, o.Gone && !known:
			continue
		case o.Gone:
			delete(t.held, o.Name)
		default:
			t.held[o.Name] = o
		}
		news = append(news, o)
	}
	first := t.rev == 0
	t.rev = max(t.rev, rev)
	if len(news) > 0 || first {
		t.Apply(news)
	}
}
