package daemon

import (
	"context"
	"errors"
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

// maxWatchers is the number of daemons that hold a watch on the store and poll the
// VM list often. The others learn of changes from them.
const maxWatchers = 8

// comparePerMember is the least time between two comparisons of member tables for
// each member of the fleet: the interval grows with the fleet.
const comparePerMember = 50 * time.Millisecond

// minCompareInterval is the least time between two comparisons of member tables,
// however small the fleet.
const minCompareInterval = 2 * time.Second

// heartbeatStats counts the heartbeat traffic of a daemon.
type heartbeatStats struct {
	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
	datagramsSent atomic.Uint64
}

func (s *heartbeatStats) countSent(n int) {
	s.bytesSent.Add(uint64(n))
	s.datagramsSent.Add(1)
}

func (s *heartbeatStats) countReceived(n int) {
	s.bytesReceived.Add(uint64(n))
}

// watchStore returns a function for conf.Follower.Watch that reads changes from
// the object store.
func watchStore(c *store.Client) func(ctx context.Context, since uint64, wait time.Duration) (conf.Page, error) {
	return func(ctx context.Context, since uint64, wait time.Duration) (conf.Page, error) {
		l, err := c.Changes(ctx, object.ConfigKinds, since, conf.PageSize, wait)
		if errors.Is(err, store.ErrRestored) {
			err = conf.ErrRestored
		}
		return conf.Page{Objects: l.Objects, Revision: l.Revision, More: l.More}, err
	}
}

// fetchChanges reads the configuration changes after revision since from the peer
// with the identity from. It is the follower's Fetch.
func (d *Daemon) fetchChanges(ctx context.Context, from string, since uint64) (conf.Page, error) {
	resp, err := d.fleetClient(peer.Address(from)).Changes(ctx, &wire.ChangesRequest{Since: since})
	if err != nil {
		return conf.Page{}, err
	}
	page := conf.Page{Revision: resp.Revision, More: resp.More}
	for _, o := range resp.Objects {
		page.Objects = append(page.Objects, object.Object{
			Kind:     object.Kind(o.Kind),
			Name:     o.Name,
			Revision: o.Revision,
			Deleted:  o.Gone,
			Body:     o.Body,
		})
	}
	return page, nil
}

// holdsWatch reports whether this daemon is one of the maxWatchers that watch the
// store: those that rank first among the live ones. Daemons with different views
// of the fleet may disagree; the only cost is some extra calls.
func (d *Daemon) holdsWatch() bool {
	digest := d.detector.Digest()
	d.mu.Lock()
	defer d.mu.Unlock()
	if digest != d.rankedDigest {
		d.rankedDigest = digest
		d.watching = d.rank() < maxWatchers
	}
	return d.watching
}

// rank returns the number of live daemons that rank before this one, in the order
// of the hashes of their identities.
func (d *Daemon) rank() int {
	own := xxhash.Sum64String(d.identity)
	n := 0
	for _, m := range d.detector.Members() {
		if !m.Down && xxhash.Sum64String(m.Identity) < own {
			n++
		}
	}
	return n
}

// configAdvanced is called after the configuration has advanced to rev. It wakes
// the block manager, which applies it, and gossips the revision to some peers at
// once.
func (d *Daemon) configAdvanced(rev uint64) {
	d.Log.Emit(event.ConfApplied, event.Fields{Step: "apply", Detail: strconv.FormatUint(rev, 10)})
	d.blockManager.Wake()
	d.detector.GossipNow()
}

// announce tells the other members, and this daemon's balancer, that it is leaving
// and which blocks it owns. It is the block manager's Announce.
func (d *Daemon) announce(leaving bool, blocks []permit.Block) {
	d.detector.UpdateSelf(leaving, blocks)
	d.balancer.SetMembers(d.detector.Members())
}

// memberState is a member's state as logged.
type memberState int

const (
	stateUp memberState = iota + 1
	stateLeaving
	stateDown
)

// membersChanged is called with the members that have changed. It updates the
// balancer and logs members whose state differs from the one last logged.
func (d *Daemon) membersChanged(members []peer.Member) {
	d.balancer.SetMembers(d.detector.Members())
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		state, id := stateUp, event.MemberUp
		switch {
		case m.Down:
			state, id = stateDown, event.MemberDown
		case m.Leaving:
			state, id = stateLeaving, event.MemberLeaving
		}
		if d.loggedStates[m.Identity] != state {
			d.loggedStates[m.Identity] = state
			d.Log.Emit(id, event.Fields{Step: "members", Peer: m.Identity})
		}
	}
}

// compareTables fetches the member table of a member whose digest differs, unless
// the last comparison was too recent. The interval is randomized, between half and
// one and a half times its length.
func (d *Daemon) compareTables(from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Before(d.nextCompare) {
		return
	}
	interval := max(minCompareInterval, comparePerMember*time.Duration(len(d.loggedStates)))
	d.nextCompare = now.Add(interval/2 + rand.N(interval))
	go (&tableSync{daemon: d, from: from}).run()
}

// A tableSync fetches one member's table and merges it into this daemon's.
type tableSync struct {
	daemon *Daemon
	from   string
}

func (s *tableSync) run() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := s.daemon.fleetClient(peer.Address(s.from)).Members(ctx, &wire.MembersRequest{})
	if err == nil {
		s.daemon.detector.MergeTable(peer.Decode(resp.Members))
	}
}

// vmsListed is called with each VM list that was read. It updates the members and
// the balancer.
func (d *Daemon) vmsListed(l store.VMs) {
	members := make([]peer.Member, 0, len(l.VMs))
	for _, v := range l.VMs {
		members = append(members, peer.Member{Identity: v.Identity(), Domain: v.Domain})
	}
	d.detector.UpdateListed(members, l.Contains)
	d.balancer.SetMembers(d.detector.Members())
}
