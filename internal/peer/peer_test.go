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

	"bronzedoor.dev/bronzedoor/internal/draw"
	"bronzedoor.dev/bronzedoor/internal/fakes"
)

func TestMain(m *testing.M) {
	draw.Main(m)
}

// TestTablesAgreeDrawn gives the same states to tables in any order, some
// twice, and finds that they end with the same digest.
func TestTablesAgreeDrawn(t *testing.T) {
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
			t.Fatalf("%v and %v", a.Members(), b.Members())
		}
	})
}

func TestTableRefutes(t *testing.T) {
	is := is.New(t)
	a := NewTable(Member{Identity: "127.0.0.1:1#s"})
	a.Merge([]Member{{Identity: "127.0.0.1:1#s", Seq: 7, Down: true}})
	is.Equal(a.Self().Seq, uint64(8)) // higher than what others have
	is.True(!a.Self().Down)
}

// fleet is some beaters on a network in memory.
type fleet struct {
	network *fakes.Network
	beaters []*Beater
	conns   []net.PacketConn
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
		b := &Beater{Self: Member{Identity: address + "#s"}, Revision: func() uint64 { return 0 }}
		b.Send = func(to string, data []byte) { _, _ = c.WriteTo(data, memoryAddr(to)) }
		s.Beater = b
		b.Init()
		s.Run()
		members = append(members, Member{Identity: b.Self.Identity, Seq: 1})
		f.beaters = append(f.beaters, b)
		f.conns = append(f.conns, c)
	}
	for _, b := range f.beaters {
		b.Learn(members)
		is.NoErr(b.Start(t.Context()))
	}
	return f
}

type memoryConn struct{ net.PacketConn }

type memoryAddr string

func (a memoryAddr) Network() string { return "memory" }
func (a memoryAddr) String() string  { return string(a) }

func (f *fleet) stop() {
	for i, b := range f.beaters {
		_ = b.Stop(context.Background())
		_ = f.conns[i].Close()
	}
}

// down returns how many of the others, except those skipped, take i for down.
func (f *fleet) down(i int, skip ...int) int {
	n := 0
	for j, b := range f.beaters {
		if j == i || slices.Contains(skip, j) {
			continue
		}
		b.mu.Lock()
		if m, ok := b.table.Member(f.beaters[i].Self.Identity); ok && m.Down {
			n++
		}
		b.mu.Unlock()
	}
	return n
}

// detectGoal is the time in which the fleet must know of a dead member.
const detectGoal = 2 * time.Second

func TestDeadMemberIsKnown(t *testing.T) {
	for _, n := range []int{8, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, n)
				defer f.stop()
				time.Sleep(3 * time.Second)
				is.NoErr(f.beaters[0].Stop(t.Context()))
				_ = f.conns[0].Close()
				time.Sleep(detectGoal)
				is.Equal(f.down(0), n-1)
			})
		})
	}
}

func TestLossDoesNotFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 16)
		defer f.stop()
		flaps := 0
		for _, b := range f.beaters {
			b.Changed = func(members []Member) {
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
		paused := Address(f.beaters[3].Self.Identity)
		f.network.SetCut(func(from, to string) bool { return from == paused || to == paused })
		time.Sleep(5 * time.Second)
		is.Equal(f.down(3), 7)
		f.network.SetCut(nil)
		time.Sleep(5 * time.Second)
		is.Equal(f.down(3), 0)
	})
}

func TestRegionsPartAndMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		defer f.stop()
		side := make(map[string]bool)
		for _, b := range f.beaters[:6] {
			side[Address(b.Self.Identity)] = true
		}
		f.network.SetCut(func(from, to string) bool { return side[from] != side[to] })
		time.Sleep(time.Hour)
		is.Equal(f.down(0, 6, 7, 8, 9, 10, 11), 0) // a side sees itself whole
		is.Equal(f.down(0), 6)                     // and the other side gone
		f.network.SetCut(nil)
		time.Sleep(15 * time.Second)
		for i := range f.beaters {
			is.Equal(f.down(i), 0) // all see all again
		}
	})
}
