package daemon

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// watchers is the number of daemons that hold a watch on the store and read the
// VM list often. The others hear from them.
const watchers = 8

// differEvery is the least time between two comparisons of whole tables, for
// each member of the fleet.
const differEvery = 50 * time.Millisecond

// differLeast is the least time between two comparisons of whole tables.
const differLeast = 2 * time.Second

// traffic counts a daemon's heartbeats.
type traffic struct {
	out  atomic.Uint64 // bytes
	in   atomic.Uint64 // bytes
	msgs atomic.Uint64 // datagrams sent
}

func (t *traffic) sent(n int) {
	t.out.Add(uint64(n))
	t.msgs.Add(1)
}

func (t *traffic) got(n int) {
	t.in.Add(uint64(n))
}

// watch returns a follower's Watch over the store.
func watch(c *store.Client) func(ctx context.Context, since uint64, wait time.Duration) (conf.Page, error) {
	return func(ctx context.Context, since uint64, wait time.Duration) (conf.Page, error) {
		l, err := c.Changes(ctx, object.ConfigKinds, since, conf.PageSize, wait)
		return conf.Page{Objects: l.Objects, Revision: l.Revision, More: l.More}, err
	}
}

// fetch reads changes from a peer.
func (d *Daemon) fetch(ctx context.Context, from string, since uint64) (conf.Page, error) {
	re, err := d.fleet(peer.Address(from)).Changes(ctx, &wire.ChangesRequest{Since: since})
	if err != nil {
		return conf.Page{}, err
	}
	p := conf.Page{Revision: re.Revision, More: re.More}
	for _, o := range re.Objects {
		p.Objects = append(p.Objects, object.Object{
			Kind:     object.Kind(o.Kind),
			Name:     o.Name,
			Revision: o.Revision,
			Deleted:  o.Gone,
			Body:     o.Body,
		})
	}
	return p, nil
}

// watcher reports whether this daemon is one of the few that watch: those
// that rank first among the live ones. Daemons that see the fleet differently
// may disagree, which costs some calls and no more.
func (d *Daemon) watcher() bool {
	digest := d.beater.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	if digest != d.ranked {
		d.ranked = digest
		d.watches = d.rank() < watchers
	}
	return d.watches
}

// rank returns how many live daemons rank before this one.
func (d *Daemon) rank() int {
	own := xxhash.Sum64String(d.identity)
	n := 0
	for _, m := range d.beater.Members() {
		if !m.Down && xxhash.Sum64String(m.Identity) < own {
			n++
		}
	}
	return n
}

// advanced puts a new configuration in force and tells some peers at once.
func (d *Daemon) advanced(rev uint64) {
	d.Log.Emit(event.ConfApplied, event.Fields{Step: "apply", Detail: strconv.FormatUint(rev, 10)})
	d.keeper.Wake()
	d.beater.GossipNow()
}

func (d *Daemon) say(leaving bool, blocks []permit.Block) {
	d.beater.UpdateSelf(leaving, blocks)
	d.routes.SetMembers(d.beater.Members())
}

// state is what was last logged of a member.
type state int

const (
	stateUp state = iota + 1
	stateLeaving
	stateDown
)

// changed takes in members whose state is new.
func (d *Daemon) changed(news []peer.Member) {
	d.routes.SetMembers(d.beater.Members())
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range news {
		now, id := stateUp, event.MemberUp
		switch {
		case m.Down:
			now, id = stateDown, event.MemberDown
		case m.Leaving:
			now, id = stateLeaving, event.MemberLeaving
		}
		if d.states[m.Identity] != now {
			d.states[m.Identity] = now
			d.Log.Emit(id, event.Fields{Step: "members", Peer: m.Identity})
		}
	}
}

// differ compares whole tables with a member whose digest differs, now and then.
func (d *Daemon) differ(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Before(d.differs) {
		return
	}
	every := max(differLeast, differEvery*time.Duration(len(d.states)))
	d.differs = now.Add(every/2 + rand.N(every))
	go (&comparison{daemon: d, from: from}).run()
}

// A comparison reads one member's table.
type comparison struct {
	daemon *Daemon
	from   string
}

func (c *comparison) run() {
	ctx, cancel := context.WithTimeout(context.Background(), storeWait)
	defer cancel()
	re, err := c.daemon.fleet(peer.Address(c.from)).Members(ctx, &wire.MembersRequest{})
	if err == nil {
		c.daemon.beater.MergeTable(peer.Decode(re.Members))
	}
}

// listed takes in the platform's list of VMs.
func (d *Daemon) listed(l store.VMs) {
	add := make([]peer.Member, 0, len(l.VMs))
	for _, v := range l.VMs {
		add = append(add, peer.Member{Identity: v.Identity(), Domain: v.Domain})
	}
	d.beater.UpdateListed(add, l.Contains)
	d.routes.SetMembers(d.beater.Members())
}
