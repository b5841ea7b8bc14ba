// Package conf holds the configuration that a daemon has in force. It only
// moves forward: an older state of an object never replaces a newer one.
package conf

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"bronzedoor.dev/bronzedoor/internal/object"
)

type key struct {
	kind object.Kind
	name string
}

// A Refusal is an object that is wrong. The last good one stays in force.
type Refusal struct {
	Kind     object.Kind
	Name     string
	Revision uint64 // of the refused object
	Faults   []object.Fault
}

// A Book holds objects by kind and name. The zero value is empty and ready to
// use. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	good    map[key]object.Object // last good state of each object
	seen    map[key]object.Object // newest state of each object, good or not
	rev     uint64                // complete up to here
	refused map[key]Refusal
	view    atomic.Pointer[View]
}

// Apply takes in objects that were written after some revision, and says that
// the book is then complete up to rev. It returns the newly refused objects.
func (b *Book) Apply(objects []object.Object, rev uint64) []Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	var refusals []Refusal
	changed := b.rev == 0
	for _, o := range objects {
		k := key{kind: o.Kind, name: o.Name}
		if o.Revision <= b.seen[k].Revision {
			continue
		}
		changed = true
		b.seen[k] = o
		if r, bad := b.judge(k, o); bad {
			refusals = append(refusals, r)
		}
	}
	b.rev = max(b.rev, rev)
	b.publish(changed)
	return refusals
}

func (b *Book) init() {
	if b.seen == nil {
		b.good = make(map[key]object.Object)
		b.seen = make(map[key]object.Object)
		b.refused = make(map[key]Refusal)
	}
}

// judge puts o in force, or refuses it.
func (b *Book) judge(k key, o object.Object) (Refusal, bool) {
	if !o.Gone {
		if f := object.Check(o); len(f) > 0 {
			r := Refusal{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Faults: f}
			b.refused[k] = r
			return r, true
		}
	}
	delete(b.refused, k)
	b.good[k] = o
	return Refusal{}, false
}

// publish makes the next view. Only the revision moves when nothing changed.
func (b *Book) publish(changed bool) {
	if old := b.view.Load(); old != nil && !changed {
		next := *old
		next.Revision = b.rev
		b.view.Store(&next)
		return
	}
	b.view.Store(compile(b.good, b.rev))
}

// View returns what is in force. It is never nil and must not be changed.
func (b *Book) View() *View {
	if v := b.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Revision returns the revision up to which the book is complete.
func (b *Book) Revision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rev
}

// Since returns up to limit objects after a revision, in the order of their
// revisions, the revision they are complete up to, and whether there are more.
// Of a refused object it returns the last good state as well.
func (b *Book) Since(since uint64, limit int) ([]object.Object, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []object.Object
	for k, o := range b.seen {
		if o.Revision <= since {
			continue
		}
		out = append(out, o)
		if g, ok := b.good[k]; ok && g.Revision != o.Revision {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b object.Object) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	if len(out) > limit {
		return out[:limit], out[limit-1].Revision, true
	}
	return out, b.rev, false
}

// Refused returns the objects whose newest state is not in force.
func (b *Book) Refused() []Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Refusal, 0, len(b.refused))
	for _, r := range b.refused {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Refusal) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return out
}

// Object returns the newest state of an object that the book has seen.
func (b *Book) Object(kind object.Kind, name string) (object.Object, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, ok := b.seen[key{kind: kind, name: name}]
	return o, ok && !o.Gone
}
