package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedoor.dev/bronzedoor/internal/wire"
)

// A probe is a ping that has not been acked.
type probe struct {
	target   string
	deadline time.Time
	relayed  bool // other members have been asked to ping the target
}

// A relay is a ping sent on request of another member.
type relay struct {
	requester string // address of the member that asked
	number    uint64 // number of its own ping
	deadline  time.Time
}

// newBeat returns a message of type t that carries pending member updates.
func (d *Detector) newBeat(t wire.Beat_Type, number uint64) *wire.Beat {
	return &wire.Beat{
		Type:     t,
		From:     d.Self.Identity,
		Number:   number,
		Revision: d.Revision(),
		Digest:   d.table.Digest(),
		Members:  Encode(d.table.TakeUpdates(membersPerBeat)),
	}
}

func (d *Detector) send(address string, m *wire.Beat) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		return
	}
	if d.CountSent != nil {
		d.CountSent(len(data))
	}
	d.Send(address, data)
}

// ping sends the pings of one round: alternately to the daemon's successor and to
// the next random target, and in some rounds also to a member that is down.
func (d *Detector) ping() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rounds++
	if d.rounds%downPingEvery == 0 {
		if id := d.table.NextTarget(true); id != "" {
			d.lastNumber++
			m := d.newBeat(wire.Beat_PING, d.lastNumber)
			d.addIfDown(m, id)
			d.send(Address(id), m)
		}
	}
	id := ""
	if d.rounds%2 == 0 {
		id = d.table.Successor()
	} else {
		id = d.table.NextTarget(false)
	}
	if id == "" {
		return
	}
	d.lastNumber++
	d.probes[d.lastNumber] = &probe{target: id, deadline: time.Now().Add(ackTimeout)}
	d.send(Address(id), d.newBeat(wire.Beat_PING, d.lastNumber))
}

// expireProbes handles pings that were not acked in time. At the first timeout it
// asks other members to ping the target; at the second it marks the target down.
// It also forgets relays whose target did not ack.
func (d *Detector) expireProbes(now time.Time) {
	var failed []string
	d.mu.Lock()
	for n, r := range d.relays {
		if now.After(r.deadline) {
			delete(d.relays, n)
		}
	}
	for n, p := range d.probes {
		if now.Before(p.deadline) {
			continue
		}
		if p.relayed {
			delete(d.probes, n)
			failed = append(failed, p.target)
			continue
		}
		p.relayed = true
		p.deadline = now.Add(relayTimeout)
		d.requestRelays(n, p.target)
	}
	d.mu.Unlock()
	for _, id := range failed {
		d.MarkDown(id)
	}
}

// requestRelays asks some members to ping target, and to return its ack under the
// number of the first ping.
func (d *Detector) requestRelays(number uint64, target string) {
	for _, id := range d.table.Sample(relayCount, target) {
		m := d.newBeat(wire.Beat_RELAY, number)
		m.Subject = target
		d.send(Address(id), m)
	}
	// Ping the target again as well: a single lost datagram does not mean that it failed.
	d.send(Address(target), d.newBeat(wire.Beat_PING, number))
}

// handle handles one received datagram. Invalid ones are ignored.
func (d *Detector) handle(p Packet) {
	var m wire.Beat
	if err := proto.Unmarshal(p.Data, &m); err != nil {
		return
	}
	if d.CountReceived != nil {
		d.CountReceived(len(p.Data))
	}
	d.merge(Decode(m.Members))
	d.mu.Lock()
	d.dropProbes(m.From)
	d.respond(p.From, &m)
	mismatch := m.Digest != d.table.Digest()
	d.mu.Unlock()
	if m.Revision > d.Revision() && d.OnNewerRevision != nil {
		d.OnNewerRevision(m.From, m.Revision)
	}
	if mismatch && d.OnDigestMismatch != nil {
		d.OnDigestMismatch(m.From)
	}
}

// dropProbes drops the pings of a member that has just been heard from: it is up,
// even if the ack of one of them is lost or late.
func (d *Detector) dropProbes(identity string) {
	for n, p := range d.probes {
		if p.target == identity {
			delete(d.probes, n)
		}
	}
}

func (d *Detector) respond(from string, m *wire.Beat) {
	switch m.Type {
	case wire.Beat_PING:
		ack := d.newBeat(wire.Beat_ACK, m.Number)
		d.addIfDown(ack, m.From)
		d.addIfOutdated(ack, m)
		d.send(from, ack)
	case wire.Beat_ACK:
		d.handleAck(m)
	case wire.Beat_RELAY:
		d.lastNumber++
		d.relays[d.lastNumber] = relay{requester: from, number: m.Number, deadline: time.Now().Add(time.Second)}
		d.send(Address(m.Subject), d.newBeat(wire.Beat_PING, d.lastNumber))
	}
}

// addIfDown adds the state of the member that the message goes to if it is marked
// down, so that the member can refute that.
func (d *Detector) addIfDown(beat *wire.Beat, identity string) {
	if m, ok := d.table.Member(identity); ok && m.Down {
		beat.Members = append(beat.Members, Encode([]Member{m})...)
	}
}

// addIfOutdated adds the daemon's own state to its answer to a message that carries
// an older one. The current state has been gossiped as often as the table allows, and
// may have missed the sender each time.
func (d *Detector) addIfOutdated(answer, received *wire.Beat) {
	self := d.table.Self()
	for _, m := range Decode(received.Members) {
		if m.Identity == self.Identity && m.Seq < self.Seq {
			answer.Members = append(answer.Members, Encode([]Member{self})...)
			return
		}
	}
}

// handleAck passes the ack of a relayed ping on to the member that asked for it,
// or ends the probe of an own ping.
func (d *Detector) handleAck(m *wire.Beat) {
	if r, ok := d.relays[m.Number]; ok {
		delete(d.relays, m.Number)
		ack := d.newBeat(wire.Beat_ACK, r.number)
		d.send(r.requester, ack)
		return
	}
	delete(d.probes, m.Number)
}

// gossip sends a round of gossip if one is scheduled and gossipInterval has passed.
func (d *Detector) gossip() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.gossipsLeft == 0 || now.Before(d.nextGossip) {
		return
	}
	d.gossipsLeft--
	d.nextGossip = now.Add(gossipInterval)
	for _, id := range d.table.Sample(gossipFanout, "") {
		d.send(Address(id), d.newBeat(wire.Beat_RUMOR, 0))
	}
}
