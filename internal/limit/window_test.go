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
		share  = 0.85 // the fraction of the limit that daemons use
	)
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		budgets := make([]WindowBudget, daemons)
		for i := range budgets {
			budgets[i].Set(share*ratio, share*slack/float64(daemons), window)
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
	b.Set(0, 1, 10*time.Second)
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
		r.Set(float64(limit))
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
	r.Set(-1)
	for range 100 {
		is.True(r.Take(time.Now()))
	}
}
