package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// stamp is one request that a drawn schedule lets through.
type stamp struct {
	at    time.Duration
	extra bool
}

// TestExtraHoldsForTheFleet draws requests and retries of several daemons that
// know nothing of each other. In no window, of any phase, are there more extra
// requests than the ratio of the first ones and the slack allow. The first ones
// are counted in the window, half a window before, or the window before.
func TestExtraHoldsForTheFleet(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 56.0
		window = 10 * time.Second
		used   = 0.85 // of the bounds, as the daemons use them
	)
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		budgets := make([]Extra, daemons)
		for i := range budgets {
			budgets[i].Set(used*ratio, used*slack/float64(daemons), window)
		}
		var sent []stamp
		base := time.Now()
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			firsts := rapid.IntRange(0, 3).Draw(t, "firsts")
			for range firsts {
				b.First(base.Add(at))
				sent = append(sent, stamp{at: at})
			}
			for range rapid.IntRange(0, 30).Draw(t, "retries") {
				if b.Take(base.Add(at)) {
					sent = append(sent, stamp{at: at, extra: true})
				}
			}
		}
		for _, s := range sent {
			most := 0.0
			for _, back := range []time.Duration{0, window / 2, window} {
				first, _ := count(sent, s.at-back-window, s.at-back)
				most = max(most, float64(first))
			}
			if _, extra := count(sent, s.at-window, s.at); float64(extra) > ratio*most+slack {
				t.Fatalf("%d extra requests until %v, %v first ones", extra, s.at, most)
			}
		}
	})
}

// count counts the requests after from and up to to.
func count(sent []stamp, from, to time.Duration) (first, extra int) {
	for _, s := range sent {
		switch {
		case s.at <= from || s.at > to:
		case s.extra:
			extra++
		default:
			first++
		}
	}
	return first, extra
}

func TestExtraGivesBack(t *testing.T) {
	is := is.New(t)
	var e Extra
	now := time.Now()
	is.True(!e.Take(now)) // the zero value allows none
	e.Set(0, 1, 10*time.Second)
	is.True(e.Take(now))
	is.True(!e.Take(now))
	e.Give(now)
	is.True(e.Take(now))
	is.True(!e.Take(now.Add(9 * time.Second)))
	is.True(e.Take(now.Add(11 * time.Second)))
}

// TestRate draws requests to a cold upstream: no second holds more than allowed.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(0, 20).Draw(t, "most")
		var r Rate
		r.Set(float64(most))
		base := time.Now()
		at := time.Duration(0)
		var sent []stamp
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if r.Take(base.Add(at)) {
				sent = append(sent, stamp{at: at})
			}
			if n, _ := count(sent, at-time.Second, at); n > most {
				t.Fatalf("%d requests in a second, %d allowed", n, most)
			}
		}
	})
}

func TestRateWithoutBound(t *testing.T) {
	is := is.New(t)
	var r Rate
	is.True(!r.Take(time.Now())) // the zero value allows none
	r.Set(-1)
	for range 100 {
		is.True(r.Take(time.Now()))
	}
}
