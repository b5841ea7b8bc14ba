package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRampUp(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		name    string
		age     time.Duration // of the process
		counted time.Duration // how long others have counted it; negative if they don't
		want    float64
	}{
		{name: "just started", age: 0, counted: 0, want: 0},
		{name: "started before the clock was read", age: -time.Second, counted: 0, want: 0},
		{name: "half a window old", age: window / 2, counted: window / 2, want: startFraction / 2},
		{name: "a window old", age: window, counted: window, want: SteadyFraction},
		{name: "not counted", age: 3 * window, counted: -1, want: startFraction},
		{name: "counted since now", age: 3 * window, counted: 0, want: startFraction},
		{name: "counted for a window", age: 3 * window, counted: window, want: SteadyFraction},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			r := RampUp{Started: now.Add(-tt.age)}
			if tt.counted >= 0 {
				r.Counted = now.Add(-tt.counted)
			}
			got := r.Fraction(window, now)
			is.New(t).True(got > tt.want-1e-9 && got < tt.want+1e-9)
		})
	}
}

// A drawnVM is a VM whose process uses all that it may of a budget and of a rate.
type drawnVM struct {
	budget WindowBudget
	rate   RateLimiter
	share  float64
}

// restart replaces the process: the new one has counted nothing so far. Others know
// of it after counted.
func (v *drawnVM) restart(now time.Time, counted time.Duration) {
	*v = drawnVM{share: v.share}
	v.set(RampUp{Started: now, Counted: now.Add(counted)})
}

const (
	drawnSlack  = 60.0             // of the whole fleet in each drawnWindow
	drawnRate   = 40.0             // of the whole fleet in each second
	drawnWindow = 10 * time.Second // of the budget
)

func (v *drawnVM) set(ramp RampUp) {
	v.budget.Set(0, drawnSlack*v.share, drawnWindow, ramp)
	v.rate.Set(drawnRate*v.share, ramp)
}

// use takes all that the budget and the rate allow.
func (v *drawnVM) use(now time.Time) (extra, sent int) {
	extra = takeAll(&v.budget, now)
	for v.rate.Take(now) {
		v.rate.Done(now)
		sent++
	}
	return extra, sent
}

// TestRampUpDrawn draws schedules of processes that are restarted, alone or all at
// once and again and again, and of VMs that join. Each process uses all that it may
// at each step. The limits must hold for the sum of all in any window: a process
// that had its whole share at its start let the fleet send twice the budget.
func TestRampUpDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const settle = 2 * time.Second // until all others know of a VM that joins
		now := time.Now()
		vms := make([]*drawnVM, rapid.IntRange(1, 6).Draw(t, "vms"))
		for i := range vms {
			vms[i] = &drawnVM{share: 1 / float64(len(vms))}
			vms[i].set(RampUp{Started: now.Add(-time.Hour), Counted: now.Add(-time.Hour)})
		}
		var extras, sends []time.Time
		var pending []joining
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			vms, pending = settleJoined(vms, pending, now)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")].restart(now, 0)
			case 1:
				for _, v := range vms {
					v.restart(now, 0)
				}
			case 2:
				v := &drawnVM{share: 1 / float64(len(vms)+len(pending)+1)}
				v.restart(now, settle)
				pending = append(pending, joining{vm: v, at: now.Add(settle)})
			}
			for _, v := range vms {
				extra, sent := v.use(now)
				extras = appendTimes(extras, now, extra)
				sends = appendTimes(sends, now, sent)
			}
			for _, j := range pending {
				extra, sent := j.vm.use(now)
				extras = appendTimes(extras, now, extra)
				sends = appendTimes(sends, now, sent)
			}
		}
		if n := mostWithin(extras, drawnWindow); float64(n) > drawnSlack {
			t.Fatalf("%d extra attempts within %v, %v are allowed", n, drawnWindow, drawnSlack)
		}
		if n := mostWithin(sends, time.Second); float64(n) > drawnRate {
			t.Fatalf("%d requests within a second, %v are allowed", n, drawnRate)
		}
	})
}

// A joining VM is not known to the others before at.
type joining struct {
	vm *drawnVM
	at time.Time
}

// settleJoined moves the VMs that the others know by now from joining to vms, and
// divides the limits anew.
func settleJoined(vms []*drawnVM, joined []joining, now time.Time) ([]*drawnVM, []joining) {
	var rest []joining
	for _, j := range joined {
		if now.Before(j.at) {
			rest = append(rest, j)
			continue
		}
		vms = append(vms, j.vm)
	}
	for _, v := range vms {
		v.share = 1 / float64(len(vms))
		v.set(v.budget.ramp)
	}
	return vms, rest
}

func appendTimes(all []time.Time, at time.Time, n int) []time.Time {
	for range n {
		all = append(all, at)
	}
	return all
}

// mostWithin returns the most times, which are in order, within one window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
