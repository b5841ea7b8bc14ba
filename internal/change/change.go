// Package change compares two versions of a struct of settings. The tag reload of each
// field says how a running process takes a change of it.
package change

import (
	"fmt"
	"reflect"
)

// Values of the tag reload. A struct without the tag is compared field by field.
const (
	tag     = "reload"
	live    = "live"    // a reload puts the new value in force
	restart = "restart" // the process has to be restarted
)

// A Change is a field with two values.
type Change struct {
	Name    string // of the field, after those of the structs around it
	Old     string
	New     string
	Restart bool // the new value is not in force before a restart
}

// String returns the field with its old and new value.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Name, c.Old, c.New)
}

// List returns the fields in which two structs of one type differ, in their order.
func List(old, next any) []Change {
	var out []Change
	walk(reflect.Indirect(reflect.ValueOf(old)), reflect.Indirect(reflect.ValueOf(next)), "", func(f field) {
		if f.rule == "" || reflect.DeepEqual(f.old.Interface(), f.next.Interface()) {
			return
		}
		out = append(out, Change{Name: f.name, Old: fmt.Sprintf("%v", f.old), New: fmt.Sprintf("%v", f.next), Restart: f.rule == restart})
	})
	return out
}

// Names returns the names of all fields of a struct that are compared.
func Names(settings any) []string {
	var out []string
	v := reflect.Indirect(reflect.ValueOf(settings))
	walk(v, v, "", func(f field) { out = append(out, f.name) })
	return out
}

// Keep sets the fields of next that need a restart to their values in running. Both are
// pointers to structs of one type.
func Keep(running, next any) {
	walk(reflect.ValueOf(running).Elem(), reflect.ValueOf(next).Elem(), "", func(f field) {
		if f.rule == restart {
			f.next.Set(f.old)
		}
	})
}

// Unruled returns the names of the fields of a struct that have no valid tag.
func Unruled(settings any) []string {
	var out []string
	v := reflect.Indirect(reflect.ValueOf(settings))
	walk(v, v, "", func(f field) {
		if f.rule != live && f.rule != restart {
			out = append(out, f.name)
		}
	})
	return out
}

// A field is a field of two structs that are compared.
type field struct {
	name      string
	rule      string // value of the tag
	old, next reflect.Value
}

// walk calls visit for each field that is not a struct to be compared field by field.
func walk(old, next reflect.Value, prefix string, visit func(f field)) {
	for i := range old.NumField() {
		f := old.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		rule := f.Tag.Get(tag)
		name := prefix + f.Name
		if f.Type.Kind() == reflect.Struct && rule == "" {
			walk(old.Field(i), next.Field(i), name+".", visit)
			continue
		}
		visit(field{name: name, rule: rule, old: old.Field(i), next: next.Field(i)})
	}
}
