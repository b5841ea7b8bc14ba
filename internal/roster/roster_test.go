package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ups(n int) []Upstream {
	out := make([]Upstream, 0, n)
	for i := range n {
		out = append(out, Upstream{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: fmt.Sprint("d", i%3)})
	}
	return out
}

func ids(r *Roster) int {
	return len(r.View().Services["s"])
}

func TestDrainingGetsNoWork(t *testing.T) {
	is := is.New(t)
	r := New()
	now := time.Now()
	r.Change(ups(6), nil, now)
	is.Equal(ids(r), 6)
	gone := ups(6)[2]
	gone.Draining = true
	r.Change([]Upstream{gone}, nil, now)
	is.Equal(ids(r), 5)
}

func TestDomainOutAndBack(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Change(ups(6), nil, time.Now())
	r.Exclude(map[string]bool{"d1": true})
	is.Equal(ids(r), 4)
	r.Exclude(nil)
	is.Equal(ids(r), 6)
}

// TestVanished removes registrations in the ways of a real leave and of a
// registry that was away.
func TestVanished(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		lapsed bool // the registry was away until now
		gone   []string
		atOnce int // upstreams left at once
		later  int // and after the grace
	}{
		{name: "one leaves", gone: []string{"1"}, atOnce: 9, later: 9},
		{name: "two leave", gone: []string{"1", "2"}, atOnce: 8, later: 8},
		{name: "many vanish together", gone: []string{"1", "2", "3", "4"}, atOnce: 10, later: 6},
		{name: "one vanishes while the registry is away", lapsed: true, gone: []string{"1"}, atOnce: 10, later: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			r.Change(ups(10), nil, now)
			if tt.lapsed {
				r.Lapsed(now)
			}
			r.Change(nil, tt.gone, now)
			is.Equal(ids(r), tt.atOnce)
			r.Expire(now.Add(Grace - time.Millisecond))
			is.Equal(ids(r), tt.atOnce)
			r.Expire(now.Add(Grace))
			is.Equal(ids(r), tt.later)
		})
	}
}

func TestBackInTime(t *testing.T) {
	is := is.New(t)
	r := New()
	now := time.Now()
	r.Change(ups(10), nil, now)
	r.Lapsed(now)
	r.Change(nil, []string{"2", "3", "4", "5", "6", "7", "8", "9"}, now)
	is.Equal(ids(r), 10)
	r.Change(ups(10), nil, now.Add(time.Second))
	r.Expire(now.Add(2 * Grace))
	is.Equal(ids(r), 10)
}

// TestLeavingIsNotKept drains an upstream whose registration then lapses.
func TestLeavingIsNotKept(t *testing.T) {
	is := is.New(t)
	r := New()
	now := time.Now()
	all := ups(3)
	all[0].Draining = true
	r.Change(all, nil, now)
	r.Lapsed(now)
	r.Change(nil, []string{"0"}, now)
	is.Equal(ids(r), 2)
}
