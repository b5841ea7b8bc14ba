package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStatedRateOfFleet guards against a fleet that exceeds the rate which an upstream
// states: in fleets of drawn sizes, after times without demand, all processes ask for
// as much as they can get.
func TestStatedRateOfFleet(t *testing.T) {
	const step = 20 * time.Millisecond
	const window = 4 * time.Second
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		n := 1 + rnd.IntN(300)
		perSecond := 1 + 80*rnd.Float64()
		now := time.Now()
		fleet := make([]StatedRate, n)
		for i := range fleet {
			fleet[i].Phase = rnd.Float64
			fleet[i].SetShare(1/float64(n), steady)
			fleet[i].Observe(true, perSecond, now, now)
		}
		now = now.Add(time.Duration(rnd.IntN(60)) * time.Second)
		sent := 0
		for end := now.Add(window); now.Before(end); now = now.Add(step) {
			for i := range fleet {
				if ok, _ := fleet[i].Take(now); ok {
					sent++
				}
			}
		}
		if allowed := 1.5*perSecond*window.Seconds() + 5; float64(sent) > allowed {
			t.Errorf("seed %d: %d processes sent %d requests in %v, %.0f are allowed", seed, n, sent, window, allowed)
		}
		if least := 0.5 * perSecond * window.Seconds(); float64(sent) < least-5 {
			t.Errorf("seed %d: %d processes sent %d requests in %v, less than half of the rate", seed, n, sent, window)
		}
	}
}

// TestStatedRateOneProcess checks when a process that is alone with an upstream may
// send to it.
func TestStatedRateOneProcess(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var r StatedRate
	r.SetShare(1, steady)
	ok, limited := r.Take(now)
	is.True(ok && !limited) // no limit is stated
	is.True(r.Observe(true, 10, now, now))
	is.True(!r.Observe(true, 10, now, now))
	sent := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := r.Take(now); ok {
			sent++
		}
	}
	is.True(sent >= 84 && sent <= 87) // SteadyFraction of 10 per second, for 10 s
	now = now.Add(r.Wait(now))
	ok, _ = r.Take(now)
	is.True(ok)   // after the time that Wait returned
	r.Return(now) // the request was not sent
	is.Equal(r.Wait(now), 0*time.Second)
}

// TestStatedRateEnds checks that a limit ends with a reply that was requested after
// the limit was last stated, and not with an earlier one that arrives late.
func TestStatedRateEnds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var r StatedRate
	r.SetShare(0.01, steady)
	r.Observe(true, 1, now, now)
	is.True(!r.Observe(false, 0, now.Add(-time.Second), now.Add(time.Second)))
	is.True(r.Limited())
	is.True(r.Observe(false, 0, now.Add(time.Second), now.Add(2*time.Second)))
	is.True(!r.Limited())
	ok, limited := r.Take(now)
	is.True(ok && !limited)
}

// TestStatedRateRises checks that a slot far in the future is brought forward when
// the rate rises, or the process is no longer new.
func TestStatedRateRises(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var r StatedRate
	r.SetShare(1, steady)
	r.Observe(true, 0, now, now) // as at minStatedRate
	r.Take(now.Add(r.Wait(now)))
	r.Observe(true, 100, now, now)
	is.True(r.Wait(now) < 20*time.Millisecond)
}

// TestStatedRateExtremes guards against limits from outside that stop the process: once,
// a rate above a request per nanosecond led to a division by zero.
func TestStatedRateExtremes(t *testing.T) {
	for _, perSecond := range []float64{0, 1e-300, 1e9, 1e12, 1e300, math.MaxFloat64} {
		is := is.New(t)
		now := time.Now()
		var r StatedRate
		r.SetShare(0.5, steady)
		r.Observe(true, perSecond, now, now)
		later := now.Add(time.Hour)
		is.True(r.Interval(later) > 0)
		is.True(r.Wait(later) >= 0)
		ok, limited := r.Take(later)
		is.True(limited)
		is.True(ok || perSecond < 1)
		r.Return(later)
	}
}
