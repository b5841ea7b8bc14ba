package server

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/mirror"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// Kinds of objects in a fakeStore.
const (
	kindRoutes = iota
	kindUpstreams
	kindDomains
	kindMembers
	kindCount
)

// errUnavailable is returned for each call that a fakeStore does not serve.
var errUnavailable = errors.New("store unavailable")

// storeLatency is the time that one call takes.
const storeLatency = 4 * time.Millisecond

// A fakeStore is an in-memory metadata store with a limited rate of calls, whose
// faults a test sets. It keeps objects by kind and supports watches.
type fakeStore struct {
	maxRate int // calls served per second; calls above it fail

	mu            sync.Mutex
	rev           feed.Revision
	objects       [kindCount]map[string]feed.Object
	compacted     feed.Revision // changes up to this revision can no longer be watched
	changed       chan struct{} // closed and replaced at each change
	unavailable   bool
	delay         time.Duration   // added to each call
	rejected      map[string]bool // names of the daemons whose calls fail
	windowStart   time.Time
	calls         int // in the second from windowStart
	rejectedCalls int // calls above maxRate
}

func newFakeStore(rate int) *fakeStore {
	s := &fakeStore{maxRate: rate, rev: 1, changed: make(chan struct{})}
	for i := range s.objects {
		s.objects[i] = make(map[string]feed.Object)
	}
	s.clearFaults()
	return s
}

// put stores an object. A nil value removes it.
func (s *fakeStore) put(kind int, name string, value any) {
	o := feed.Object{Name: name, Deleted: value == nil}
	if value != nil {
		b, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		o.Body = b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	o.Revision = s.rev
	s.objects[kind][name] = o
	close(s.changed)
	s.changed = make(chan struct{})
}

// has reports whether an object is stored.
func (s *fakeStore) has(kind int, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return ok && !o.Deleted
}

// clearFaults ends all faults.
func (s *fakeStore) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = false
	s.delay = 0
	s.rejected = make(map[string]bool)
}

// setFaults replaces the current faults: whether all calls fail, the delay of each
// call, and the daemons whose calls fail.
func (s *fakeStore) setFaults(unavailable bool, delay time.Duration, rejected ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.delay = delay
	s.rejected = make(map[string]bool)
	for _, name := range rejected {
		s.rejected[name] = true
	}
}

// compact drops the history of changes, so that a watch from an older revision
// fails with feed.ErrCompacted.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.rev
}

// call takes the time of one call, and returns an error if the call is above the
// rate or fails because of a fault.
func (s *fakeStore) call(ctx context.Context, from string) error {
	s.mu.Lock()
	now := time.Now()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		s.calls = 0
	}
	s.calls++
	overRate := s.calls > s.maxRate
	if overRate {
		s.rejectedCalls++
	}
	unavailable, delay := s.unavailable, s.delay
	rejected := s.rejected[from]
	s.mu.Unlock()
	select {
	case <-time.After(storeLatency + delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if overRate || unavailable || rejected {
		return errUnavailable
	}
	return nil
}

// read returns all objects of a kind.
func (s *fakeStore) read(ctx context.Context, from string, kind int) (feed.List, error) {
	if err := s.call(ctx, from); err != nil {
		return feed.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := feed.List{Revision: s.rev}
	for _, o := range s.objects[kind] {
		if !o.Deleted {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, nil
}

// watch waits until there are changes of a kind after revision since, and returns
// them. It returns an empty list if there are none within wait.
func (s *fakeStore) watch(ctx context.Context, from string, kind int, since feed.Revision, wait time.Duration) (feed.List, error) {
	if err := s.call(ctx, from); err != nil {
		return feed.List{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, changed, err := s.changesSince(kind, since)
		if err != nil || len(out.Objects) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return feed.List{}, ctx.Err()
		}
	}
}

func (s *fakeStore) changesSince(kind int, since feed.Revision) (feed.List, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return feed.List{}, nil, errUnavailable
	}
	if since < s.compacted {
		return feed.List{}, nil, feed.ErrCompacted
	}
	out := feed.List{Revision: s.rev}
	for _, o := range s.objects[kind] {
		if o.Revision > since {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, s.changed, nil
}

// newCollection returns the collection of one kind for the daemon called from.
func newCollection[T any](s *fakeStore, from string, kind int) Collection[T] {
	return Collection[T]{
		Read: func(ctx context.Context) (feed.List, error) { return s.read(ctx, from, kind) },
		Watch: func(ctx context.Context, since feed.Revision, wait time.Duration) (feed.List, error) {
			return s.watch(ctx, from, kind, since, wait)
		},
		Decode: func(o feed.Object) (T, error) {
			var v T
			err := json.Unmarshal(o.Body, &v)
			return v, err
		},
	}
}

// source returns the Source for the daemon called from.
func (s *fakeStore) source(from string) *Source {
	routes := newCollection[*route.Table](s, from, kindRoutes)
	decode := routes.Decode
	routes.Decode = func(o feed.Object) (*route.Table, error) {
		t, err := decode(o)
		if err != nil {
			return nil, err
		}
		return route.New(*t), nil
	}
	members := newCollection[mirror.Member](s, from, kindMembers)
	members.Watch = nil
	return &Source{
		Routes:          routes,
		Upstreams:       newCollection[roster.Upstream](s, from, kindUpstreams),
		ExcludedDomains: newCollection[string](s, from, kindDomains),
		Members:         members,
		PutMember: func(ctx context.Context, self mirror.Member, _ int) (bool, error) {
			if err := s.call(ctx, from); err != nil {
				return false, err
			}
			existed := s.has(kindMembers, self.Name)
			s.put(kindMembers, self.Name, self)
			return existed, nil
		},
		RemoveMember: func(ctx context.Context, name string, _ feed.Revision) error {
			if err := s.call(ctx, from); err != nil {
				return err
			}
			s.put(kindMembers, name, nil)
			return nil
		},
	}
}
