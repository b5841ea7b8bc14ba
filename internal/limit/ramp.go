package limit

import "time"

// Fractions of a process's share of a limit. The sum of both is below 1, and the
// rest is a margin, because a process counts a request when it sends it while
// others count it when it arrives.
const (
	// SteadyFraction is the fraction that a process uses that knows all it did
	// within the window of the limit.
	SteadyFraction = 0.85
	// startFraction is the fraction that one process after the other may use
	// within a window while each of them is new.
	startFraction = 0.1
)

// A RampUp tells what a process may use of its share of a limit after its start. A
// new process does not know what its predecessor did before it was killed, and
// others may have divided the limit without it until a moment ago. Within a window,
// the usage of those stays within SteadyFraction. A new process therefore uses what
// accrues at a rate of startFraction per window, until a window has passed since its
// start and since all others know it. However often processes are restarted, those
// that are new use at most startFraction in any window, because that accrues with
// time only.
type RampUp struct {
	Started time.Time // start of the process
	Counted time.Time // since when all others count the process when they divide the limit; zero while they may not
}

// Fraction returns the fraction of the process's share that it may use within the
// window that ends now.
func (r RampUp) Fraction(window time.Duration, now time.Time) float64 {
	age := now.Sub(r.Started)
	if age >= window && !r.Counted.IsZero() && now.Sub(r.Counted) >= window {
		return SteadyFraction
	}
	return startFraction * min(float64(max(age, 0))/float64(max(window, 1)), 1)
}
