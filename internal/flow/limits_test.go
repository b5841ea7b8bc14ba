package flow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// TestColdReplica keeps this daemon's part of what a cold upstream bears.
func TestColdReplica(t *testing.T) {
	play(t, 1, func(s *stage) {
		is := is.New(s.t)
		table := *s.table
		table.Services = []route.Service{{Name: "single", ColdRate: 10}}
		s.flow.Configure(route.New(table))
		for _, u := range s.ups["single"] {
			u.ColdUntil = time.Now().Add(time.Minute)
		}
		s.show()
		begun := time.Now()
		for range 50 {
			s.ask("/read/1")
		}
		const each = 0.2 * (10*1.5 + 5) // requests a second
		for _, p := range s.replicas["single"] {
			came, _ := p.Came()
			is.True(came > 0)
			is.True(float64(came) <= each*(time.Since(begun).Seconds()+1))
		}
	})
}

// coldCame makes the upstreams of "single" cold before the table says what cold
// ones bear, then sends many requests, and returns what came to each within a
// second, and what may come.
func coldCame(s *stage) (came []int, most float64) {
	table := *s.table
	s.flow.Configure(route.New(route.Table{}))
	for _, u := range s.ups["single"] {
		u.ColdUntil = time.Now().Add(time.Minute)
	}
	s.show()
	table.Services = []route.Service{{Name: "single", ColdRate: 10}}
	s.table = route.New(table)
	s.flow.Configure(s.table)
	for i := range 100 {
		go s.serve(context.Background(), fmt.Sprint("cold", i), "/read/1")
	}
	time.Sleep(time.Second)
	for _, p := range s.replicas["single"] {
		n, _ := p.Came()
		came = append(came, n)
	}
	return came, 0.2 * (10*1.5 + 5)
}

// TestColdBeforeTable has the upstreams known before the table: its limits hold
// from the first request on. A daemon that started sent what it liked for half
// a second.
func TestColdBeforeTable(t *testing.T) {
	play(t, 1, func(s *stage) {
		time.Sleep(coldWindow + 10*time.Millisecond)
		came, most := coldCame(s)
		for _, n := range came {
			is.New(s.t).True(float64(n) <= most)
		}
	})
}

// TestColdAfterStart has a daemon start: it leaves room for what it may have
// sent before it was killed.
func TestColdAfterStart(t *testing.T) {
	play(t, 1, func(s *stage) {
		came, most := coldCame(s)
		for _, n := range came {
			is.New(s.t).True(float64(n) <= (1-spare)*most)
		}
	})
}

// TestUsers counts who uses the upstreams of a region.
func TestUsers(t *testing.T) {
	tests := []struct {
		name    string
		regions []string // of the upstreams
		daemons map[string]int
		want    map[string]int
	}{
		{name: "nobody is known", regions: []string{"x"}, want: map[string]int{"x": 0}},
		{name: "each region has its own", regions: []string{"x", "x", "y"}, daemons: map[string]int{"x": 3, "y": 4}, want: map[string]int{"x": 3, "y": 4}},
		{name: "a region without", regions: []string{"x", "y"}, daemons: map[string]int{"x": 3, "y": 4, "z": 10}, want: map[string]int{"x": 13, "y": 14}},
		{name: "one for all", regions: []string{"x"}, daemons: map[string]int{"x": 3, "y": 4, "z": 10}, want: map[string]int{"x": 17}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var all []*target
			for _, r := range tt.regions {
				all = append(all, &target{up: &roster.Upstream{Region: r}})
			}
			is.New(t).Equal(users(all, tt.daemons), tt.want)
		})
	}
}
