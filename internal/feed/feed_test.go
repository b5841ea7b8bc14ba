package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/draw"
)

func TestMain(m *testing.M) {
	draw.Main(m)
}

// registry is a store of one kind, whose failures a test chooses.
type registry struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]Object
	changes []Object
	changed chan struct{}
	down    bool   // calls fail
	deaf    bool   // watches hear nothing
	history uint64 // changes up to here can't be told
	reads   int
}

func newRegistry() *registry {
	return &registry{rev: 1, objects: make(map[string]Object), changed: make(chan struct{})}
}

// set writes or removes an object.
func (r *registry) set(name string, gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev++
	o := Object{Name: name, Revision: r.rev, Gone: gone}
	delete(r.objects, name)
	if !gone {
		r.objects[name] = o
	}
	r.changes = append(r.changes, o)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) fail(down, deaf bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.deaf = down, deaf
}

func (r *registry) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = r.rev
}

func (r *registry) read(context.Context) (List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.down {
		return List{}, errors.New("down")
	}
	l := List{Revision: r.rev}
	for _, o := range r.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (r *registry) watch(ctx context.Context, since uint64, wait time.Duration) (List, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := r.since(since)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return l, nil
		case <-ctx.Done():
			return List{}, ctx.Err()
		}
	}
}

func (r *registry) since(since uint64) (List, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down:
		return List{}, nil, errors.New("down")
	case since < r.history:
		return List{}, nil, ErrHistory
	}
	l := List{Revision: r.rev}
	for _, o := range r.changes {
		if o.Revision > since && !r.deaf {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, r.changed, nil
}

// follow runs act beside a topic of a registry.
func follow(t *testing.T, rank int, act func(r *registry, topic *Topic)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry()
		r.set("a", false)
		topic := &Topic{
			Name:  "t",
			Every: time.Second,
			Read:  r.read,
			Watch: r.watch,
			Rank:  func() int { return rank },
			Apply: func([]Object) {},
		}
		is.NoErr(topic.Start(t.Context()))
		act(r, topic)
		is.NoErr(topic.Stop(t.Context()))
	})
}

func names(t *Topic) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := ""
	for _, name := range []string{"a", "b", "c"} {
		if _, ok := t.held[name]; ok {
			out += name
		}
	}
	return out
}

func TestWatchTellsAtOnce(t *testing.T) {
	follow(t, 0, func(r *registry, topic *Topic) {
		is := is.New(t)
		time.Sleep(300 * time.Millisecond)
		is.Equal(names(topic), "a")
		r.set("b", false)
		time.Sleep(10 * time.Millisecond)
		is.Equal(names(topic), "ab")
		r.set("a", true)
		time.Sleep(10 * time.Millisecond)
		is.Equal(names(topic), "b")
	})
}

// TestDeafWatch has a watch hear nothing and say so to nobody: the next read
// brings what it missed, also when the history is gone.
func TestDeafWatch(t *testing.T) {
	follow(t, 0, func(r *registry, topic *Topic) {
		is := is.New(t)
		time.Sleep(300 * time.Millisecond)
		r.fail(false, true)
		r.set("b", false)
		r.set("a", true)
		r.forget()
		time.Sleep(topic.Every + 100*time.Millisecond)
		is.Equal(names(topic), "b")
	})
}

func TestStoreAwayAndBack(t *testing.T) {
	follow(t, 0, func(r *registry, topic *Topic) {
		is := is.New(t)
		time.Sleep(300 * time.Millisecond)
		r.fail(true, false)
		r.set("b", false)
		time.Sleep(20 * time.Second)
		is.Equal(names(topic), "a")
		is.True(topic.Age(time.Now()) > 19*time.Second)
		r.fail(false, false)
		time.Sleep(1300 * time.Millisecond)
		is.Equal(names(topic), "ab")
	})
}

// TestSilentThenBack starts a daemon while the store answers nothing: it is read
// within a second of its return, and a store that is only slow is read too.
func TestSilentThenBack(t *testing.T) {
	tests := []struct {
		name   string
		silent time.Duration // the store answers nothing until then
		delay  time.Duration // of each answer from then on
		known  time.Duration // after the store's return
	}{
		{name: "silent", silent: 3700 * time.Millisecond, known: time.Second},
		{name: "slow", delay: 1200 * time.Millisecond, known: 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRegistry()
				begun := time.Now()
				topic := &Topic{Name: "t", Every: time.Second, Watch: r.watch, Rank: func() int { return 0 }, Apply: func([]Object) {}}
				topic.Read = func(ctx context.Context) (List, error) {
					wait := tt.delay
					if time.Since(begun) < tt.silent {
						wait = time.Hour
					}
					select {
					case <-time.After(wait):
						return r.read(ctx)
					case <-ctx.Done():
						return List{}, ctx.Err()
					}
				}
				is.NoErr(topic.Start(context.Background()))
				time.Sleep(tt.silent + tt.known)
				is.True(topic.Revision() > 0)
				is.NoErr(topic.Stop(context.Background()))
			})
		})
	}
}

// TestUnranked starts a daemon that does not know yet who reads before it: it
// gives the others time to tell, and no more.
func TestUnranked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRegistry()
		topic := &Topic{Name: "t", Every: time.Second, Read: r.read, Rank: func() int { return 0 }, Ranked: func() bool { return false }, Apply: func([]Object) {}}
		is.NoErr(topic.Start(context.Background()))
		time.Sleep(firstWait - look)
		is.Equal(topic.Revision(), uint64(0))
		time.Sleep(4 * look)
		is.True(topic.Revision() > 0)
		is.NoErr(topic.Stop(context.Background()))
	})
}

// TestRanks gives nobody else's knowledge to daemons of some ranks: they read
// the store themselves, one after the other, and those behind rarely while it
// is down.
func TestRanks(t *testing.T) {
	tests := []struct {
		rank  int
		first time.Duration // until the first read
		most  int           // reads in 20 s while the store is down
	}{
		{rank: 0, first: 100 * time.Millisecond, most: 60},
		{rank: 2, first: 100 * time.Millisecond, most: 60},
		{rank: 20, first: 2200 * time.Millisecond, most: 14},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint("rank ", tt.rank), func(t *testing.T) {
			follow(t, tt.rank, func(r *registry, topic *Topic) {
				is := is.New(t)
				time.Sleep(tt.first)
				is.Equal(names(topic), "a")
				r.fail(true, false)
				r.mu.Lock()
				before := r.reads
				r.mu.Unlock()
				time.Sleep(20 * time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				is.True(r.reads-before <= tt.most)
			})
		})
	}
}

// TestCopying lets a topic copy from another one, whose watch missed a change
// while its revision went on.
func TestCopying(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	apply := func([]Object) {}
	source, copied := &Topic{Apply: apply}, &Topic{Apply: apply}
	source.mu.Lock()
	source.replace(List{Revision: 5, Objects: []Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}})
	source.asOf = now
	source.mu.Unlock()
	take := func() bool {
		c, news := source.Since(copied.Cursor(), now)
		if news {
			copied.Merge(c, true, now)
		}
		return news
	}
	is.True(take())
	is.Equal(names(copied), "ab")
	is.True(!take())
	source.change(List{Revision: 9, Objects: []Object{{Name: "b", Revision: 8, Gone: true}}})
	is.True(take())
	is.Equal(names(copied), "a")
	// Revision 7 was missed by the watch and is found by a read.
	source.mu.Lock()
	source.replace(List{Revision: 9, Objects: []Object{{Name: "a", Revision: 3}, {Name: "c", Revision: 7}}})
	source.mu.Unlock()
	is.True(take())
	is.Equal(names(copied), "ac")
	is.True(!take())
}

// TestNeverBack draws lists, changes and copies in any order and any number of
// times: what is known of an object never goes back.
func TestNeverBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistry()
		var lists []List
		for range rapid.IntRange(1, 30).Draw(t, "writes") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			r.set(name, rapid.Bool().Draw(t, "gone"))
			l, err := r.read(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			lists = append(lists, l)
		}
		seen := make(map[string]uint64)
		topic := &Topic{Apply: func(changes []Object) {
			for _, o := range changes {
				if o.Revision < seen[o.Name] {
					t.Fatalf("%s went back from %d to %d", o.Name, seen[o.Name], o.Revision)
				}
				seen[o.Name] = o.Revision
			}
		}}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if rapid.Bool().Draw(t, "change") {
				o := rapid.SampledFrom(r.changes).Draw(t, "change of")
				topic.change(List{Revision: o.Revision, Objects: []Object{o}})
				continue
			}
			l := rapid.SampledFrom(lists).Draw(t, "list")
			topic.Merge(Copy{List: l, Whole: true}, true, time.Now())
		}
		topic.Merge(Copy{List: lists[len(lists)-1], Whole: true}, true, time.Now())
		want := ""
		for _, name := range []string{"a", "b", "c"} {
			if _, ok := r.objects[name]; ok {
				want += name
			}
		}
		if got := names(topic); got != want {
			t.Fatalf("holds %q, want %q", got, want)
		}
	})
}
