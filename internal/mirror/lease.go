package mirror

import (
	"slices"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/feed"
)

// Leases detects daemons that have stopped renewing their records. A record is
// renewed by a change of its revision, so clocks of other daemons don't matter.
// The zero value is empty and ready to use. It is not safe for concurrent use.
type Leases struct {
	records map[string]lease // by record name
}

// A lease is the state of one record.
type lease struct {
	revision feed.Revision
	since    time.Time // when this revision was first seen, or the last Restart
}

// An ExpiredRecord is a record that was not renewed in time.
type ExpiredRecord struct {
	Name     string
	Revision feed.Revision // the record may be removed at this revision only, not at a later one
}

// Observe records the revision of a record. A new revision renews the lease.
func (l *Leases) Observe(name string, revision feed.Revision, now time.Time) {
	if l.records == nil {
		l.records = make(map[string]lease)
	}
	if r, ok := l.records[name]; ok && r.revision == revision {
		return
	}
	l.records[name] = lease{revision: revision, since: now}
}

// Forget drops the lease of a removed record.
func (l *Leases) Forget(name string) {
	delete(l.records, name)
}

// Restart makes all leases begin at now. It is for the end of a time in which
// the records could not be read: they could not be renewed then, or a renewal
// was not seen.
func (l *Leases) Restart(now time.Time) {
	for name, r := range l.records {
		r.since = now
		l.records[name] = r
	}
}

// Expired returns the records whose revision has not changed for longer than
// ttl, sorted by name.
func (l *Leases) Expired(now time.Time, ttl time.Duration) []ExpiredRecord {
	var out []ExpiredRecord
	for name, r := range l.records {
		if now.Sub(r.since) > ttl {
			out = append(out, ExpiredRecord{Name: name, Revision: r.revision})
		}
	}
	slices.SortFunc(out, func(a, b ExpiredRecord) int { return strings.Compare(a.Name, b.Name) })
	return out
}
