// Package peer keeps what daemons know of each other: who exists, who answers
// now, and which blocks of permits each of them holds.
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

// A Member is what a daemon says of itself, or others of it.
type Member struct {
	Identity string // IP:PORT#START
	Domain   string
	Seq      uint64 // raised by the member itself with each change; 0 if it was never heard
	Leaving  bool   // it gets no new work
	Down     bool   // it did not answer in this Seq
	Blocks   []permit.Block
}

// Address returns the IP number and port of an identity.
func Address(identity string) string {
	a, _, _ := strings.Cut(identity, "#")
	return a
}

// Live reports whether the member answers and takes new work.
func (m *Member) Live() bool {
	return !m.Down && !m.Leaving && m.Seq > 0
}

// spreads is how often a news item is passed on at least; once more for each
// doubling of the fleet.
const spreads = 4

type entry struct {
	Member
	left int    // times that this state is still to be passed on
	at   uint64 // when it became news, in the table's order
}

// A Table holds the members by identity. Use NewTable to make one. It does no
// I/O and is not safe for concurrent use.
type Table struct {
	self    *entry
	members map[string]*entry
	order   []string // targets of the current round, in random order
	digest  uint64   // of all members
	clock   uint64   // orders news
	sorted  []Member // all members by identity; nil after a change
}

// NewTable returns the table of a daemon that knows only itself.
func NewTable(self Member) *Table {
	t := &Table{members: make(map[string]*entry)}
	self.Seq = 1
	t.self = &entry{Member: self}
	t.members[self.Identity] = t.self
	t.digest = hash(&t.self.Member)
	t.spread(t.self)
	return t
}

// Self returns what the daemon says of itself.
func (t *Table) Self() Member {
	return t.self.Member
}

// Say changes what the daemon says of itself.
func (t *Table) Say(leaving bool, blocks []permit.Block) {
	if t.self.Leaving == leaving && slices.Equal(t.self.Blocks, blocks) {
		return
	}
	next := t.self.Member
	next.Leaving = leaving
	next.Blocks = blocks
	next.Seq++
	t.set(t.self, next)
}

// set replaces a member's state and marks it as news.
func (t *Table) set(e *entry, next Member) {
	t.sorted = nil
	t.digest ^= hash(&e.Member)
	e.Member = next
	t.digest ^= hash(&e.Member)
	t.spread(e)
}

func (t *Table) spread(e *entry) {
	t.clock++
	e.at = t.clock
	e.left = spreads
	for n := len(t.members); n > 1; n /= 2 {
		e.left++
	}
}

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

// Digest returns a number that is equal for tables that hold the same.
func (t *Table) Digest() uint64 {
	return t.digest
}

// Learn takes in another daemon's whole table, which others need not be told
// of. It returns what was new.
func (t *Table) Learn(members []Member) []Member {
	news := t.Merge(members)
	for _, m := range news {
		t.members[m.Identity].left = 0
	}
	return news
}

// Merge takes in what another daemon says, and returns what was new, which is
// to be passed on. A member with the higher Seq is newer; with the same Seq,
// down is newer than up.
func (t *Table) Merge(members []Member) []Member {
	var news []Member
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
		news = append(news, m)
	}
	return news
}

// refute raises the daemon's own sequence when others have it wrong.
func (t *Table) refute(m Member) {
	if m.Seq < t.self.Seq || m.Seq == t.self.Seq && !m.Down {
		return
	}
	next := t.self.Member
	next.Seq = m.Seq + 1
	t.set(t.self, next)
}

// Down notes that a member does not answer. It reports whether that is new.
func (t *Table) Down(identity string) bool {
	e := t.members[identity]
	if e == nil || e == t.self || e.Down {
		return false
	}
	next := e.Member
	next.Down = true
	t.set(e, next)
	return true
}

// Add makes a member known that the platform lists. It counts as down until it
// is heard.
func (t *Table) Add(identity, domain string) {
	if t.members[identity] != nil {
		return
	}
	t.sorted = nil
	e := &entry{Member: Member{Identity: identity, Domain: domain, Down: true}}
	t.members[identity] = e
	t.digest ^= hash(&e.Member)
}

// Keep forgets the down members that listed does not accept.
func (t *Table) Keep(listed func(identity string) bool) {
	for id, e := range t.members {
		if e == t.self || !e.Down || listed(id) {
			continue
		}
		t.sorted = nil
		t.digest ^= hash(&e.Member)
		delete(t.members, id)
	}
}

// Member returns a member, and whether it is known.
func (t *Table) Member(identity string) (Member, bool) {
	e := t.members[identity]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns all members by identity. The slice is shared and must not be
// changed; a later change of the table makes a new one.
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

// News returns up to n members whose state is still to be passed on, and
// counts them as passed on once. The newest go first, so that a whole table
// that was just learnt does not hold up a death.
func (t *Table) News(n int) []Member {
	var hot []*entry
	for _, e := range t.members {
		if e.left > 0 {
			hot = append(hot, e)
		}
	}
	slices.SortFunc(hot, func(a, b *entry) int { return cmp.Compare(b.at, a.at) })
	out := make([]Member, 0, n)
	for _, e := range hot[:min(n, len(hot))] {
		e.left--
		out = append(out, e.Member)
	}
	return out
}

// Next returns the member to ping next: every live one once in a round, in
// random order, or a down one when down is set. It returns "" if there is none.
func (t *Table) Next(down bool) string {
	if down {
		return pick(t.some(1, "", func(m *Member) bool { return m.Down }))
	}
	for len(t.order) > 0 {
		id := t.order[0]
		t.order = t.order[1:]
		if e := t.members[id]; e != nil && !e.Down {
			return id
		}
	}
	t.order = t.some(len(t.members), "", func(m *Member) bool { return !m.Down })
	if len(t.order) == 0 {
		return ""
	}
	id := t.order[0]
	t.order = t.order[1:]
	return id
}

// Successor returns the live member that follows the daemon in the order of
// their hashes, or "". Every member has one daemon that pings it at a fixed
// pace, which bounds the time until its death is seen.
func (t *Table) Successor() string {
	own := xxhash.Sum64String(t.self.Identity)
	best, least := "", uint64(0)
	for id, e := range t.members {
		if e == t.self || e.Down {
			continue
		}
		if d := xxhash.Sum64String(id) - own; best == "" || d < least {
			best, least = id, d
		}
	}
	return best
}

// Some returns up to n other live members at random, except one.
func (t *Table) Some(n int, except string) []string {
	return t.some(n, except, func(m *Member) bool { return !m.Down })
}

func (t *Table) some(n int, except string, accept func(*Member) bool) []string {
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

func pick(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}
