package conf

import (
	"cmp"
	"slices"
	"strconv"

	"bronzedoor.dev/bronzedoor/internal/object"
)

// A View is a compiled configuration. It does not change once published.
type View struct {
	Revision  uint64
	Selectors []object.Selector // sorted by caller
	Services  []Service         // sorted by name
	VMsOut    []string          // addresses of VMs that operators took out
	DomsOut   []string          // failure domains that operators took out
}

// A Service is the data of one service in all its layouts.
type Service struct {
	Name    string
	Layouts []Layout // sorted by number, newest last
}

// A Layout is one partitioning with its cells.
type Layout struct {
	object.Layout
	Cells []Cell // index is the group
}

// A Cell is a group of shards with all their replicas.
type Cell struct {
	Name   string
	Group  int
	First  int            // number of the first shard
	Shards []Shard        // shard First+i at index i
	Blocks []object.Block // as recorded; nil while there is no record
	Stored uint64         // revision of the record; 0 while there is none
}

// A Shard is one part of a layout.
type Shard struct {
	Number int
	Ups    []Upstream // sorted by address
}

// An Upstream is a replica of a shard.
type Upstream struct {
	Address string
	Domain  string
	Replica int           // index among the shard's replicas
	Slots   int           // requests served at a time
	Conns   int           // connections accepted by all together
	Out     bool          // gets no new work
	Pairs   []object.Pair // all its labels
}

// Has reports whether the upstream carries all the labels.
func (u *Upstream) Has(pick []object.Pair) bool {
	for _, p := range pick {
		if !slices.Contains(u.Pairs, p) {
			return false
		}
	}
	return true
}

// Selector returns the selector of a caller, or nil.
func (v *View) Selector(caller string) *object.Selector {
	i, ok := slices.BinarySearchFunc(v.Selectors, caller, func(s object.Selector, c string) int {
		return cmp.Compare(s.Caller, c)
	})
	if !ok {
		return nil
	}
	return &v.Selectors[i]
}

// Service returns the service of that name, or nil.
func (v *View) Service(name string) *Service {
	i, ok := slices.BinarySearchFunc(v.Services, name, func(s Service, n string) int {
		return cmp.Compare(s.Name, n)
	})
	if !ok {
		return nil
	}
	return &v.Services[i]
}

// Layout returns the layout of that number, or nil.
func (s *Service) Layout(number int) *Layout {
	for i := range s.Layouts {
		if s.Layouts[i].Number == number {
			return &s.Layouts[i]
		}
	}
	return nil
}

// Cell returns a cell of a service, or nil.
func (v *View) Cell(service string, layout, group int) *Cell {
	s := v.Service(service)
	if s == nil {
		return nil
	}
	l := s.Layout(layout)
	if l == nil || group < 0 || group >= len(l.Cells) {
		return nil
	}
	return &l.Cells[group]
}

// VMOut reports whether operators took a VM or its failure domain out.
func (v *View) VMOut(address, domain string) bool {
	return slices.Contains(v.VMsOut, address) || slices.Contains(v.DomsOut, domain)
}

// compile makes a view of good objects.
func compile(good map[key]object.Object, rev uint64) *View {
	v := &View{Revision: rev}
	var labels []object.Label
	var cells []storedCell
	for k, o := range good {
		if o.Gone {
			continue
		}
		switch k.kind {
		case object.KindLabel:
			labels = append(labels, must[object.Label](o))
		case object.KindSelector:
			v.Selectors = append(v.Selectors, must[object.Selector](o))
		case object.KindLayout:
			v.addLayout(must[object.Layout](o))
		case object.KindCell:
			cells = append(cells, storedCell{Cell: must[object.Cell](o), rev: o.Revision})
		}
	}
	slices.SortFunc(v.Selectors, func(a, b object.Selector) int {
		return cmp.Compare(a.Caller, b.Caller)
	})
	v.sortServices()
	v.addLabels(labels)
	for _, c := range cells {
		if into := v.Cell(c.Service, c.Layout, c.Group); into != nil {
			into.Blocks = c.Blocks
			into.Stored = c.rev
		}
	}
	return v
}

// storedCell is a cell's record with the revision at which it was written.
type storedCell struct {
	object.Cell
	rev uint64
}

// must decodes an object that object.Check has passed.
func must[T any](o object.Object) T {
	var v T
	_ = object.Decode(o.Body, &v)
	return v
}

func (v *View) addLayout(l object.Layout) {
	s := v.find(l.Service)
	out := Layout{Layout: l, Cells: make([]Cell, l.Groups())}
	for g := range out.Cells {
		c := &out.Cells[g]
		c.Name = object.CellName(l.Service, l.Number, g)
		c.Group = g
		c.First = g * l.Cell
		c.Shards = make([]Shard, min(l.Cell, l.Shards-c.First))
		for i := range c.Shards {
			c.Shards[i].Number = c.First + i
		}
	}
	s.Layouts = append(s.Layouts, out)
}

// find returns the service of that name, made if need be, before sorting.
func (v *View) find(name string) *Service {
	for i := range v.Services {
		if v.Services[i].Name == name {
			return &v.Services[i]
		}
	}
	v.Services = append(v.Services, Service{Name: name})
	return &v.Services[len(v.Services)-1]
}

func (v *View) sortServices() {
	slices.SortFunc(v.Services, func(a, b Service) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for i := range v.Services {
		slices.SortFunc(v.Services[i].Layouts, func(a, b Layout) int {
			return cmp.Compare(a.Number, b.Number)
		})
	}
}

func (v *View) addLabels(labels []object.Label) {
	slices.SortFunc(labels, func(a, b object.Label) int {
		return cmp.Compare(a.Target, b.Target)
	})
	for _, l := range labels {
		if l.Value(object.KeyState) != object.StateOut {
			continue
		}
		switch kind, name := object.Split(l.Target); kind {
		case "domain":
			v.DomsOut = append(v.DomsOut, name)
		case "vm":
			v.VMsOut = append(v.VMsOut, name)
		}
	}
	for _, l := range labels {
		v.addUpstream(l)
	}
}

func (v *View) addUpstream(l object.Label) {
	kind, address := object.Split(l.Target)
	if kind != "upstream" {
		return
	}
	number, _ := strconv.Atoi(l.Value(object.KeyLayout))
	shard, _ := strconv.Atoi(l.Value(object.KeyShard))
	s := v.Service(l.Value(object.KeyService))
	if s == nil {
		return
	}
	layout := s.Layout(number)
	if layout == nil || shard >= layout.Shards {
		return
	}
	into := &layout.Cells[shard/layout.Cell].Shards[shard%layout.Cell]
	u := Upstream{Address: address, Domain: l.Value(object.KeyDomain), Replica: len(into.Ups), Pairs: l.Pairs}
	u.Slots, _ = strconv.Atoi(l.Value(object.KeySlots))
	u.Conns, _ = strconv.Atoi(l.Value(object.KeyConns))
	u.Out = l.Value(object.KeyState) == object.StateOut || slices.Contains(v.DomsOut, u.Domain)
	into.Ups = append(into.Ups, u)
}
