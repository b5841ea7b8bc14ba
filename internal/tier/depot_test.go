package tier

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

// Kinds of objects in a depot.
const (
	depotRoutes = iota
	depotRoster
	depotDomains
	depotMembers
	depotKinds
)

// errAway is what a depot says that does not serve.
var errAway = errors.New("the store is away")

// depotWait is the time of one call.
const depotWait = 4 * time.Millisecond

// A depot is a stand-in for the metadata store: it keeps objects by kind, tells
// of changes, and bears so many calls a second.
type depot struct {
	rate int // calls that it bears in a second

	mu      sync.Mutex
	rev     uint64
	kinds   [depotKinds]map[string]feed.Object
	floor   uint64        // changes up to here are forgotten
	changed chan struct{} // closed with each change
	away    bool
	slow    time.Duration   // added to each call
	refuses map[string]bool // daemons that it turns away
	second  time.Time
	calls   int // in that second
	over    int // calls that were turned away as there were too many
}

func newDepot(rate int) *depot {
	s := &depot{rate: rate, rev: 1, changed: make(chan struct{})}
	for i := range s.kinds {
		s.kinds[i] = make(map[string]feed.Object)
	}
	s.heal()
	return s
}

// put stores an object; nil removes it.
func (s *depot) put(kind int, name string, value any) {
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
	s.kinds[kind][name] = o
	close(s.changed)
	s.changed = make(chan struct{})
}

// heal takes all faults back.
func (s *depot) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.slow = 0
	s.refuses = make(map[string]bool)
}

// fail brings a fault about.
func (s *depot) fail(away bool, slow time.Duration, refuses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.slow = slow
	s.refuses = make(map[string]bool)
	for _, name := range refuses {
		s.refuses[name] = true
	}
}

// forget drops the history of changes.
func (s *depot) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.rev
}

// call lets a daemon's call in, or turns it away.
func (s *depot) call(ctx context.Context, from string) error {
	s.mu.Lock()
	now := time.Now()
	if now.Sub(s.second) >= time.Second {
		s.second = now
		s.calls = 0
	}
	s.calls++
	many := s.calls > s.rate
	if many {
		s.over++
	}
	away, slow := s.away, s.slow
	refused := s.refuses[from]
	s.mu.Unlock()
	select {
	case <-time.After(depotWait + slow):
	case <-ctx.Done():
		return ctx.Err()
	}
	if many || away || refused {
		return errAway
	}
	return nil
}

// read returns all objects of a kind.
func (s *depot) read(ctx context.Context, from string, kind int) (feed.List, error) {
	if err := s.call(ctx, from); err != nil {
		return feed.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := feed.List{Revision: s.rev}
	for _, o := range s.kinds[kind] {
		if !o.Deleted {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, nil
}

// watch returns changes of a kind after a revision, once there are some.
func (s *depot) watch(ctx context.Context, from string, kind int, since uint64, wait time.Duration) (feed.List, error) {
	if err := s.call(ctx, from); err != nil {
		return feed.List{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, changed, err := s.since(kind, since)
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

func (s *depot) since(kind int, since uint64) (feed.List, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return feed.List{}, nil, errAway
	}
	if since < s.floor {
		return feed.List{}, nil, feed.ErrCompacted
	}
	out := feed.List{Revision: s.rev}
	for _, o := range s.kinds[kind] {
		if o.Revision > since {
			out.Objects = append(out.Objects, o)
		}
	}
	return out, s.changed, nil
}

// depotKind returns how a daemon follows one kind of objects.
func depotKind[T any](s *depot, from string, kind int) Kind[T] {
	return Kind[T]{
		Read: func(ctx context.Context) (feed.List, error) { return s.read(ctx, from, kind) },
		Watch: func(ctx context.Context, since uint64, wait time.Duration) (feed.List, error) {
			return s.watch(ctx, from, kind, since, wait)
		},
		Decode: func(o feed.Object) (T, error) {
			var v T
			err := json.Unmarshal(o.Body, &v)
			return v, err
		},
	}
}

// source returns how a daemon reaches the depot.
func (s *depot) source(from string) *Source {
	tables := depotKind[*route.Table](s, from, depotRoutes)
	plain := tables.Decode
	tables.Decode = func(o feed.Object) (*route.Table, error) {
		t, err := plain(o)
		if err != nil {
			return nil, err
		}
		return route.New(*t), nil
	}
	members := depotKind[mirror.Member](s, from, depotMembers)
	members.Watch = nil
	return &Source{
		Routes:  tables,
		Roster:  depotKind[roster.Upstream](s, from, depotRoster),
		Domains: depotKind[string](s, from, depotDomains),
		Members: members,
		Join: func(ctx context.Context, self mirror.Member, _ int) error {
			if err := s.call(ctx, from); err != nil {
				return err
			}
			s.put(depotMembers, self.Name, self)
			return nil
		},
		Remove: func(ctx context.Context, name string, _ uint64) error {
			if err := s.call(ctx, from); err != nil {
				return err
			}
			s.put(depotMembers, name, nil)
			return nil
		},
	}
}
