// Package peer tracks the members of the fleet by heartbeats and gossip: which
// daemons exist, which of them are live, and which blocks of permits each holds.
package peer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bronzedoor.dev/bronzedoor/internal/permit"
)

// A Member is the state of one daemon, as reported by itself or by others.
type Member struct {
	Identity string // IP:PORT#START
	Domain   string
	Seq      uint64 // incremented by the member itself with each change; 0 if it was never heard from
	Leaving  bool   // it is draining and gets no new work
	Down     bool   // it stopped answering after it reported Seq
	Blocks   []permit.Block
}

// Address returns the IP:PORT part of an identity.
func Address(identity string) string {
	a, _, _ := strings.Cut(identity, "#")
	return a
}

// Live reports whether the member has been heard from, is up and takes new work.
func (m *Member) Live() bool {
	return !m.Down && !m.Leaving && m.Seq > 0
}

// minSends is the least number of times that a changed state is sent to others.
// Each doubling of the fleet adds one.
const minSends = 4

type entry struct {
	Member
	sendsLeft int    // how many more times this state is to be sent
	changeNum uint64 // Table.changes when this state was set
}

// A Table holds the state of all known members, the daemon itself included.
// Use NewTable to make one. It does no I/O and is not safe for concurrent use.
type Table struct {
	self    *entry
	members map[string]*entry
	targets []string // members left to ping in the current round, in random order
	digest  uint64   // XOR of the hashes of all members
	changes uint64   // number of state changes so far
	sorted  []Member // cached result of Members; nil after a change
}

// NewTable returns the table of a daemon that knows only itself. It sets the
// Seq of self to 1.
func NewTable(self Member) *Table {
	t := &Table{members: make(map[string]*entry)}
	self.Seq = 1
	t.self = &entry{Member: self}
	t.members[self.Identity] = t.self
	t.digest = hash(&t.self.Member)
	t.scheduleSends(t.self)
	return t
}

// Self returns the daemon's own state.
func (t *Table) Self() Member {
	return t.self.Member
}

// UpdateSelf sets Leaving and Blocks of the daemon itself. It increments Seq if
// they have changed.
func (t *Table) UpdateSelf(leaving bool, blocks []permit.Block) {
	if t.self.Leaving == leaving && slices.Equal(t.self.Blocks, blocks) {
		return
	}
	next := t.self.Member
	next.Leaving = leaving
	next.Blocks = blocks
	next.Seq++
	t.set(t.self, next)
}

// set replaces a member's state and schedules it to be sent to others.
func (t *Table) set(e *entry, next Member) {
	t.sorted = nil
	t.digest ^= hash(&e.Member)
	e.Member = next
	t.digest ^= hash(&e.Member)
	t.scheduleSends(e)
}

// scheduleSends makes e the latest change and resets the number of its sends.
func (t *Table) scheduleSends(e *entry) {
	t.changes++
	e.changeNum = t.changes
	e.sendsLeft = minSends
	for n := len(t.members); n > 1; n /= 2 {
		e.sendsLeft++
	}
}

// hash returns the hash of a member state, which is identified by Identity, Seq
// and Down.
func hash(m *Member) uint64 {
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], m.Seq)
	if m.Down {
		b[8] = 1
	}
	d := xxhash.New()
	_, _ = d.WriteString(m.Identity)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Digest returns a hash of all members with their Seq and Down. Tables with the
// same states have the same digest.
func (t *Table) Digest() uint64 {
	return t.digest
}

// MergeTable merges another daemon's whole table and returns the members whose
// state was new. Unlike Merge, it does not schedule them to be sent to others.
func (t *Table) MergeTable(members []Member) []Member {
	changed := t.Merge(members)
	for _, m := range changed {
		t.members[m.Identity].sendsLeft = 0
	}
	return changed
}

// Merge merges states received from another daemon and returns those that were
// new, which are then sent to others. The state with the higher Seq is newer;
// with the same Seq, down is newer than up.
func (t *Table) Merge(members []Member) []Member {
	var changed []Member
	for _, m := range members {
		if m.Identity == t.self.Identity {
			t.refute(m)
			continue
		}
		e := t.members[m.Identity]
		if e == nil {
			e = &entry{Member: Member{Identity: m.Identity}}
			t.members[m.Identity] = e
			t.digest ^= hash(&e.Member)
		} else if m.Seq < e.Seq || m.Seq == e.Seq && (e.Down || !m.Down) {
			continue
		}
		t.set(e, m)
		changed = append(changed, m)
	}
	return changed
}

// refute raises the daemon's own Seq above that of m if m, a state of the daemon
// that others hold, is newer than its own.
func (t *Table) refute(m Member) {
	if m.Seq < t.self.Seq || m.Seq == t.self.Seq && !m.Down {
		return
	}
	next := t.self.Member
	next.Seq = m.Seq + 1
	t.set(t.self, next)
}

// MarkDown marks a member as down. It reports whether the member is known, is not
// the daemon itself and was up.
func (t *Table) MarkDown(identity string) bool {
	e := t.members[identity]
	if e == nil || e == t.self || e.Down {
		return false
	}
	next := e.Member
	next.Down = true
	t.set(e, next)
	return true
}

// AddListed adds a member from the VM list of the platform, if it is not known.
// It counts as down until it is heard from.
func (t *Table) AddListed(identity, domain string) {
	if t.members[identity] != nil {
		return
	}
	t.sorted = nil
	e := &entry{Member: Member{Identity: identity, Domain: domain, Down: true}}
	t.members[identity] = e
	t.digest ^= hash(&e.Member)
}

// RemoveUnlisted removes the members that are down and for which listed returns
// false.
func (t *Table) RemoveUnlisted(listed func(identity string) bool) {
	for id, e := range t.members {
		if e == t.self || !e.Down || listed(id) {
			continue
		}
		t.sorted = nil
		t.digest ^= hash(&e.Member)
		delete(t.members, id)
	}
}

// Member returns the state of a member and whether it is known.
func (t *Table) Member(identity string) (Member, bool) {
	e := t.members[identity]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all members, sorted by identity. The slice is shared and must
// not be modified; a later change of the table makes a new one.
func (t *Table) Members() []Member {
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = make([]Member, 0, len(t.members))
	for _, e := range t.members {
		t.sorted = append(t.sorted, e.Member)
	}
	slices.SortFunc(t.sorted, func(a, b Member) int { return cmp.Compare(a.Identity, b.Identity) })
	return t.sorted
}

// TakeUpdates returns up to n members whose state is still to be sent to others,
// and counts each as sent once. The latest changes come first, so that the
// many states of a newly merged table do not delay the report of a failed member.
func (t *Table) TakeUpdates(n int) []Member {
	var pending []*entry
	for _, e := range t.members {
		if e.sendsLeft > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int { return cmp.Compare(b.changeNum, a.changeNum) })
	out := make([]Member, 0, n)
	for _, e := range pending[:min(n, len(pending))] {
		e.sendsLeft--
		out = append(out, e.Member)
	}
	return out
}

// NextTarget returns the member to ping next, or "" if there is none. Each member
// that is not down gets its turn once in a round, in random order, so that none
// is left out for long. If down is set, it returns a random member that is down.
func (t *Table) NextTarget(down bool) string {
	if down {
		return first(t.sample(1, "", func(m *Member) bool { return m.Down }))
	}
	for len(t.targets) > 0 {
		id := t.targets[0]
		t.targets = t.targets[1:]
		if e := t.members[id]; e != nil && !e.Down {
			return id
		}
	}
	t.targets = t.sample(len(t.members), "", func(m *Member) bool { return !m.Down })
	if len(t.targets) == 0 {
		return ""
	}
	id := t.targets[0]
	t.targets = t.targets[1:]
	return id
}

// Successor returns the member that follows the daemon on a ring ordered by the
// hash of the identity, or "" if there is none. Members that are down are
// skipped. Every member is the successor of one daemon, which pings it at a fixed
// interval; this bounds the time until its failure is detected.
func (t *Table) Successor() string {
	own := xxhash.Sum64String(t.self.Identity)
	best, minDistance := "", uint64(0)
	for id, e := range t.members {
		if e == t.self || e.Down {
			continue
		}
		if distance := xxhash.Sum64String(id) - own; best == "" || distance < minDistance {
			best, minDistance = id, distance
		}
	}
	return best
}

// Sample returns up to n random members other than the daemon and except. Members
// that are down are skipped.
func (t *Table) Sample(n int, except string) []string {
	return t.sample(n, except, func(m *Member) bool { return !m.Down })
}

// sample returns up to n random members that accept takes, other than the daemon
// and except.
func (t *Table) sample(n int, except string, accept func(*Member) bool) []string {
	var out []string
	for id, e := range t.members {
		if e != t.self && id != except && accept(&e.Member) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// first returns the first of ids, or "".
func first(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}
