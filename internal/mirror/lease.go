package mirror

import (
	"slices"
	"strings"
	"time"
)

// Leases tells which daemons have stopped renewing their records. A record is
// renewed by a change of its revision; no clock of another daemon is compared.
// The zero value knows none.
type Leases struct {
	held map[string]lease // by record name
}

// A lease is what is known of one record.
type lease struct {
	revision uint64
	since    time.Time // when this revision was first seen, or the count began anew
}

// An Expired is a record that was not renewed in time.
type Expired struct {
	Name     string
	Revision uint64 // at which it is to be removed, and at no later one
}

// Note takes in a record's revision.
func (l *Leases) Note(name string, revision uint64, now time.Time) {
	if l.held == nil {
		l.held = make(map[string]lease)
	}
	if h, ok := l.held[name]; ok && h.revision == revision {
		return
	}
	l.held[name] = lease{revision: revision, since: now}
}

// Forget takes in that a record is gone.
func (l *Leases) Forget(name string) {
	delete(l.held, name)
}

// Restart counts all leases from now on: while the records could not be read,
// they could not be renewed either, or a renewal was not seen.
func (l *Leases) Restart(now time.Time) {
	for name, h := range l.held {
		h.since = now
		l.held[name] = h
	}
}

// Expired returns the records whose revision has been the same for longer than
// the lease time, by name.
func (l *Leases) Expired(now time.Time, most time.Duration) []Expired {
	var out []Expired
	for name, h := range l.held {
		if now.Sub(h.since) > most {
			out = append(out, Expired{Name: name, Revision: h.revision})
		}
	}
	slices.SortFunc(out, func(a, b Expired) int { return strings.Compare(a.Name, b.Name) })
	return out
}
