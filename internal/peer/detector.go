package peer

import (
	"context"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/ring"
)

// Intervals and timeouts of the heartbeats.
const (
	PingInterval   = 250 * time.Millisecond // between two pings sent by a daemon
	ackTimeout     = 150 * time.Millisecond // time for an ack; after it other members are asked to ping
	relayTimeout   = 200 * time.Millisecond // time for an ack after that; after it the member counts as down
	tick           = 50 * time.Millisecond  // resolution of the timeouts
	gossipInterval = 50 * time.Millisecond  // between two rounds of gossip of a daemon
)

// Counts and sizes of the heartbeats.
const (
	relayCount     = 3       // members asked to ping a target that did not ack
	gossipFanout   = 4       // members that one round of gossip goes to
	gossipRounds   = 2       // rounds of gossip after a change, each to newly chosen random members
	membersPerBeat = 6       // member updates in one datagram
	downPingEvery  = 4       // rounds of pings per ping to a member that is down
	inboxSize      = 1024    // datagrams received and not yet handled; beyond it the oldest are dropped
	maxDatagram    = 8 << 10 // bytes; larger messages are not sent
)

// A Packet is a received datagram.
type Packet struct {
	From string // IP:PORT of the sender
	Data []byte
}

// A Detector keeps a Table up to date: it pings members, marks those as down that
// do not answer, and gossips state changes. Set the exported fields and call Init,
// then Start. Send, Revision and CountSent are called with a lock held and must not
// call the Detector.
type Detector struct {
	Self             Member
	Send             func(address string, data []byte) // sends one datagram; loss is allowed
	Revision         func() uint64                     // configuration revision in force here
	OnNewerRevision  func(from string, rev uint64)     // a member has a newer configuration revision; may be nil
	OnChange         func(members []Member)            // members have a new state; may be nil
	OnDigestMismatch func(from string)                 // the digest of a member's table differs; may be nil
	CountSent        func(bytes int)                   // counts the bytes sent; may be nil
	CountReceived    func(bytes int)                   // counts the bytes received; may be nil

	mu          sync.Mutex
	table       *Table
	inbox       *ring.Ring[Packet]
	lastNumber  uint64            // of pings
	probes      map[uint64]*probe // by ping number
	relays      map[uint64]relay  // pings sent on request of others, by ping number
	rounds      int               // rounds of pings so far
	nextGossip  time.Time         // earliest time of the next round of gossip
	gossipsLeft int               // rounds of gossip still to send
	goroutines  kernel.Group
}

// Init creates the table, so that members can be merged before Start.
func (d *Detector) Init() {
	d.table = NewTable(d.Self)
	d.inbox = ring.New[Packet](inboxSize)
	d.probes = make(map[uint64]*probe)
	d.relays = make(map[uint64]relay)
}

// Start starts sending and handling heartbeats. It always returns nil.
func (d *Detector) Start(ctx context.Context) error {
	ctx = d.goroutines.Begin(ctx, 1)
	go d.loop(ctx)
	return nil
}

// Stop stops the heartbeats and waits until the goroutine has returned.
func (d *Detector) Stop(context.Context) error {
	d.goroutines.Stop()
	return nil
}

// Receive queues a datagram to be handled. It never blocks: if the queue is full,
// the oldest datagram is dropped, as the network may drop any.
func (d *Detector) Receive(p Packet) {
	d.inbox.Put(p)
}

// loop sends pings and handles datagrams until ctx ends.
func (d *Detector) loop(ctx context.Context) {
	defer d.goroutines.Done()
	t := time.NewTicker(tick)
	defer t.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.inbox.Ready():
			for _, p := range d.inbox.Take() {
				d.handle(p)
			}
		case <-t.C:
			now := time.Now()
			d.expireProbes(now)
			if !now.Before(next) {
				next = now.Add(PingInterval)
				d.ping()
			}
		}
		d.gossip()
	}
}

// Members returns all known members, sorted by identity. The slice is shared and
// must not be modified.
func (d *Detector) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Members()
}

// Digest returns a hash of the members, as Table.Digest does.
func (d *Detector) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Digest()
}

// UpdateSelf sets Leaving and Blocks of the daemon itself, and gossips them if
// they have changed.
func (d *Detector) UpdateSelf(leaving bool, blocks []permit.Block) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.table.Self().Seq
	d.table.UpdateSelf(leaving, blocks)
	d.gossipSoon(d.table.Self().Seq != before)
}

// MergeTable merges another daemon's whole table, without gossiping what is new.
func (d *Detector) MergeTable(members []Member) {
	d.mu.Lock()
	changed := d.table.MergeTable(members)
	d.mu.Unlock()
	d.notifyChange(changed)
}

// merge merges the members of a received heartbeat and gossips what is new.
func (d *Detector) merge(members []Member) {
	d.mu.Lock()
	changed := d.table.Merge(members)
	d.gossipSoon(len(changed) > 0)
	d.mu.Unlock()
	d.notifyChange(changed)
}

// GossipNow starts rounds of gossip, so that some members learn the current state
// and configuration revision of this daemon without delay.
func (d *Detector) GossipNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gossipSoon(true)
}

// UpdateListed adds the members of the VM list of the platform, and removes those
// that are down and for which listed returns false. Of add it uses the identity
// and the failure domain.
func (d *Detector) UpdateListed(add []Member, listed func(identity string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range add {
		d.table.AddListed(m.Identity, m.Domain)
	}
	d.table.RemoveUnlisted(listed)
}

// MarkDown marks a member as down. Callers may also use it when other traffic
// shows that the member does not answer.
func (d *Detector) MarkDown(identity string) {
	d.mu.Lock()
	m, _ := d.table.Member(identity)
	changed := d.table.MarkDown(identity)
	d.gossipSoon(changed)
	d.mu.Unlock()
	if changed {
		m.Down = true
		d.notifyChange([]Member{m})
	}
}

// gossipSoon schedules rounds of gossip if the table has changed.
func (d *Detector) gossipSoon(changed bool) {
	if changed {
		d.gossipsLeft = gossipRounds
	}
}

func (d *Detector) notifyChange(members []Member) {
	if len(members) > 0 && d.OnChange != nil {
		d.OnChange(members)
	}
}
