package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/permit"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

func layout(number int) conf.Layout {
	l := conf.Layout{Layout: object.Layout{Service: "s", Number: number, Shards: 2, Cell: 1}}
	for g := range 2 {
		l.Cells = append(l.Cells, conf.Cell{Name: object.CellName("s", number, g), Group: g})
	}
	return l
}

func TestSnapshot(t *testing.T) {
	now := time.Unix(0, 0)
	s := &conf.Service{Name: "s", Layouts: []conf.Layout{layout(1), layout(2)}}
	type report struct {
		cell   string
		newest uint64
	}
	tests := []struct {
		name    string
		reports []report
		want    query.Snapshot
		ok      bool
	}{
		{name: "no cell is known"},
		{name: "one cell is unknown", reports: []report{{"s.1.0", 5}}},
		{name: "newest version that all cells have", reports: []report{{"s.1.0", 5}, {"s.1.1", 4}}, want: query.Snapshot{Layout: 1, Version: 4}, ok: true},
		{name: "new layout with an unknown cell", reports: []report{{"s.1.0", 5}, {"s.1.1", 5}, {"s.2.0", 7}}, want: query.Snapshot{Layout: 1, Version: 5}, ok: true},
		{name: "new layout", reports: []report{{"s.1.0", 9}, {"s.1.1", 9}, {"s.2.0", 7}, {"s.2.1", 7}}, want: query.Snapshot{Layout: 2, Version: 7}, ok: true},
		{name: "unknown version keeps the known one", reports: []report{{"s.1.0", 5}, {"s.1.1", 5}, {"s.1.1", 0}}, want: query.Snapshot{Layout: 1, Version: 5}, ok: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var v Versions
			for _, r := range tt.reports {
				v.Record(r.cell, r.newest, now)
			}
			got, ok := v.Snapshot(s)
			is.Equal(ok, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}

// TestSnapshotWithoutCell checks services of which one cell can't report versions.
// A daemon that first asked when the only upstream of a cell was already out of
// rotation once refused all queries of the service until it was back.
func TestSnapshotWithoutCell(t *testing.T) {
	known := layout(1)
	excluded := layout(1)
	excluded.Cells[1].Shards = []conf.Shard{{Upstreams: []conf.Upstream{{Excluded: true}, {Excluded: true}}}}
	partly := layout(1)
	partly.Cells[1].Shards = []conf.Shard{{Upstreams: []conf.Upstream{{Excluded: true}, {}}}}
	tests := []struct {
		name    string
		layout  conf.Layout
		reports []string // cells that report version 5
		whole   bool     // Snapshot returns it
		partial bool     // PartialSnapshot returns it
	}{
		{name: "all cells report", layout: known, reports: []string{"s.1.0", "s.1.1"}, whole: true, partial: true},
		{name: "a cell out of rotation", layout: excluded, reports: []string{"s.1.0"}, whole: true, partial: true},
		{name: "a cell with one upstream in rotation", layout: partly, reports: []string{"s.1.0"}, partial: true},
		{name: "a cell that does not report", layout: known, reports: []string{"s.1.1"}, partial: true},
		{name: "no cell reports", layout: excluded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var v Versions
			for _, cell := range tt.reports {
				v.Record(cell, 5, time.Unix(0, 0))
			}
			s := &conf.Service{Name: "s", Layouts: []conf.Layout{tt.layout}}
			whole, ok := v.Snapshot(s)
			is.Equal(ok, tt.whole)
			partial, partialOK := v.PartialSnapshot(s)
			is.Equal(partialOK, tt.partial)
			want := query.Snapshot{Layout: 1, Version: 5}
			is.True(!ok || whole == want)
			is.True(!partialOK || partial == want)
		})
	}
}

func TestBalancerPick(t *testing.T) {
	now := time.Unix(1000, 0)
	block := []permit.Block{{BlockID: permit.BlockID{Cell: "s.1.0"}}}
	cell := &conf.Cell{Name: "s.1.0", Blocks: []object.Block{{Owner: "recorded"}}}
	tests := []struct {
		name    string
		members []peer.Member
		tried   []string
		failed  string
		want    string
	}{
		{name: "no member reports the cell: recorded owner", want: "recorded"},
		{name: "member that reports the cell", members: []peer.Member{{Identity: "a", Blocks: block}}, want: "a"},
		{name: "self is preferred", members: []peer.Member{{Identity: "a", Blocks: block}, {Identity: "self", Blocks: block}}, want: "self"},
		{name: "tried holder is skipped", members: []peer.Member{{Identity: "a", Blocks: block}, {Identity: "self", Blocks: block}}, tried: []string{"self"}, want: "a"},
		{name: "leaving holder comes last", members: []peer.Member{{Identity: "a", Leaving: true, Blocks: block}, {Identity: "b", Blocks: block}}, want: "b"},
		{name: "leaving holder if there is no other", members: []peer.Member{{Identity: "a", Leaving: true, Blocks: block}}, want: "a"},
		{name: "holder that is down is skipped", members: []peer.Member{{Identity: "a", Down: true, Blocks: block}}, want: "recorded"},
		{name: "failed holder is avoided", members: []peer.Member{{Identity: "a", Blocks: block}, {Identity: "b", Blocks: block}}, failed: "a", want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b Balancer
			b.SetMembers(tt.members)
			if tt.failed != "" {
				b.Begin(tt.failed)
				b.End(tt.failed, time.Second, false, now)
			}
			is.Equal(b.Pick(cell, "self", tt.tried, now), tt.want)
		})
	}
}
