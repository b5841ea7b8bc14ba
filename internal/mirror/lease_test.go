package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeases(t *testing.T) {
	const ttl = 90 * time.Minute
	start := time.Now()
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }
	tests := []struct {
		name string
		act  func(l *Leases)
		want []ExpiredRecord // after 100 minutes
	}{
		{name: "none"},
		{name: "not renewed", act: func(l *Leases) { l.Observe("a", 4, at(0)) }, want: []ExpiredRecord{{"a", 4}}},
		{name: "seen late", act: func(l *Leases) { l.Observe("a", 4, at(20)) }},
		{name: "renewed", act: func(l *Leases) { l.Observe("a", 4, at(0)); l.Observe("a", 5, at(30)) }},
		{name: "seen again, not renewed", act: func(l *Leases) { l.Observe("a", 4, at(0)); l.Observe("a", 4, at(30)) }, want: []ExpiredRecord{{"a", 4}}},
		{name: "removed", act: func(l *Leases) { l.Observe("a", 4, at(0)); l.Forget("a") }},
		{name: "store outage", act: func(l *Leases) { l.Observe("a", 4, at(0)); l.Restart(at(50)) }},
		{name: "early store outage", act: func(l *Leases) { l.Observe("a", 4, at(0)); l.Restart(at(5)) }, want: []ExpiredRecord{{"a", 4}}},
		{name: "one of two", act: func(l *Leases) { l.Observe("a", 4, at(0)); l.Observe("b", 5, at(0)); l.Observe("a", 9, at(60)) }, want: []ExpiredRecord{{"b", 5}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l Leases
			if tt.act != nil {
				tt.act(&l)
			}
			is.Equal(l.Expired(at(100), ttl), tt.want)
		})
	}
}
