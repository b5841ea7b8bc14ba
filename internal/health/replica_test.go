package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	nearRTT = time.Millisecond
	farRTT  = 40 * time.Millisecond
	typical = 10 * time.Millisecond
)

// TestCost compares the cost of a near replica in various conditions with that of
// a far, healthy one.
func TestCost(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		make func(r *Replica)
		near bool // the near one costs less
	}{
		{name: "healthy", make: func(*Replica) {}, near: true},
		{name: "normal variation of latency", make: func(r *Replica) { r.RecordLatency(now, 2*typical, typical, nearRTT) }, near: true},
		{name: "slow", make: func(r *Replica) { r.RecordLatency(now, 10*typical, typical, nearRTT) }},
		{name: "a request in flight for long", make: func(r *Replica) { r.Begin(now.Add(-100*time.Millisecond), 9) }},
		{name: "a request in flight for a typical latency", make: func(r *Replica) { r.Begin(now.Add(-10*time.Millisecond), 9) }, near: true},
		{name: "a single failure", make: func(r *Replica) {
			r.RecordFailure(now)
			for range 9 {
				r.RecordSuccess(now)
			}
		}, near: true},
		{name: "half of the requests fail", make: func(r *Replica) {
			for range 10 {
				r.RecordSuccess(now)
				r.RecordFailure(now)
			}
		}},
		{name: "slow some time ago", make: func(r *Replica) { r.RecordLatency(now.Add(-5*time.Second), 10*typical, typical, nearRTT) }, near: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Replica{Slots: 4}
			tt.make(r)
			far := &Replica{Slots: 4}
			is.Equal(r.Cost(now, nearRTT, typical) < far.Cost(now, farRTT, typical), tt.near)
		})
	}
}

// TestLimitGrowsAndFalls lets a replica answer requests and then reject them, as an
// overloaded one does. The limit must grow with answers and fall with rejections,
// once for those of one moment, but not below minLimit.
func TestLimitGrowsAndFalls(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Replica{Slots: 4}
	fill(r, now, 4)
	is.True(!r.HasRoom(64))
	answer(r, now, 40)
	is.True(r.HasRoom(64)) // it has grown
	before := r.currentLimit()
	for range 20 {
		r.RecordShed(now)
	}
	is.Equal(r.currentLimit(), before*decreaseFactor) // sheds at one time count once
	for i := range 40 {
		r.RecordShed(now.Add(time.Duration(i) * decreaseInterval))
	}
	is.True(r.currentLimit() <= 2*minLimit)
	is.True(r.currentLimit() >= minLimit)
}

func fill(r *Replica, now time.Time, n int) {
	for range n {
		r.Begin(now, 64)
	}
}

func answer(r *Replica, now time.Time, n int) {
	for range n {
		r.End(now)
		r.RecordLatency(now, typical, typical, nearRTT)
		r.Begin(now, 64)
	}
}

// TestLimitGrowsWithRTT checks that requests on the network are not counted as
// occupying a slot: a far replica has a higher limit and a lower utilization.
func TestLimitGrowsWithRTT(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Replica{Slots: 2}
	r.RecordLatency(now, typical, typical, farRTT)
	for i := range 40 {
		r.RecordShed(now.Add(time.Duration(i) * decreaseInterval))
	}
	is.True(r.currentLimit() >= 2*minLimit)
	before := r.Cost(now, farRTT, typical)
	fill(r, now, 4)
	is.True(r.Cost(now, farRTT, typical) < before+typical)
}

func TestConnectionsLimitRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Replica{Slots: 4}
	is.True(r.Begin(now, 1))
	is.True(!r.Begin(now, 1))
	r.End(now)
	is.True(r.Begin(now, 1))
}

func TestMovedIsFinal(t *testing.T) {
	is := is.New(t)
	r := &Replica{Slots: 1}
	is.True(r.Usable())
	r.SetDown(true)
	is.True(!r.Usable())
	r.SetDown(false)
	is.True(r.Usable())
	r.SetMoved()
	r.SetDown(false)
	is.True(!r.Usable())
}
