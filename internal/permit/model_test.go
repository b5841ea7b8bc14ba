package permit

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/prop"
)

// model is the ledgers of a fleet for a single block, with a store, a VM list and
// a network that may duplicate, lose or delay every message.
type model struct {
	daemons   []daemon
	transfers []sentTransfer // all transfers ever sent; any may arrive again
	replies   []reply        // all replies ever sent; any may arrive again
	records   []record       // all versions of the stored record; any may be read
	vmLists   [][]bool       // all versions of the VM list: whether each daemon is listed
}

// daemon is one daemon of the model.
type daemon struct {
	ledger      *Ledger
	dead        bool
	listVersion int          // version of the VM list that it has read
	reissue     reissueRound // the reissue that it is carrying out
}

// sentTransfer is a transfer with its sender.
type sentTransfer struct {
	from     int
	transfer Transfer
}

// reply is a receiver's reply to a transfer.
type reply struct {
	sentTransfer
	accepted bool
}

// record is a version of the stored ownership record.
type record struct {
	owner string
	term  Term
}

// reissueRound is the state of a reissue: one daemon fences all others in turn.
type reissueRound struct {
	active      bool
	baseRecord  int // index of the record to be replaced
	listVersion int
	fenced      []bool // by daemon
}

var blockID = BlockID{Cell: "c", Index: 0}

func TestMain(m *testing.M) {
	prop.Main(m)
}

func daemonName(i int) string {
	return fmt.Sprintf("d%d", i)
}

// newModel returns a fleet of n daemons. The last one is not yet listed.
func newModel(n int) *model {
	m := &model{records: []record{{owner: daemonName(0), term: Term{Epoch: 1}}}}
	listed := make([]bool, n)
	for i := range n {
		m.daemons = append(m.daemons, daemon{ledger: NewLedger(daemonName(i)), reissue: reissueRound{fenced: make([]bool, n)}})
		listed[i] = i < n-1
	}
	m.vmLists = [][]bool{listed}
	return m
}

func (m *model) clone() *model {
	c := &model{
		transfers: slices.Clone(m.transfers),
		replies:   slices.Clone(m.replies),
		records:   slices.Clone(m.records),
		vmLists:   slices.Clone(m.vmLists),
	}
	for _, d := range m.daemons {
		l := NewLedger(d.ledger.self)
		for s, st := range d.ledger.blocks {
			next := *st
			l.blocks[s] = &next
		}
		d.ledger = l
		d.reissue.fenced = slices.Clone(d.reissue.fenced)
		c.daemons = append(c.daemons, d)
	}
	return c
}

// key returns a string that identifies the model's state.
func (m *model) key() string {
	var b strings.Builder
	for _, d := range m.daemons {
		fmt.Fprintf(&b, "%v %d %v|", d.dead, d.listVersion, d.reissue)
		if st := d.ledger.blocks[blockID]; st != nil {
			fmt.Fprintf(&b, "%v", *st)
		}
	}
	fmt.Fprint(&b, m.transfers, m.replies, m.records, m.vmLists)
	return b.String()
}

// owners returns the live daemons that own the block.
func (m *model) owners() []int {
	var out []int
	for i, d := range m.daemons {
		if !d.dead && d.ledger.Owns(blockID) {
			out = append(out, i)
		}
	}
	return out
}

// step is one possible transition of the model.
type step struct {
	name string
	do   func(m *model)
}

// limits keep the number of reachable states finite.
type limits struct {
	maxEpoch  uint64
	maxHop    uint64
	maxDeaths int
}

// steps returns all possible next steps.
func (m *model) steps(lim limits) []step {
	var out []step
	add := func(do func(m *model), format string, args ...any) {
		out = append(out, step{name: fmt.Sprintf(format, args...), do: do})
	}
	currentList := m.vmLists[len(m.vmLists)-1]
	deaths := 0
	for _, d := range m.daemons {
		if d.dead {
			deaths++
		}
	}
	for i, d := range m.daemons {
		if deaths < lim.maxDeaths && !d.dead {
			add(func(m *model) { m.daemons[i].dead = true }, "d%d dies", i)
		}
		if d.dead && currentList[i] {
			add(func(m *model) { m.setListed(i, false) }, "VM list drops d%d", i)
		}
		if !d.dead && !currentList[i] && i == len(m.daemons)-1 {
			add(func(m *model) { m.setListed(i, true) }, "VM list adds d%d", i)
		}
		if !d.dead {
			m.daemonSteps(add, i, lim)
		}
	}
	return out
}

// setListed appends a VM list that differs only in whether daemon i is listed.
func (m *model) setListed(i int, listed bool) {
	next := slices.Clone(m.vmLists[len(m.vmLists)-1])
	next[i] = listed
	m.vmLists = append(m.vmLists, next)
}

// daemonSteps adds the possible steps of daemon i.
func (m *model) daemonSteps(add func(do func(m *model), format string, args ...any), i int, lim limits) {
	d := m.daemons[i]
	for r, rec := range m.records {
		if rec.owner == daemonName(i) && !d.ledger.Owns(blockID) {
			add(func(m *model) {
				m.daemons[i].ledger.ApplyRecord(Block{BlockID: blockID, Term: m.records[r].term}, m.records[r].owner)
			}, "d%d reads record %d", i, r)
		}
	}
	if d.listVersion < len(m.vmLists)-1 {
		add(func(m *model) { m.daemons[i].listVersion++ }, "d%d reads next VM list", i)
	}
	term, _ := d.ledger.LastTerm(blockID)
	for j := range m.daemons {
		if d.ledger.Owns(blockID) && j != i && m.vmLists[d.listVersion][j] && term.Hop < lim.maxHop {
			add(func(m *model) { m.startTransfer(i, j) }, "d%d starts transfer to d%d", i, j)
		}
	}
	for _, t := range m.transfers {
		if t.transfer.To == daemonName(i) {
			add(func(m *model) { m.acceptTransfer(i, t) }, "d%d receives transfer %v", i, t)
		}
	}
	if st := d.ledger.blocks[blockID]; st != nil && st.receiver != "" {
		for j := range m.daemons {
			if st.receiver == daemonName(j) && !m.vmLists[d.listVersion][j] {
				add(func(m *model) { m.daemons[i].ledger.AbandonTransfers(daemonName(j)) }, "d%d abandons transfer to d%d", i, j)
			}
		}
	}
	for _, rep := range m.replies {
		if rep.from == i && d.ledger.blocks[blockID].receiver != "" {
			add(func(m *model) { m.daemons[i].ledger.FinishTransfer(rep.transfer, rep.accepted) }, "d%d receives reply %v", i, rep)
		}
	}
	if d.ledger.Owns(blockID) && m.lastRecord().term.Before(term) {
		add(func(m *model) { m.records = append(m.records, record{owner: daemonName(i), term: term}) }, "d%d writes record", i)
	}
	m.reissueSteps(add, i, lim)
}

func (m *model) lastRecord() record {
	return m.records[len(m.records)-1]
}

func (m *model) startTransfer(i, j int) {
	t, ok := m.daemons[i].ledger.StartTransfer(blockID, daemonName(j))
	if ok {
		m.transfers = append(m.transfers, sentTransfer{from: i, transfer: t})
	}
}

func (m *model) acceptTransfer(i int, t sentTransfer) {
	rep := reply{sentTransfer: t, accepted: m.daemons[i].ledger.AcceptTransfer(t.transfer.Block)}
	if !slices.Contains(m.replies, rep) {
		m.replies = append(m.replies, rep)
	}
}

// reissueSteps adds the steps of a reissue by daemon i: it fences every listed
// daemon, one at a time, and then replaces the record it started from.
func (m *model) reissueSteps(add func(do func(m *model), format string, args ...any), i int, lim limits) {
	d := m.daemons[i]
	list := m.vmLists[d.listVersion]
	if !d.reissue.active {
		if m.lastRecord().term.Epoch < lim.maxEpoch && list[i] && !d.ledger.Owns(blockID) {
			add(func(m *model) {
				m.daemons[i].reissue = reissueRound{active: true, baseRecord: len(m.records) - 1, listVersion: m.daemons[i].listVersion, fenced: make([]bool, len(m.daemons))}
			}, "d%d starts reissue", i)
		}
		return
	}
	list = m.vmLists[d.reissue.listVersion]
	done := true
	for j := range m.daemons {
		if !list[j] || d.reissue.fenced[j] {
			continue
		}
		done = false
		if !m.daemons[j].dead {
			add(func(m *model) { m.fence(i, j) }, "d%d fences d%d", i, j)
		}
	}
	if done {
		add(func(m *model) { m.finishReissue(i) }, "d%d finishes reissue", i)
	}
}

// fence makes daemon i fence daemon j, and cancels i's reissue if j owns or is
// transferring the block, or has a later VM list or a later epoch.
func (m *model) fence(i, j int) {
	d := &m.daemons[i]
	epoch := m.records[d.reissue.baseRecord].term.Epoch
	b, owned := m.daemons[j].ledger.Fence(blockID, epoch)
	if owned || m.daemons[j].listVersion > d.reissue.listVersion || b.Epoch > epoch {
		d.reissue = reissueRound{fenced: make([]bool, len(m.daemons))}
		return
	}
	d.reissue.fenced[j] = true
}

// finishReissue makes daemon i the recorded owner in the next epoch, unless the
// record has changed since the reissue started.
func (m *model) finishReissue(i int) {
	d := &m.daemons[i]
	if d.reissue.baseRecord == len(m.records)-1 {
		m.records = append(m.records, record{owner: daemonName(i), term: Term{Epoch: m.lastRecord().term.Epoch + 1}})
	}
	d.reissue = reissueRound{fenced: make([]bool, len(m.daemons))}
}

// TestOneOwnerSearch explores the states that three daemons can reach, breadth
// first, and checks that the block has at most one owner in each.
func TestOneOwnerSearch(t *testing.T) {
	is := is.New(t)
	const maxStates = 60_000
	lim := limits{maxEpoch: 2, maxHop: 2, maxDeaths: 1}
	start := newModel(3)
	seen := map[string]bool{start.key(): true}
	queue := []*model{start}
	reissued := false
	for len(queue) > 0 && len(seen) < maxStates {
		m := queue[0]
		queue = queue[1:]
		is.True(len(m.owners()) <= 1) // at most one owner
		reissued = reissued || m.lastRecord().term.Epoch == 2 && len(m.owners()) == 1
		for _, s := range m.steps(lim) {
			next := m.clone()
			s.do(next)
			if k := next.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, next)
			}
		}
	}
	is.True(reissued) // the exploration reached a reissued block
}

// TestOneOwnerDrawn checks the same for random, longer schedules of more daemons.
func TestOneOwnerDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(3, 6).Draw(t, "daemons"))
		lim := limits{maxEpoch: 4, maxHop: 6, maxDeaths: 2}
		for range rapid.IntRange(1, 80).Draw(t, "length") {
			steps := m.steps(lim)
			if len(steps) == 0 {
				return
			}
			s := steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]
			s.do(m)
			if owners := m.owners(); len(owners) > 1 {
				t.Fatalf("block has several owners after step %q: %v", s.name, owners)
			}
		}
	})
}

// TestLostBlockComesBack checks that a block can be reissued if the receiver of
// its unacknowledged transfer dies and leaves the VM list.
func TestLostBlockComesBack(t *testing.T) {
	is := is.New(t)
	m := newModel(3)
	m.daemons[0].ledger.ApplyRecord(Block{BlockID: blockID, Term: m.records[0].term}, daemonName(0))
	m.startTransfer(0, 1)
	m.daemons[1].dead = true
	m.setListed(1, false)
	m.daemons[0].listVersion = 1

	transfer := m.transfers[0].transfer
	b, owned := m.daemons[0].ledger.Fence(blockID, 1)
	is.True(owned) // an unacknowledged transfer prevents a reissue
	is.Equal(b.Term, Term{Epoch: 1})
	is.Equal(m.daemons[0].ledger.AbandonTransfers(transfer.To), []BlockID{blockID})

	_, owned = m.daemons[0].ledger.Fence(blockID, 1)
	is.True(!owned)                             // the block may be reissued now
	is.True(!m.daemons[0].ledger.Owns(blockID)) // the sender does not get it back
	next := Block{BlockID: blockID, Term: Term{Epoch: 2}}
	is.True(m.daemons[0].ledger.ApplyRecord(next, daemonName(0)))
	is.True(m.daemons[0].ledger.Owns(blockID))
}

func TestShareSumsToAll(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 25, 35, 40, 110} {
		for blocks := 1; blocks <= 16; blocks++ {
			sum := 0
			for i := range blocks {
				sum += Share(n, i, blocks)
			}
			is.Equal(sum, n) // the shares sum to n
		}
	}
}
