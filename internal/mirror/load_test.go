package mirror

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/feed"
)

// Sizes of the fleet that starts, and of what it copies: those of the grown
// sites, at the size to which they are to grow first.
const (
	crowdSize    = 300
	crowdDomains = 6
	crowdRegions = 3
	crowdBodies  = 210 // upstreams
)

// registration is like an upstream's: a few fields that most have in common.
const registration = `{"Metadata":{"Name":"%s","Labels":{"tier":"search"}},"Spec":{"Service":"curator-desk-%d","Address":"10.%d.%d.%d:9000","Zone":"lagos-ikeja","Region":"lagos","Slots":4,"Token":"%016x"},"Status":{"State":"ready","Since":%d}}`

// A shelf is a store of two kinds: members and upstreams.
type shelf struct {
	mu    sync.Mutex
	rev   uint64
	kinds [2]map[string]feed.Object
}

func newShelf() *shelf {
	s := &shelf{rev: 1}
	rnd := rand.New(rand.NewPCG(1, 2))
	s.kinds[0] = make(map[string]feed.Object)
	s.kinds[1] = make(map[string]feed.Object)
	for i := range crowdBodies {
		name := fmt.Sprint("upstream", i)
		s.put(1, name, fmt.Sprintf(registration, name, i%90, i%3, i%7, i, rnd.Uint64(), 1000*i))
	}
	return s
}

func (s *shelf) put(kind int, name, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.kinds[kind][name] = feed.Object{Name: name, Revision: s.rev, Body: []byte(body)}
}

func (s *shelf) read(kind int) (feed.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := feed.List{Revision: s.rev}
	for _, o := range s.kinds[kind] {
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

// Times from a daemon's start to its record in the shelf.
const (
	joinFirst  = 20 * time.Millisecond
	joinSpread = 600 * time.Millisecond
)

// A crowd is a fleet whose bytes are counted.
type crowd struct {
	t       *testing.T
	net     *fakes.Network
	shelf   *shelf
	rnd     *rand.Rand
	members map[string]Member // by address
	names   map[string]Member
	all     []*crowdDaemon
	domains atomic.Int64 // bytes between failure domains of a region
	regions atomic.Int64 // bytes between regions
}

// A crowdDaemon is a daemon that learns from the shelf who the others are.
type crowdDaemon struct {
	fleet  *Fleet
	mirror *Mirror
	known  map[string]Member
	server *http.Server
}

// A countedConn counts what passes.
type countedConn struct {
	net.Conn
	sum *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sum.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sum.Add(int64(n))
	return n, err
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{t: t, net: fakes.NewNetwork(1), shelf: newShelf(), rnd: rand.New(rand.NewPCG(3, 4)), members: make(map[string]Member), names: make(map[string]Member)}
	for i := range crowdSize {
		m := Member{
			Name:    fmt.Sprint("daemon", i),
			Address: c.net.Address(),
			Domain:  fmt.Sprint("d", i%crowdDomains),
			Region:  fmt.Sprint("r", i%crowdRegions),
		}
		c.members[m.Address] = m
		c.names[m.Name] = m
	}
	return c
}

// dial connects from a daemon, and counts.
func (c *crowd) dial(ctx context.Context, from Member, address string) (net.Conn, error) {
	conn, err := c.net.Dialer(from.Address)(ctx, "tcp", address)
	to := c.members[address]
	switch {
	case err != nil:
		return nil, err
	case to.Region != from.Region:
		return &countedConn{conn, &c.regions}, nil
	case to.Domain != from.Domain:
		return &countedConn{conn, &c.domains}, nil
	}
	return conn, nil
}

// start starts a daemon.
func (c *crowd) start(self Member) *crowdDaemon {
	is := is.New(c.t)
	d := &crowdDaemon{known: make(map[string]Member), fleet: &Fleet{Self: self}}
	for i := range 3 {
		d.fleet.Seeds = append(d.fleet.Seeds, Member{Address: c.names[fmt.Sprint("daemon", i)].Address})
	}
	d.mirror = &Mirror{Fleet: d.fleet, Dial: func(ctx context.Context, a string) (net.Conn, error) { return c.dial(ctx, self, a) }}
	d.mirror.Init()
	members := c.topic(d, "members", 0)
	members.Apply = func(objects []feed.Object) {
		for _, o := range objects {
			d.known[o.Name] = c.names[o.Name]
		}
		d.fleet.Set(maps.Clone(d.known))
	}
	roster := c.topic(d, "roster", 1)
	roster.RankKnown = d.fleet.Known
	d.mirror.Topics = []*feed.Topic{members, roster}
	l, err := c.net.Listen(self.Address)
	is.NoErr(err)
	d.server = &http.Server{Handler: d.mirror.Handler()}
	go (&acceptor{server: d.server, listener: l}).run()
	record := fmt.Sprintf(`{"Address":"%s","Zone":"%s","Region":"%s","Term":%d}`, self.Address, self.Domain, self.Region, time.Now().UnixNano())
	delay := joinFirst + time.Duration(c.rnd.Int64N(int64(joinSpread)))
	time.AfterFunc(delay, func() { c.shelf.put(0, self.Name, record) })
	for _, topic := range d.mirror.Topics {
		is.NoErr(topic.Start(context.Background()))
	}
	is.NoErr(d.mirror.Start(context.Background()))
	return d
}

func (c *crowd) topic(d *crowdDaemon, name string, kind int) *feed.Topic {
	return &feed.Topic{
		Name:         name,
		ReadInterval: time.Second,
		Read: func(context.Context) (feed.List, error) {
			time.Sleep(4 * time.Millisecond)
			return c.shelf.read(kind)
		},
		Watch: func(ctx context.Context, _ uint64, _ time.Duration) (feed.List, error) {
			<-ctx.Done()
			return feed.List{}, ctx.Err()
		},
		Rank:    d.fleet.Rank,
		Apply:   func([]feed.Object) {},
		Changed: d.mirror.Wake,
	}
}

// stop ends a daemon.
func (c *crowd) stop(d *crowdDaemon) {
	is := is.New(c.t)
	for _, topic := range d.mirror.Topics {
		is.NoErr(topic.Stop(context.Background()))
	}
	is.NoErr(d.mirror.Stop(context.Background()))
	_ = d.server.Close()
}

// volume returns about how many bytes all that the shelf holds is.
func (s *shelf) volume() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, kind := range s.kinds {
		for _, o := range kind {
			n += len(o.Name) + len(o.Body)
		}
	}
	return int64(n)
}

// judge compares what passed with what the shelf holds: a whole start may carry
// all of it once to each tenth daemon of another failure domain, and twice to
// each region.
func (c *crowd) judge(what string) {
	is := is.NewRelaxed(c.t)
	all := c.shelf.volume()
	domains, regions := c.domains.Swap(0), c.regions.Swap(0)
	c.t.Logf("%s: %d B are held, %d B passed between failure domains and %d B between regions", what, all, domains, regions)
	is.True(domains < crowdSize/10*all)
	is.True(regions < 2*crowdRegions*all)
	for _, d := range c.all {
		for _, topic := range d.mirror.Topics {
			is.True(topic.Age(time.Now()) < feed.StaleAge)
		}
	}
}

// TestCrowd starts a fleet at the same moment, and all of it again later. When
// all followed the first daemon of their region and bodies travelled plain, 12
// MB passed between failure domains each time, and it grew as the square of the
// fleet.
func TestCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t)
		for i := range crowdSize {
			c.all = append(c.all, c.start(c.names[fmt.Sprint("daemon", i)]))
		}
		time.Sleep(10 * time.Second)
		c.judge("start")
		time.Sleep(10 * time.Second)
		c.judge("calm")
		for _, d := range c.all {
			c.stop(d)
		}
		synctest.Wait()
		for i, d := range c.all {
			c.all[i] = c.start(d.fleet.Self)
		}
		time.Sleep(10 * time.Second)
		c.judge("start of all")
		for _, d := range c.all {
			c.stop(d)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}
