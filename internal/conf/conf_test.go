package conf

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/prop"
)

func TestMain(m *testing.M) {
	prop.Main(m)
}

func selector(rev uint64, deadline int) object.Object {
	body := fmt.Sprintf(`{"caller":"c","service":"s","deadline":%d,"floor":0,"tries":1}`, deadline)
	return object.Object{Kind: object.KindSelector, Name: "c", Revision: rev, Body: []byte(body)}
}

func TestConfigRejectsInvalidObject(t *testing.T) {
	is := is.New(t)
	var c Config
	is.Equal(len(c.Apply([]object.Object{selector(1, 100)}, 1)), 0)
	rejected := c.Apply([]object.Object{selector(2, -5)}, 2)
	is.Equal(len(rejected), 1)
	is.Equal(c.View().Selector("c").DeadlineMs, 100) // the last valid state stays in force
	is.Equal(c.Revision(), uint64(2))                // but the revision has advanced
	is.Equal(len(c.Rejected()), 1)

	// A daemon that copies this configuration gets the valid state and the rejection.
	var fresh Config
	objects, rev, _ := c.ChangesSince(0, 100)
	fresh.Apply(objects, rev)
	is.Equal(fresh.View().Selector("c").DeadlineMs, 100)
	is.Equal(len(fresh.Rejected()), 1)

	c.Apply([]object.Object{selector(3, 300)}, 3)
	is.Equal(c.View().Selector("c").DeadlineMs, 300)
	is.Equal(len(c.Rejected()), 0)
}

// TestConfigReplace replaces the configuration by a list of a restored store: an object
// that is not on it counts as deleted, also for peers.
func TestConfigReplace(t *testing.T) {
	is := is.New(t)
	restored := uint64(feed.NewRevision(1, 1))
	other := selector(2, 100)
	other.Name = "d"
	var c Config
	c.Apply([]object.Object{selector(1, 100), other}, 2)
	c.Replace([]object.Object{selector(restored, 200)}, restored)
	is.Equal(c.View().Selector("c").DeadlineMs, 200)
	_, known := c.Object(object.KindSelector, "d")
	is.True(!known)
	objects, rev, _ := c.ChangesSince(2, 100)
	is.Equal(len(objects), 2)
	is.Equal(rev, restored)
}

// TestConfigNeverRevertsDrawn applies states of an object in any order, as stale
// stores and peers deliver them, and checks that the newest one is in force.
func TestConfigNeverRevertsDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Config
		newest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "length") {
			rev := uint64(rapid.IntRange(1, 20).Draw(t, "rev"))
			c.Apply([]object.Object{selector(rev, int(rev))}, rev)
			newest = max(newest, rev)
			if got := c.View().Selector("c").DeadlineMs; got != int(newest) {
				t.Fatalf("revision %d is in force, want the newest, %d", got, newest)
			}
			if c.Revision() != newest {
				t.Fatalf("configuration is at revision %d, want the newest, %d", c.Revision(), newest)
			}
		}
	})
}

// source is a fake store or peer that gives a fixed reply, or none.
type source struct {
	page Page
	err  error
	hang bool
}

func (s *source) read(ctx context.Context) (Page, error) {
	if s.hang {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return s.page, s.err
}

func TestFollower(t *testing.T) {
	one := Page{Objects: []object.Object{selector(1, 1)}, Revision: 1}
	two := Page{Objects: []object.Object{selector(2, 2)}, Revision: 2}
	tests := []struct {
		name  string
		store source
		peer  source
		hint  uint64
		want  uint64
	}{
		{name: "store", store: source{page: one}, want: 1},
		{name: "store down, peer answers", store: source{err: errors.New("down")}, peer: source{page: two}, hint: 2, want: 2},
		{name: "watch stalls, peer answers", store: source{hang: true}, peer: source{page: two}, hint: 2, want: 2},
		{name: "store is stale, peer is newer", store: source{page: one}, peer: source{page: two}, hint: 2, want: 2},
		{name: "peer is older than its hint", store: source{page: one}, peer: source{page: one}, hint: 9, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var c Config
				f := &Follower{Config: &c}
				f.Watch = func(ctx context.Context, since uint64, wait time.Duration) (Page, error) {
					p, err := tt.store.read(ctx)
					if err == nil && p.Revision <= since {
						p.Objects = nil
						delay.Sleep(ctx, wait)
					}
					return p, err
				}
				f.Fetch = func(ctx context.Context, _ string, _ uint64) (Page, error) {
					return tt.peer.read(ctx)
				}
				f.Init()
				is.NoErr(f.Start(t.Context()))
				time.Sleep(time.Second)
				if tt.hint > 0 {
					f.AddHint("peer", tt.hint)
				}
				time.Sleep(3 * time.Second)
				is.Equal(c.Revision(), tt.want)
				is.Equal(c.View().Selector("c").DeadlineMs, int(tt.want))
				is.NoErr(f.Stop(t.Context()))
			})
		})
	}
}

// TestChangesSincePagesRejected pages through more rejected objects than fit a page.
// Their last valid states are older than the page begins, and once filled each page,
// so that a peer never came further.
func TestChangesSincePagesRejected(t *testing.T) {
	is := is.New(t)
	const n, limit = 25, 10
	named := func(i, rev, deadline int) object.Object {
		o := selector(uint64(rev), deadline)
		o.Name = fmt.Sprint("c", i)
		o.Body = []byte(fmt.Sprintf(`{"caller":"c%d","service":"s","deadline":%d,"floor":0,"tries":1}`, i, deadline))
		return o
	}
	var from, to Config
	for i := range n {
		from.Apply([]object.Object{named(i, i+1, 100)}, uint64(i+1))
	}
	for i := range n {
		from.Apply([]object.Object{named(i, n+i+1, -1)}, uint64(n+i+1))
	}
	for range 2 * n {
		objects, rev, more := from.ChangesSince(to.Revision(), limit)
		is.True(rev > to.Revision()) // each page makes progress
		to.Apply(objects, rev)
		if !more {
			break
		}
	}
	is.Equal(to.Revision(), from.Revision())
	is.Equal(len(to.Rejected()), n)
	is.Equal(to.View().Selector("c7").DeadlineMs, 100)
}
