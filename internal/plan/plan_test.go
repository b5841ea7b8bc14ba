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

func TestPin(t *testing.T) {
	now := time.Unix(0, 0)
	s := &conf.Service{Name: "s", Layouts: []conf.Layout{layout(1), layout(2)}}
	type note struct {
		cell   string
		newest uint64
	}
	tests := []struct {
		name  string
		notes []note
		want  query.Snapshot
		ok    bool
	}{
		{name: "nothing known"},
		{name: "a cell is not known", notes: []note{{"s.1.0", 5}}},
		{name: "the newest that all have", notes: []note{{"s.1.0", 5}, {"s.1.1", 4}}, want: query.Snapshot{Layout: 1, Version: 4}, ok: true},
		{name: "a new layout that is half known", notes: []note{{"s.1.0", 5}, {"s.1.1", 5}, {"s.2.0", 7}}, want: query.Snapshot{Layout: 1, Version: 5}, ok: true},
		{name: "a new layout", notes: []note{{"s.1.0", 9}, {"s.1.1", 9}, {"s.2.0", 7}, {"s.2.1", 7}}, want: query.Snapshot{Layout: 2, Version: 7}, ok: true},
		{name: "no news does not forget", notes: []note{{"s.1.0", 5}, {"s.1.1", 5}, {"s.1.1", 0}}, want: query.Snapshot{Layout: 1, Version: 5}, ok: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p Pins
			for _, n := range tt.notes {
				p.Note(n.cell, 1, n.newest, now)
			}
			got, ok := p.Pin(s)
			is.Equal(ok, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}

func TestRoutes(t *testing.T) {
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
		{name: "nobody says so: the record", want: "recorded"},
		{name: "who says so", members: []peer.Member{{Identity: "a", Blocks: block}}, want: "a"},
		{name: "self first", members: []peer.Member{{Identity: "a", Blocks: block}, {Identity: "self", Blocks: block}}, want: "self"},
		{name: "not one that was tried", members: []peer.Member{{Identity: "a", Blocks: block}, {Identity: "self", Blocks: block}}, tried: []string{"self"}, want: "a"},
		{name: "one that leaves comes last", members: []peer.Member{{Identity: "a", Leaving: true, Blocks: block}, {Identity: "b", Blocks: block}}, want: "b"},
		{name: "but comes", members: []peer.Member{{Identity: "a", Leaving: true, Blocks: block}}, want: "a"},
		{name: "one that is down does not", members: []peer.Member{{Identity: "a", Down: true, Blocks: block}}, want: "recorded"},
		{name: "one that failed is left alone", members: []peer.Member{{Identity: "a", Blocks: block}, {Identity: "b", Blocks: block}}, failed: "a", want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r Routes
			r.Update(tt.members)
			if tt.failed != "" {
				r.Begin(tt.failed)
				r.End(tt.failed, time.Second, false, now)
			}
			is.Equal(r.Pick(cell, "self", tt.tried, now), tt.want)
		})
	}
}
