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

	"bronzedoor.dev/bronzedoor/internal/draw"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/pace"
)

func TestMain(m *testing.M) {
	draw.Main(m)
}

func selector(rev uint64, deadline int) object.Object {
	body := fmt.Sprintf(`{"caller":"c","service":"s","deadline":%d,"floor":0,"tries":1}`, deadline)
	return object.Object{Kind: object.KindSelector, Name: "c", Revision: rev, Body: []byte(body)}
}

func TestBookRefusesAndKeepsTheLastGood(t *testing.T) {
	is := is.New(t)
	var b Book
	is.Equal(len(b.Apply([]object.Object{selector(1, 100)}, 1)), 0)
	refused := b.Apply([]object.Object{selector(2, -5)}, 2)
	is.Equal(len(refused), 1)
	is.Equal(b.View().Selector("c").Deadline, 100) // the last good one stays
	is.Equal(b.Revision(), uint64(2))              // but the book has moved on
	is.Equal(len(b.Refused()), 1)

	// A daemon that starts from this one gets the good state and the refusal.
	var fresh Book
	objects, rev, _ := b.Since(0, 100)
	fresh.Apply(objects, rev)
	is.Equal(fresh.View().Selector("c").Deadline, 100)
	is.Equal(len(fresh.Refused()), 1)

	b.Apply([]object.Object{selector(3, 300)}, 3)
	is.Equal(b.View().Selector("c").Deadline, 300)
	is.Equal(len(b.Refused()), 0)
}

// TestBookNeverRevertsDrawn delivers states of an object in any order, from
// stale stores and peers, and finds that the newest seen is in force.
func TestBookNeverRevertsDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		newest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "length") {
			rev := uint64(rapid.IntRange(1, 20).Draw(t, "rev"))
			b.Apply([]object.Object{selector(rev, int(rev))}, rev)
			newest = max(newest, rev)
			if got := b.View().Selector("c").Deadline; got != int(newest) {
				t.Fatalf("revision %d is in force, %d was seen", got, newest)
			}
			if b.Revision() != newest {
				t.Fatalf("the book is at %d, %d was seen", b.Revision(), newest)
			}
		}
	})
}

// source is a store or a peer whose answers a test chooses.
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
		{name: "from the store", store: source{page: one}, want: 1},
		{name: "store down: from a peer", store: source{err: errors.New("down")}, peer: source{page: two}, hint: 2, want: 2},
		{name: "watch stalls: from a peer", store: source{hang: true}, peer: source{page: two}, hint: 2, want: 2},
		{name: "peer is newer than a stale store", store: source{page: one}, peer: source{page: two}, hint: 2, want: 2},
		{name: "peer that lies is left", store: source{page: one}, peer: source{page: one}, hint: 9, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var b Book
				f := &Follower{Book: &b}
				f.Watch = func(ctx context.Context, since uint64, wait time.Duration) (Page, error) {
					p, err := tt.store.read(ctx)
					if err == nil && p.Revision <= since {
						p.Objects = nil
						pace.Sleep(ctx, wait)
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
					f.Newer("peer", tt.hint)
				}
				time.Sleep(3 * time.Second)
				is.Equal(b.Revision(), tt.want)
				is.Equal(b.View().Selector("c").Deadline, int(tt.want))
				is.NoErr(f.Stop(t.Context()))
			})
		})
	}
}
