package conf

import (
	"cmp"
	"slices"
	"strconv"

	"bronzedoor.dev/bronzedoor/internal/object"
)

// A View is the configuration at one revision, in a form made for look-ups. It
// does not change once published.
type View struct {
	Revision        uint64
	Selectors       []object.Selector // sorted by caller
	Services        []Service         // sorted by name
	ExcludedVMs     []string          // addresses of VMs that operators took out of rotation
	ExcludedDomains []string          // failure domains that operators took out of rotation
}

// A Service is one service with all its layouts.
type Service struct {
	Name    string
	Layouts []Layout // sorted by number, newest last
}

// A Layout is one partitioning of the data of a service, with its cells.
type Layout struct {
	object.Layout
	Cells []Cell // indexed by group
}

// A Cell is a group of consecutive shards with all their replicas.
type Cell struct {
	Name           string
	Group          int
	FirstShard     int            // number of the first shard
	Shards         []Shard        // indexed by shard number minus FirstShard
	Blocks         []object.Block // as in the stored record; nil if there is no record
	RecordRevision uint64         // revision of the stored record; 0 if there is none
}

// A Shard is one shard of a layout.
type Shard struct {
	Number    int
	Upstreams []Upstream // sorted by address
}

// An Upstream is a server that holds one replica of a shard.
type Upstream struct {
	Address  string
	Domain   string
	Replica  int           // index among the shard's replicas
	Slots    int           // requests that it serves at a time
	Conns    int           // connections that it accepts from all daemons together
	Excluded bool          // out of rotation, alone or with its failure domain
	Pairs    []object.Pair // all of its labels
}

// HasLabels reports whether the upstream has all the given labels.
func (u *Upstream) HasLabels(labels []object.Pair) bool {
	for _, p := range labels {
		if !slices.Contains(u.Pairs, p) {
			return false
		}
	}
	return true
}

// Selector returns the selector of a caller, or nil if there is none.
func (v *View) Selector(caller string) *object.Selector {
	i, ok := slices.BinarySearchFunc(v.Selectors, caller, func(s object.Selector, c string) int {
		return cmp.Compare(s.Caller, c)
	})
	if !ok {
		return nil
	}
	return &v.Selectors[i]
}

// Service returns the service of that name, or nil if there is none.
func (v *View) Service(name string) *Service {
	i, ok := slices.BinarySearchFunc(v.Services, name, func(s Service, n string) int {
		return cmp.Compare(s.Name, n)
	})
	if !ok {
		return nil
	}
	return &v.Services[i]
}

// Layout returns the layout of that number, or nil if there is none.
func (s *Service) Layout(number int) *Layout {
	for i := range s.Layouts {
		if s.Layouts[i].Number == number {
			return &s.Layouts[i]
		}
	}
	return nil
}

// Cell returns a cell of a service, or nil if there is none.
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

// ExcludesVM reports whether operators took a VM or its failure domain out of
// rotation.
func (v *View) ExcludesVM(address, domain string) bool {
	return slices.Contains(v.ExcludedVMs, address) || slices.Contains(v.ExcludedDomains, domain)
}

// compile builds a view from valid objects.
func compile(objects map[key]object.Object, rev uint64) *View {
	v := &View{Revision: rev}
	var labels []object.Label
	var cells []cellRecord
	for k, o := range objects {
		if o.Deleted {
			continue
		}
		switch k.kind {
		case object.KindLabel:
			labels = append(labels, decodeChecked[object.Label](o))
		case object.KindSelector:
			v.Selectors = append(v.Selectors, decodeChecked[object.Selector](o))
		case object.KindLayout:
			v.addLayout(decodeChecked[object.Layout](o))
		case object.KindCell:
			cells = append(cells, cellRecord{Cell: decodeChecked[object.Cell](o), revision: o.Revision})
		}
	}
	slices.SortFunc(v.Selectors, func(a, b object.Selector) int {
		return cmp.Compare(a.Caller, b.Caller)
	})
	v.sortServices()
	v.addLabels(labels)
	for _, c := range cells {
		if cell := v.Cell(c.Service, c.Layout, c.Group); cell != nil {
			cell.Blocks = c.Blocks
			cell.RecordRevision = c.revision
		}
	}
	return v
}

// cellRecord is the stored record of a cell with its revision.
type cellRecord struct {
	object.Cell
	revision uint64
}

// decodeChecked decodes an object that has passed object.Validate, so that decoding
// cannot fail.
func decodeChecked[T any](o object.Object) T {
	var v T
	_ = object.Decode(o.Body, &v)
	return v
}

func (v *View) addLayout(l object.Layout) {
	s := v.findOrAddService(l.Service)
	out := Layout{Layout: l, Cells: make([]Cell, l.NumGroups())}
	for g := range out.Cells {
		c := &out.Cells[g]
		c.Name = object.CellName(l.Service, l.Number, g)
		c.Group = g
		c.FirstShard = g * l.Cell
		c.Shards = make([]Shard, min(l.Cell, l.Shards-c.FirstShard))
		for i := range c.Shards {
			c.Shards[i].Number = c.FirstShard + i
		}
	}
	s.Layouts = append(s.Layouts, out)
}

// findOrAddService returns the service of that name and adds it if it is missing.
// It works before the services are sorted.
func (v *View) findOrAddService(name string) *Service {
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
		switch kind, name := object.SplitTarget(l.Target); kind {
		case "domain":
			v.ExcludedDomains = append(v.ExcludedDomains, name)
		case "vm":
			v.ExcludedVMs = append(v.ExcludedVMs, name)
		}
	}
	for _, l := range labels {
		v.addUpstream(l)
	}
}

func (v *View) addUpstream(l object.Label) {
	kind, address := object.SplitTarget(l.Target)
	if kind != "upstream" {
		return
	}
	layoutNumber, _ := strconv.Atoi(l.Value(object.KeyLayout))
	shardNumber, _ := strconv.Atoi(l.Value(object.KeyShard))
	s := v.Service(l.Value(object.KeyService))
	if s == nil {
		return
	}
	layout := s.Layout(layoutNumber)
	if layout == nil || shardNumber >= layout.Shards {
		return
	}
	shard := &layout.Cells[shardNumber/layout.Cell].Shards[shardNumber%layout.Cell]
	u := Upstream{Address: address, Domain: l.Value(object.KeyDomain), Replica: len(shard.Upstreams), Pairs: l.Pairs}
	u.Slots, _ = strconv.Atoi(l.Value(object.KeySlots))
	u.Conns, _ = strconv.Atoi(l.Value(object.KeyConns))
	u.Excluded = l.Value(object.KeyState) == object.StateOut || slices.Contains(v.ExcludedDomains, u.Domain)
	shard.Upstreams = append(shard.Upstreams, u)
}
