package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A sentRequest is one request that a limiter admitted.
type sentRequest struct {
	at    time.Duration
	extra bool
}

// steady is the ramp-up of a process that started long ago.
var steady = RampUp{Counted: time.Unix(0, 0)}

// TestWindowBudgetAcrossDaemons draws first and extra attempts of several daemons
// that do not communicate. No window, wherever it starts, may hold more extra
// attempts than ratio times the first attempts plus slack. First attempts are
// counted in that window, half a window earlier or a window earlier, whichever
// gives most.
func TestWindowBudgetAcrossDaemons(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 56.0
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		budgets := make([]WindowBudget, daemons)
		for i := range budgets {
			budgets[i].Set(ratio, slack/float64(daemons), window, steady)
		}
		var sent []sentRequest
		base := time.Now()
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			firsts := rapid.IntRange(0, 3).Draw(t, "first attempts")
			for range firsts {
				b.CountFirst(base.Add(at))
				sent = append(sent, sentRequest{at: at})
			}
			for range rapid.IntRange(0, 30).Draw(t, "retries") {
				if b.Take(base.Add(at)) {
					sent = append(sent, sentRequest{at: at, extra: true})
				}
			}
		}
		for _, s := range sent {
			maxFirst := 0.0
			for _, earlier := range []time.Duration{0, window / 2, window} {
				first, _ := count(sent, s.at-earlier-window, s.at-earlier)
				maxFirst = max(maxFirst, float64(first))
			}
			if _, extra := count(sent, s.at-window, s.at); float64(extra) > ratio*maxFirst+slack {
				t.Fatalf("%d extra attempts in the window that ends at %v, for %v first attempts", extra, s.at, maxFirst)
			}
		}
	})
}

// count counts the first and extra attempts sent after from and up to to.
func count(sent []sentRequest, from, to time.Duration) (first, extra int) {
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

func TestWindowBudgetReturn(t *testing.T) {
	is := is.New(t)
	var b WindowBudget
	now := time.Now()
	is.True(!b.Take(now)) // the zero value allows none
	b.Set(0, 1.2, 10*time.Second, steady)
	is.True(b.Take(now))
	is.True(!b.Take(now))
	b.Return(now)
	is.True(b.Take(now))
	is.True(!b.Take(now.Add(9 * time.Second)))
	is.True(b.Take(now.Add(11 * time.Second)))
}

// TestRateLimiter draws requests as to a cold upstream. No second may hold more of
// them than the limit.
func TestRateLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		var r RateLimiter
		r.Set(float64(limit), steady)
		base := time.Now()
		at := time.Duration(0)
		var sent []sentRequest
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			if r.Take(base.Add(at)) {
				sent = append(sent, sentRequest{at: at})
			}
			if n, _ := count(sent, at-time.Second, at); n > limit {
				t.Fatalf("%d requests within a second, limit %d", n, limit)
			}
		}
	})
}

func TestRateLimiterUnlimited(t *testing.T) {
	is := is.New(t)
	var r RateLimiter
	is.True(!r.Take(time.Now())) // the zero value allows none
	r.Set(-1, RampUp{})
	for range 100 {
		is.True(r.Take(time.Now()))
	}
}

// TestWindowBudgetSet changes the settings of a budget that has been used. A window
// of 0 once made an index negative, and a changed window once forgot what had been
// taken in the old one.
func TestWindowBudgetSet(t *testing.T) {
	const slack = 4 / SteadyFraction
	tests := []struct {
		name   string
		window time.Duration // after the budget of 4 in 10 s has been taken
		slack  float64
		want   int // extra attempts that can then be taken
	}{
		{name: "the same", window: 10 * time.Second, slack: slack, want: 0},
		{name: "no window", window: 0, slack: slack, want: 0},
		{name: "negative window", window: -time.Second, slack: slack, want: 0},
		{name: "longer window", window: 20 * time.Second, slack: slack, want: 0},
		{name: "shorter window", window: time.Second, slack: slack, want: 0},
		{name: "more slack in another window", window: 20 * time.Second, slack: 2 * slack, want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b WindowBudget
			b.Set(0, slack, 0, steady)
			now := time.Now()
			b.CountFirst(now.Add(-time.Millisecond)) // the clock was read before Set
			is.True(!b.Take(now))
			b.Set(0, slack, 10*time.Second, steady)
			is.Equal(takeAll(&b, now), 4)
			b.Set(0, tt.slack, tt.window, steady)
			is.Equal(takeAll(&b, now), tt.want)
		})
	}
}

// takeAll takes what is left of a budget and returns how much that was.
func takeAll(b *WindowBudget, now time.Time) int {
	n := 0
	for b.Take(now) {
		n++
	}
	return n
}
