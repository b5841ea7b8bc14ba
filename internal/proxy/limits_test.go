package proxy

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/roster"
	"bronzedoor.dev/bronzedoor/internal/route"
)

// TestColdReplica checks that a cold upstream gets no more requests than this
// daemon's share of its cold rate.
func TestColdReplica(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		is := is.New(s.t)
		s.makeCold()
		begun := time.Now()
		for range 50 {
			s.send("/read/1")
		}
		const each = 0.2 * (10*1.5 + 5) // requests per second
		for _, p := range s.replicas["single"] {
			came, _ := p.Requests()
			is.True(came > 0)
			is.True(float64(came) <= each*(time.Since(begun).Seconds()+1))
		}
	})
}

// makeCold sets a cold rate for the service "single" and makes its upstreams cold.
func (s *scenario) makeCold() {
	table := *s.table
	table.Services = []route.Service{{Name: "single", ColdRate: 10}}
	s.proxy.SetTable(route.New(table))
	for _, u := range s.upstreams["single"] {
		u.ColdUntil = time.Now().Add(time.Minute)
	}
	s.publish()
}

// coldArrivals makes the upstreams of "single" cold before the table sets a cold
// rate, then sends 100 requests at once. It returns the number that arrived at each
// upstream within a second, and this daemon's share of the cold rate.
func coldArrivals(s *scenario) (arrived []int, allowed float64) {
	table := *s.table
	s.proxy.SetTable(route.New(route.Table{}))
	for _, u := range s.upstreams["single"] {
		u.ColdUntil = time.Now().Add(time.Minute)
	}
	s.publish()
	table.Services = []route.Service{{Name: "single", ColdRate: 10}}
	s.table = route.New(table)
	s.proxy.SetTable(s.table)
	for i := range 100 {
		go s.serve(context.Background(), fmt.Sprint("cold", i), "/read/1")
	}
	time.Sleep(time.Second)
	for _, p := range s.replicas["single"] {
		n, _ := p.Requests()
		arrived = append(arrived, n)
	}
	return arrived, 0.2 * (10*1.5 + 5)
}

// TestColdBeforeTable checks that the cold rate of a table applies from the first
// request on to upstreams that were known before it. Once, a daemon that had just
// started sent without a limit for half a second.
func TestColdBeforeTable(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		arrived, allowed := coldArrivals(s)
		for _, n := range arrived {
			is.New(s.t).True(float64(n) <= allowed)
		}
	})
}

// TestColdAfterStart checks that a daemon that has just started sends less to cold
// upstreams, since it may have sent requests before it was killed.
func TestColdAfterStart(t *testing.T) {
	runScenario(t, 1, func(s *scenario) {
		s.restartProxy()
		arrived, allowed := coldArrivals(s)
		for _, n := range arrived {
			is.New(s.t).True(float64(n) <= (1-limit.SteadyFraction)*allowed)
		}
	})
}

// TestUsersByRegion checks how many daemons count as users of a region's upstreams.
func TestUsersByRegion(t *testing.T) {
	tests := []struct {
		name    string
		regions []string // of the upstreams
		daemons map[string]int
		want    map[string]int
	}{
		{name: "no known daemons", regions: []string{"x"}, want: map[string]int{"x": 0}},
		{name: "upstreams in every region", regions: []string{"x", "x", "y"}, daemons: map[string]int{"x": 3, "y": 4}, want: map[string]int{"x": 3, "y": 4}},
		{name: "a region without upstreams", regions: []string{"x", "y"}, daemons: map[string]int{"x": 3, "y": 4, "z": 10}, want: map[string]int{"x": 13, "y": 14}},
		{name: "upstreams in one region only", regions: []string{"x"}, daemons: map[string]int{"x": 3, "y": 4, "z": 10}, want: map[string]int{"x": 17}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var all []*upstream
			for _, r := range tt.regions {
				all = append(all, &upstream{info: &roster.Upstream{Region: r}})
			}
			is.New(t).Equal(usersByRegion(all, tt.daemons), tt.want)
		})
	}
}

// TestOlderShareIsNotApplied changes the share while SetUpstreams is about to apply
// the one that it has read. Once, the older share then held until the next
// maintenance.
func TestOlderShareIsNotApplied(t *testing.T) {
	is := is.New(t)
	read, proceed := make(chan struct{}), make(chan struct{})
	var blockNext atomic.Bool
	p := &Proxy{LimitShare: func() float64 {
		if blockNext.CompareAndSwap(true, false) {
			close(read)
			<-proceed
			return 1
		}
		return 0
	}}
	p.SetLimits(Limits{BudgetSlack: 100, BudgetWindow: budgetWindow})
	p.group("single")
	blockNext.Store(true)
	done := make(chan struct{}, 2)
	go (&shareUpdater{update: p.UpdateShare, done: done}).run()
	<-read
	go (&shareUpdater{update: func() { p.SetUpstreams(&roster.View{}) }, done: done}).run()
	go (&shareUpdater{update: p.UpdateShare, done: done}).run()
	time.Sleep(20 * time.Millisecond) // enough for the second update, unless it waits
	close(proceed)
	for range 3 {
		<-done
	}
	is.True(!p.group("single").budget.Take(time.Now().Add(time.Hour)))
}

// A shareUpdater calls update once.
type shareUpdater struct {
	update func()
	done   chan<- struct{}
}

func (u *shareUpdater) run() {
	u.update()
	u.done <- struct{}{}
}
