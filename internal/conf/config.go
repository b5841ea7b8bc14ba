// Package conf holds the configuration of a daemon and keeps it up to date. An
// older state of an object never replaces a newer one.
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

// A Rejection is an object state that failed validation. The last valid state of
// the object stays in force.
type Rejection struct {
	Kind     object.Kind
	Name     string
	Revision uint64 // of the rejected state
	Faults   []object.Problem
}

// A Config holds the configuration objects of a daemon. The zero value is empty
// and ready to use. It is safe for concurrent use.
type Config struct {
	mu       sync.Mutex
	valid    map[key]object.Object // last valid state of each object
	latest   map[key]object.Object // newest state of each object, valid or not
	rev      uint64                // all changes up to this revision have been applied
	rejected map[key]Rejection
	view     atomic.Pointer[View]
}

// Apply applies changed objects, with which the configuration is complete up to
// revision rev. States that are not newer than the known ones are ignored. It
// returns the objects that it rejected.
func (c *Config) Apply(objects []object.Object, rev uint64) []Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	var rejections []Rejection
	changed := c.rev == 0
	for _, o := range objects {
		k := key{kind: o.Kind, name: o.Name}
		if o.Revision <= c.latest[k].Revision {
			continue
		}
		changed = true
		c.latest[k] = o
		if r, rejected := c.accept(k, o); rejected {
			rejections = append(rejections, r)
		}
	}
	c.rev = max(c.rev, rev)
	c.publish(changed)
	return rejections
}

// Replace is like Apply with a list of all objects: those that are not on it were lost
// when the store was restored from an older copy, and count as deleted.
func (c *Config) Replace(objects []object.Object, rev uint64) []Rejection {
	return c.Apply(append(c.missing(objects, rev), objects...), rev)
}

// missing returns a deletion at revision rev for each known object that is not among
// objects.
func (c *Config) missing(objects []object.Object, rev uint64) []object.Object {
	listed := make(map[key]bool, len(objects))
	for _, o := range objects {
		listed[key{kind: o.Kind, name: o.Name}] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []object.Object
	for k, o := range c.latest {
		if !listed[k] && !o.Deleted {
			out = append(out, object.Object{Kind: k.kind, Name: k.name, Revision: rev, Deleted: true})
		}
	}
	return out
}

func (c *Config) init() {
	if c.latest == nil {
		c.valid = make(map[key]object.Object)
		c.latest = make(map[key]object.Object)
		c.rejected = make(map[key]Rejection)
	}
}

// accept validates o and puts it in force. If o is invalid, it returns the
// rejection and true.
func (c *Config) accept(k key, o object.Object) (Rejection, bool) {
	if !o.Deleted {
		if f := object.Validate(o); len(f) > 0 {
			r := Rejection{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Faults: f}
			c.rejected[k] = r
			return r, true
		}
	}
	delete(c.rejected, k)
	c.valid[k] = o
	return Rejection{}, false
}

// publish publishes a new view. If no object changed, it copies the old one with
// the new revision.
func (c *Config) publish(changed bool) {
	if old := c.view.Load(); old != nil && !changed {
		next := *old
		next.Revision = c.rev
		c.view.Store(&next)
		return
	}
	c.view.Store(compile(c.valid, c.rev))
}

// View returns the configuration in force. It is never nil and must not be
// modified.
func (c *Config) View() *View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Revision returns the revision up to which the configuration is complete.
func (c *Config) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rev
}

// ChangesSince returns up to limit objects that changed after revision since, in
// the order of their revisions, the revision up to which they are complete, and
// whether there are more. Before a rejected object it also returns its last valid
// state, which does not count towards limit, as its revision may be before since.
func (c *Config) ChangesSince(since uint64, limit int) ([]object.Object, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []object.Object
	for _, o := range c.latest {
		if o.Revision > since {
			changed = append(changed, o)
		}
	}
	slices.SortFunc(changed, func(a, b object.Object) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	rev, more := c.rev, len(changed) > limit
	if more {
		changed = changed[:limit]
		rev = changed[limit-1].Revision
	}
	var out []object.Object
	for _, o := range changed {
		if v, ok := c.valid[key{kind: o.Kind, name: o.Name}]; ok && v.Revision != o.Revision {
			out = append(out, v)
		}
		out = append(out, o)
	}
	return out, rev, more
}

// Rejected returns the objects whose newest state was rejected, in the order of
// their revisions.
func (c *Config) Rejected() []Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Rejection, 0, len(c.rejected))
	for _, r := range c.rejected {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rejection) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return out
}

// Object returns the newest known state of an object, valid or not. It returns
// false if the object is unknown or deleted.
func (c *Config) Object(kind object.Kind, name string) (object.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.latest[key{kind: kind, name: name}]
	return o, ok && !o.Deleted
}
