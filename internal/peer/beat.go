package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/internal/ring"
	"bronzedoor.dev/bronzedoor/internal/wire"
)

// Times of the heartbeats.
const (
	Every      = 250 * time.Millisecond // between two pings of one daemon
	ackWait    = 150 * time.Millisecond // until other members are asked to ping
	relayWait  = 200 * time.Millisecond // from then until the member counts as down
	tick       = 50 * time.Millisecond  // resolution of the waits
	rumorEvery = 50 * time.Millisecond  // between two rumors of one daemon
)

// Sizes of the heartbeats.
const (
	helpers     = 3    // members asked to ping
	rumorTo     = 4    // members told of news at once
	rumorRounds = 2    // times that they are told, each time others
	newsPer     = 6    // members in one datagram
	downEach    = 4    // every so many pings one goes to a member that is down
	inbox       = 1024 // datagrams that wait
	maxDatagram = 8 << 10
)

// A Packet is one received datagram.
type Packet struct {
	From string // IP number and port
	Data []byte
}

// A Beater sends and answers heartbeats. Set the exported fields, then Start.
type Beater struct {
	Self     Member
	Send     func(address string, data []byte) // sends one datagram; loss is allowed
	Revision func() uint64                     // configuration in force here
	Newer    func(from string, rev uint64)     // a member has a newer configuration; may be nil
	Changed  func(members []Member)            // members whose state is new; may be nil
	Differ   func(from string)                 // a member's table differs; may be nil
	Sent     func(bytes int)                   // counts what is sent; may be nil
	Got      func(bytes int)                   // counts what is received; may be nil

	mu      sync.Mutex
	table   *Table
	in      *ring.Ring[Packet]
	number  uint64
	waits   map[uint64]*wait
	favours map[uint64]favour // pings sent for others, by number
	pings   int
	rumorAt time.Time // not before
	rumors  int       // rounds of news to tell at once
	duties  kern.Group
}

// A wait is a ping that has no answer yet.
type wait struct {
	target string
	due    time.Time
	asked  bool // other members were asked to ping
}

// A favour is a ping sent for another member.
type favour struct {
	address string // of the member that asked
	number  uint64 // of its ping
	due     time.Time
}

// Init makes the beater's table, so that members can be merged before Start.
func (b *Beater) Init() {
	b.table = NewTable(b.Self)
	b.in = ring.New[Packet](inbox)
	b.waits = make(map[uint64]*wait)
	b.favours = make(map[uint64]favour)
}

// Start starts the heartbeats.
func (b *Beater) Start(ctx context.Context) error {
	ctx = b.duties.Begin(ctx, 1)
	go b.loop(ctx)
	return nil
}

// Stop ends the heartbeats.
func (b *Beater) Stop(context.Context) error {
	b.duties.Stop()
	return nil
}

// Receive takes in a datagram. When too many wait, the oldest is dropped, as
// the network may do.
func (b *Beater) Receive(p Packet) {
	b.in.Put(p)
}

// loop sends pings and handles datagrams until ctx ends.
func (b *Beater) loop(ctx context.Context) {
	defer b.duties.Done()
	t := time.NewTicker(tick)
	defer t.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.in.Ready():
			for _, p := range b.in.Take() {
				b.handle(p)
			}
		case <-t.C:
			now := time.Now()
			b.expire(now)
			if !now.Before(next) {
				next = now.Add(Every)
				b.ping()
			}
		}
		b.tell()
	}
}

// Members returns what is known of the fleet.
func (b *Beater) Members() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Members()
}

// Digest returns a number that differs when Members does.
func (b *Beater) Digest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Digest()
}

// Say changes what the daemon says of itself.
func (b *Beater) Say(leaving bool, blocks []permit.Block) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.table.Self().Seq
	b.table.Say(leaving, blocks)
	b.hurry(b.table.Self().Seq != before)
}

// Learn takes in another daemon's whole table.
func (b *Beater) Learn(members []Member) {
	b.mu.Lock()
	news := b.table.Learn(members)
	b.mu.Unlock()
	b.changed(news)
}

// merge takes in members that came with a heartbeat.
func (b *Beater) merge(members []Member) {
	b.mu.Lock()
	news := b.table.Merge(members)
	b.hurry(len(news) > 0)
	b.mu.Unlock()
	b.changed(news)
}

// Rumor tells some members at once what is new here.
func (b *Beater) Rumor() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hurry(true)
}

// List takes in the identities that the platform lists, by failure domain.
func (b *Beater) List(add []Member, listed func(identity string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range add {
		b.table.Add(m.Identity, m.Domain)
	}
	b.table.Keep(listed)
}

// Lost notes from other traffic that a member does not answer.
func (b *Beater) Lost(identity string) {
	b.mu.Lock()
	m, _ := b.table.Member(identity)
	down := b.table.Down(identity)
	b.hurry(down)
	b.mu.Unlock()
	if down {
		m.Down = true
		b.changed([]Member{m})
	}
}

// hurry makes the next rounds of news follow at once.
func (b *Beater) hurry(news bool) {
	if news {
		b.rumors = rumorRounds
	}
}

func (b *Beater) changed(news []Member) {
	if len(news) > 0 && b.Changed != nil {
		b.Changed(news)
	}
}

// message returns a message of that type with news aboard.
func (b *Beater) message(t wire.Beat_Type, number uint64) *wire.Beat {
	return &wire.Beat{
		Type:     t,
		From:     b.Self.Identity,
		Number:   number,
		Revision: b.Revision(),
		Digest:   b.table.Digest(),
		Members:  Encode(b.table.News(newsPer)),
	}
}

func (b *Beater) send(address string, m *wire.Beat) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return
	}
	if b.Sent != nil {
		b.Sent(len(data))
	}
	b.Send(address, data)
}

// ping sends the next ping.
func (b *Beater) ping() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pings++
	if b.pings%downEach == 0 {
		if id := b.table.Next(true); id != "" {
			b.number++
			m := b.message(wire.Beat_PING, b.number)
			b.remind(m, id)
			b.send(Address(id), m)
		}
	}
	id := ""
	if b.pings%2 == 0 {
		id = b.table.Successor()
	} else {
		id = b.table.Next(false)
	}
	if id == "" {
		return
	}
	b.number++
	b.waits[b.number] = &wait{target: id, due: time.Now().Add(ackWait)}
	b.send(Address(id), b.message(wire.Beat_PING, b.number))
}

// expire asks others about members that did not answer in time, and takes
// those for down that did not answer them either.
func (b *Beater) expire(now time.Time) {
	var lost []string
	b.mu.Lock()
	for n, f := range b.favours {
		if now.After(f.due) {
			delete(b.favours, n)
		}
	}
	for n, w := range b.waits {
		if now.Before(w.due) {
			continue
		}
		if w.asked {
			delete(b.waits, n)
			lost = append(lost, w.target)
			continue
		}
		w.asked = true
		w.due = now.Add(relayWait)
		b.ask(n, w.target)
	}
	b.mu.Unlock()
	for _, id := range lost {
		b.Lost(id)
	}
}

func (b *Beater) ask(number uint64, target string) {
	for _, id := range b.table.Some(helpers, target) {
		m := b.message(wire.Beat_RELAY, number)
		m.Subject = target
		b.send(Address(id), m)
	}
	// The member itself is asked once more: one lost datagram is no sign.
	b.send(Address(target), b.message(wire.Beat_PING, number))
}

// handle takes in one datagram.
func (b *Beater) handle(p Packet) {
	var m wire.Beat
	if err := proto.Unmarshal(p.Data, &m); err != nil {
		return
	}
	if b.Got != nil {
		b.Got(len(p.Data))
	}
	b.merge(Decode(m.Members))
	b.mu.Lock()
	b.answer(p.From, &m)
	differ := m.Digest != b.table.Digest()
	b.mu.Unlock()
	if m.Revision > b.Revision() && b.Newer != nil {
		b.Newer(m.From, m.Revision)
	}
	if differ && b.Differ != nil {
		b.Differ(m.From)
	}
}

func (b *Beater) answer(from string, m *wire.Beat) {
	switch m.Type {
	case wire.Beat_PING:
		ack := b.message(wire.Beat_ACK, m.Number)
		b.remind(ack, m.From)
		b.send(from, ack)
	case wire.Beat_ACK:
		b.acked(m)
	case wire.Beat_RELAY:
		b.number++
		b.favours[b.number] = favour{address: from, number: m.Number, due: time.Now().Add(time.Second)}
		b.send(Address(m.Subject), b.message(wire.Beat_PING, b.number))
	}
}

// remind tells a member that it is taken for down, so that it refutes it.
func (b *Beater) remind(beat *wire.Beat, identity string) {
	if m, ok := b.table.Member(identity); ok && m.Down {
		beat.Members = append(beat.Members, Encode([]Member{m})...)
	}
}

func (b *Beater) acked(m *wire.Beat) {
	if f, ok := b.favours[m.Number]; ok {
		delete(b.favours, m.Number)
		ack := b.message(wire.Beat_ACK, f.number)
		b.send(f.address, ack)
		return
	}
	delete(b.waits, m.Number)
}

// tell passes news on to some members at once.
func (b *Beater) tell() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.rumors == 0 || now.Before(b.rumorAt) {
		return
	}
	b.rumors--
	b.rumorAt = now.Add(rumorEvery)
	for _, id := range b.table.Some(rumorTo, "") {
		b.send(Address(id), b.message(wire.Beat_RUMOR, 0))
	}
}
