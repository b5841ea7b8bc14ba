package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/prop"
)

func TestMain(m *testing.M) {
	prop.Main(m)
}

// TestTablesConvergeDrawn merges the same states into two tables, in different
// orders and with duplicates, and checks that the digests are equal.
func TestTablesConvergeDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []Member
		for range rapid.IntRange(1, 12).Draw(t, "states") {
			states = append(states, Member{
				Identity: fmt.Sprintf("127.0.0.1:%d#s", rapid.IntRange(1, 4).Draw(t, "member")),
				Seq:      uint64(rapid.IntRange(1, 4).Draw(t, "seq")),
				Down:     rapid.Bool().Draw(t, "down"),
			})
		}
		self := Member{Identity: "127.0.0.1:9#s"}
		a, b := NewTable(self), NewTable(self)
		a.Merge(states)
		for _, m := range rapid.Permutation(states).Draw(t, "order") {
			b.Merge([]Member{m})
			b.Merge([]Member{m})
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("digests differ: members %v and %v", a.Members(), b.Members())
		}
	})
}

func TestTableRefutesDown(t *testing.T) {
	is := is.New(t)
	a := NewTable(Member{Identity: "127.0.0.1:1#s"})
	a.Merge([]Member{{Identity: "127.0.0.1:1#s", Seq: 7, Down: true}})
	is.Equal(a.Self().Seq, uint64(8)) // higher than the Seq that others have
	is.True(!a.Self().Down)
}

// fleet is a group of detectors on an in-memory network.
type fleet struct {
	network   *fakes.Network
	detectors []*Detector
	conns     []net.PacketConn
}

func newFleet(t *testing.T, n int) *fleet {
	is := is.New(t)
	f := &fleet{network: fakes.NewNetwork(1)}
	var members []Member
	for range n {
		address := f.network.NewAddress()
		c, err := f.network.ListenPacket(address)
		is.NoErr(err)
		s := &Socket{Conn: memoryConn{c}}
		d := &Detector{Self: Member{Identity: address + "#s"}, Revision: func() uint64 { return 0 }}
		d.Send = func(to string, data []byte) { _, _ = c.WriteTo(data, memoryAddr(to)) }
		s.Detector = d
		d.Init()
		s.Start()
		members = append(members, Member{Identity: d.Self.Identity, Seq: 1})
		f.detectors = append(f.detectors, d)
		f.conns = append(f.conns, c)
	}
	for _, d := range f.detectors {
		d.MergeTable(members)
		is.NoErr(d.Start(t.Context()))
	}
	return f
}

type memoryConn struct{ net.PacketConn }

type memoryAddr string

func (a memoryAddr) Network() string { return "memory" }
func (a memoryAddr) String() string  { return string(a) }

func (f *fleet) stop() {
	for i, d := range f.detectors {
		_ = d.Stop(context.Background())
		_ = f.conns[i].Close()
	}
}

// countDown returns the number of detectors that have marked detector i as down,
// leaving out i and those in skip.
func (f *fleet) countDown(i int, skip ...int) int {
	n := 0
	for j, d := range f.detectors {
		if j == i || slices.Contains(skip, j) {
			continue
		}
		d.mu.Lock()
		if m, ok := d.table.Member(f.detectors[i].Self.Identity); ok && m.Down {
			n++
		}
		d.mu.Unlock()
	}
	return n
}

// detectionLimit is the time within which all members must have marked a failed
// member as down.
const detectionLimit = 2 * time.Second

func TestDeadMemberIsDetected(t *testing.T) {
	for _, n := range []int{8, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, n)
				defer f.stop()
				time.Sleep(3 * time.Second)
				is.NoErr(f.detectors[0].Stop(t.Context()))
				_ = f.conns[0].Close()
				time.Sleep(detectionLimit)
				is.Equal(f.countDown(0), n-1)
			})
		})
	}
}

func TestPacketLossDoesNotMarkDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 16)
		defer f.stop()
		flaps := 0
		for _, d := range f.detectors {
			d.OnChange = func(members []Member) {
				for _, m := range members {
					if m.Down {
						flaps++
					}
				}
			}
		}
		f.network.SetLoss(0.01)
		time.Sleep(5 * time.Minute)
		is.Equal(flaps, 0)
	})
}

func TestPausedMemberReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 8)
		defer f.stop()
		paused := Address(f.detectors[3].Self.Identity)
		f.network.SetCut(func(from, to string) bool { return from == paused || to == paused })
		time.Sleep(5 * time.Second)
		is.Equal(f.countDown(3), 7)
		f.network.SetCut(nil)
		time.Sleep(5 * time.Second)
		is.Equal(f.countDown(3), 0)
	})
}

func TestRegionsPartAndMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		defer f.stop()
		sideA := make(map[string]bool)
		for _, d := range f.detectors[:6] {
			sideA[Address(d.Self.Identity)] = true
		}
		f.network.SetCut(func(from, to string) bool { return sideA[from] != sideA[to] })
		time.Sleep(time.Hour)
		is.Equal(f.countDown(0, 6, 7, 8, 9, 10, 11), 0) // each side sees all its own members as up
		is.Equal(f.countDown(0), 6)                     // and all of the other side as down
		f.network.SetCut(nil)
		time.Sleep(15 * time.Second)
		for i := range f.detectors {
			is.Equal(f.countDown(i), 0) // all members see each other as up again
		}
	})
}

// TestOutdatedStateIsCorrected gives one member an outdated state of another, which
// says that it is down. The current one is not gossiped any more, so that only the
// answer to a ping can carry it.
func TestOutdatedStateIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		defer f.stop()
		time.Sleep(time.Second)
		other := f.detectors[1]
		other.mu.Lock()
		other.table.self.Seq = 2
		other.table.self.sendsLeft = 0
		other.mu.Unlock()
		f.detectors[0].MarkDown(other.Self.Identity)
		f.detectors[0].mu.Lock()
		f.detectors[0].table.members[other.Self.Identity].sendsLeft = 0
		f.detectors[0].mu.Unlock()
		is.Equal(f.countDown(1), 1)
		time.Sleep(2 * downPingEvery * PingInterval)
		is.Equal(f.countDown(1), 0)
	})
}

// TestHeardMemberIsNotMarkedDown loses the ack of one ping, while other messages of
// the member come in.
func TestHeardMemberIsNotMarkedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		defer f.stop()
		d, other := f.detectors[0], f.detectors[1].Self.Identity
		d.mu.Lock()
		d.probes[1<<40] = &probe{target: other, deadline: time.Now().Add(relayTimeout), relayed: true}
		d.mu.Unlock()
		time.Sleep(2 * PingInterval)
		is.Equal(f.countDown(1), 0)
	})
}
