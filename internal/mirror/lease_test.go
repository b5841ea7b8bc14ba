package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeases(t *testing.T) {
	const most = 90 * time.Minute
	begun := time.Now()
	at := func(minutes int) time.Time { return begun.Add(time.Duration(minutes) * time.Minute) }
	tests := []struct {
		name string
		act  func(l *Leases)
		want []Expired // after 100 minutes
	}{
		{name: "none"},
		{name: "not renewed", act: func(l *Leases) { l.Note("a", 4, at(0)) }, want: []Expired{{"a", 4}}},
		{name: "seen late", act: func(l *Leases) { l.Note("a", 4, at(20)) }},
		{name: "renewed", act: func(l *Leases) { l.Note("a", 4, at(0)); l.Note("a", 5, at(30)) }},
		{name: "told again, not renewed", act: func(l *Leases) { l.Note("a", 4, at(0)); l.Note("a", 4, at(30)) }, want: []Expired{{"a", 4}}},
		{name: "removed", act: func(l *Leases) { l.Note("a", 4, at(0)); l.Forget("a") }},
		{name: "the store was away", act: func(l *Leases) { l.Note("a", 4, at(0)); l.Restart(at(50)) }},
		{name: "away early", act: func(l *Leases) { l.Note("a", 4, at(0)); l.Restart(at(5)) }, want: []Expired{{"a", 4}}},
		{name: "one of two", act: func(l *Leases) { l.Note("a", 4, at(0)); l.Note("b", 5, at(0)); l.Note("a", 9, at(60)) }, want: []Expired{{"b", 5}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l Leases
			if tt.act != nil {
				tt.act(&l)
			}
			is.Equal(l.Expired(at(100), most), tt.want)
		})
	}
}
