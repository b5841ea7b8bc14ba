package mirror

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/feed"
)

// A store holds one object; tests choose who reaches it.
type store struct {
	mu    sync.Mutex
	rev   uint64
	cut   map[string]bool // daemons that it turns away
	reads map[string]int  // by daemon
}

func (s *store) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
}

// turn sets whether the store turns a daemon away.
func (s *store) turn(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = true
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// count forgets the reads so far, and returns them.
func (s *store) count() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.reads
	s.reads = make(map[string]int)
	return out
}

func (s *store) read(from string) (feed.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[from]++
	if s.cut[from] {
		return feed.List{}, errors.New("turned away")
	}
	return feed.List{Revision: s.rev, Objects: []feed.Object{{Name: "o", Revision: s.rev}}}, nil
}

// A daemon is a mirror of one topic.
type daemon struct {
	name   string
	fleet  *Fleet
	mirror *Mirror
	topic  *feed.Topic
	server *http.Server
	net    *fakes.Network
}

// restart starts a daemon anew at its address. It knows nothing but seeds.
func (d *daemon) restart(t *testing.T, s *store, seeds []Member) {
	is := is.New(t)
	is.NoErr(d.topic.Stop(context.Background()))
	is.NoErr(d.mirror.Stop(context.Background()))
	_ = d.server.Close()
	synctest.Wait()
	*d = *newDaemon(t, d.net, s, d.fleet.Self)
	d.fleet.Seeds = seeds
	is.NoErr(d.topic.Start(context.Background()))
	is.NoErr(d.mirror.Start(context.Background()))
}

// fleet runs act beside so many daemons in two regions.
func fleet(t *testing.T, size int, act func(s *store, all []*daemon)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakes.NewNetwork(1)
		s := &store{rev: 1, cut: make(map[string]bool), reads: make(map[string]int)}
		members := make(map[string]Member)
		var all []*daemon
		for i := range size {
			m := Member{Name: fmt.Sprint("daemon", i), Address: n.Address(), Domain: fmt.Sprint("d", i%4), Region: fmt.Sprint("r", i%2)}
			members[m.Name] = m
			all = append(all, newDaemon(t, n, s, m))
		}
		for _, d := range all {
			d.fleet.Set(members)
			is.NoErr(d.topic.Start(t.Context()))
			is.NoErr(d.mirror.Start(t.Context()))
		}
		act(s, all)
		for _, d := range all {
			is.NoErr(d.topic.Stop(t.Context()))
			is.NoErr(d.mirror.Stop(t.Context()))
			_ = d.server.Close()
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

func newDaemon(t *testing.T, n *fakes.Network, s *store, m Member) *daemon {
	d := &daemon{name: m.Name, net: n, fleet: &Fleet{Self: m}}
	dial := n.Dialer(m.Address)
	d.mirror = &Mirror{Fleet: d.fleet, Dial: func(ctx context.Context, a string) (net.Conn, error) { return dial(ctx, "tcp", a) }}
	d.mirror.Init()
	d.topic = &feed.Topic{
		Name:         "t",
		ReadInterval: time.Second,
		Read:         func(context.Context) (feed.List, error) { return s.read(m.Name) },
		Watch: func(ctx context.Context, _ uint64, wait time.Duration) (feed.List, error) {
			<-ctx.Done()
			return feed.List{}, ctx.Err()
		},
		Rank:    d.fleet.Rank,
		Apply:   func([]feed.Object) {},
		Changed: d.mirror.Wake,
	}
	d.mirror.Topics = []*feed.Topic{d.topic}
	l, err := n.Listen(m.Address)
	if err != nil {
		t.Fatal(err)
	}
	d.server = &http.Server{Handler: d.mirror.Handler()}
	go (&acceptor{server: d.server, listener: l}).run()
	return d
}

type acceptor struct {
	server   *http.Server
	listener net.Listener
}

func (a *acceptor) run() {
	// The error is that of the end.
	_ = a.server.Serve(a.listener)
}

// behind returns the daemons that don't know the store's revision.
func behind(s *store, all []*daemon) []string {
	var out []string
	for _, d := range all {
		if d.topic.Revision() < s.revision() {
			out = append(out, d.name)
		}
	}
	return out
}

// TestOneReads has one daemon of many read the store, and all of them know a
// change as soon as it does.
func TestOneReads(t *testing.T) {
	fleet(t, 12, func(s *store, all []*daemon) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		s.count()
		s.write()
		time.Sleep(1100 * time.Millisecond)
		is.Equal(len(behind(s, all)), 0)
		time.Sleep(10 * time.Second)
		sum := 0
		reads := s.count()
		for _, n := range reads {
			sum += n
		}
		is.Equal(len(reads), 1)
		is.True(sum <= 12)
	})
}

// TestReaderTurnedAway has the store turn away some daemons, the reader among
// them: all learn of a change within the time that a drain may take.
func TestReaderTurnedAway(t *testing.T) {
	fleet(t, 12, func(s *store, all []*daemon) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		for _, d := range all {
			if d.fleet.Rank() == 0 || d.name == "daemon1" || d.name == "daemon2" {
				s.turn(d.name)
			}
		}
		s.write()
		time.Sleep(3500 * time.Millisecond)
		is.Equal(behind(s, all), nil)
	})
}

// TestReaderStopped kills the reader.
func TestReaderStopped(t *testing.T) {
	fleet(t, 12, func(s *store, all []*daemon) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		var rest []*daemon
		for _, d := range all {
			if d.fleet.Rank() > 0 {
				rest = append(rest, d)
				continue
			}
			_ = d.server.Close()
			s.turn(d.name)
		}
		s.write()
		time.Sleep(3500 * time.Millisecond)
		is.Equal(behind(s, rest), nil)
	})
}

// TestStartWhileStoreIsAway starts a daemon that knows only a seed.
func TestStartWhileStoreIsAway(t *testing.T) {
	fleet(t, 4, func(s *store, all []*daemon) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		last := all[3]
		for _, d := range all {
			s.turn(d.name)
		}
		is.NoErr(last.topic.Stop(context.Background()))
		is.NoErr(last.mirror.Stop(context.Background()))
		fresh := &feed.Topic{Name: "t", ReadInterval: time.Second, Read: last.topic.Read, Watch: last.topic.Watch, Rank: func() int { return 0 }, Apply: last.topic.Apply}
		last.mirror = &Mirror{Fleet: last.fleet, Topics: []*feed.Topic{fresh}, Dial: last.mirror.Dial}
		last.mirror.Init()
		last.topic = fresh
		last.fleet.Set(nil)
		last.fleet.Seeds = []Member{all[0].fleet.Self}
		is.NoErr(fresh.Start(context.Background()))
		is.NoErr(last.mirror.Start(context.Background()))
		time.Sleep(time.Second)
		is.Equal(fresh.Revision(), s.revision())
	})
}

// TestLastOneKnows restarts all daemons but one while the store is away. The
// one that still knows is no seed: nobody would ask it, but it asks the others,
// and they ask it back.
func TestLastOneKnows(t *testing.T) {
	fleet(t, 8, func(s *store, all []*daemon) {
		time.Sleep(5 * time.Second)
		seeds := []Member{all[0].fleet.Self, all[1].fleet.Self, all[2].fleet.Self}
		for _, d := range all {
			s.turn(d.name)
		}
		for _, d := range all[:7] {
			d.restart(t, s, seeds)
		}
		time.Sleep(4 * time.Second)
		is := is.New(t)
		is.Equal(behind(s, all), nil)
	})
}

func TestShare(t *testing.T) {
	is := is.New(t)
	f := &Fleet{Self: Member{Name: "a", Domain: "x"}}
	is.Equal(f.Share(), unknownShare)
	f.Set(map[string]Member{"a": {Name: "a", Domain: "x"}, "b": {Name: "b", Domain: "y"}, "c": {Name: "c", Domain: "y"}})
	is.Equal(f.Share(), 0.5) // alone in one of two domains
	f.Self = Member{Name: "b", Domain: "y"}
	is.Equal(f.Share(), 0.25)
	f.Self = Member{Name: "d", Domain: "z"}
	is.Equal(f.Share(), 1.0/3) // its own record is on its way
}

func TestCounts(t *testing.T) {
	is := is.New(t)
	f := &Fleet{Self: Member{Name: "a", Region: "x"}}
	is.Equal(len(f.Daemons()), 0) // nobody is known
	f.Set(map[string]Member{"a": {Name: "a", Region: "x"}, "b": {Name: "b", Region: "y"}, "c": {Name: "c", Region: "y"}})
	is.Equal(f.Daemons(), map[string]int{"x": 1, "y": 2})
}
