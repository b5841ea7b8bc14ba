package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	near    = time.Millisecond
	away    = 40 * time.Millisecond
	typical = 10 * time.Millisecond
)

// TestOrder compares a near replica in some condition with a far, sound one.
func TestOrder(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		make func(r *Replica)
		near bool // the near one is chosen
	}{
		{name: "sound", make: func(*Replica) {}, near: true},
		{name: "ordinary variation", make: func(r *Replica) { r.Took(now, 2*typical, typical, near) }, near: true},
		{name: "slow", make: func(r *Replica) { r.Took(now, 10*typical, typical, near) }},
		{name: "an old request without an answer", make: func(r *Replica) { r.Begin(now.Add(-100*time.Millisecond), 9) }},
		{name: "a young request without an answer", make: func(r *Replica) { r.Begin(now.Add(-10*time.Millisecond), 9) }, near: true},
		{name: "a failure now and then", make: func(r *Replica) {
			r.Bad(now)
			for range 9 {
				r.Good(now)
			}
		}, near: true},
		{name: "turns away half of its requests", make: func(r *Replica) {
			for range 10 {
				r.Good(now)
				r.Bad(now)
			}
		}},
		{name: "slow some time ago", make: func(r *Replica) { r.Took(now.Add(-5*time.Second), 10*typical, typical, near) }, near: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Replica{Slots: 4}
			tt.make(r)
			far := &Replica{Slots: 4}
			is.Equal(r.Cost(now, near, typical) < far.Cost(now, away, typical), tt.near)
		})
	}
}

// TestLimitUnderSheds answers, then turns requests away, as a replica does that
// gets more than it works off: the limit falls, and grows again with answers.
func TestLimitUnderSheds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Replica{Slots: 4}
	fill(r, now, 4)
	is.True(!r.Free(64))
	answer(r, now, 40)
	is.True(r.Free(64)) // it has grown
	before := r.limitNow()
	for range 20 {
		r.Shed(now)
	}
	is.Equal(r.limitNow(), before*limitCut) // sheds of one moment count once
	for i := range 40 {
		r.Shed(now.Add(time.Duration(i) * cutEvery))
	}
	is.True(r.limitNow() <= 2*limitLeast)
	is.True(r.limitNow() >= limitLeast)
}

func fill(r *Replica, now time.Time, n int) {
	for range n {
		r.Begin(now, 64)
	}
}

func answer(r *Replica, now time.Time, n int) {
	for range n {
		r.End(now)
		r.Took(now, typical, typical, near)
		r.Begin(now, 64)
	}
}

// TestFarReplicaBearsMore holds the requests that are on their way apart from
// those that hold a slot.
func TestFarReplicaBearsMore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &Replica{Slots: 2}
	r.Took(now, typical, typical, away)
	for i := range 40 {
		r.Shed(now.Add(time.Duration(i) * cutEvery))
	}
	is.True(r.limitNow() >= 2*limitLeast)
	before := r.Cost(now, away, typical)
	fill(r, now, 4)
	is.True(r.Cost(now, away, typical) < before+typical)
}

func TestConnectionsBoundRequests(t *testing.T) {
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
