package server

import (
	"context"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
)

// Fractions of the grace period, counted from its start.
const (
	acceptFraction = 0.7  // end of accepting new connections
	answerFraction = 0.95 // by then all requests have their answers
	finishFraction = 0.98 // end of delivering answers
)

// Drain ends service to callers gracefully. The daemon reports itself as not ready at
// once, but goes on accepting connections for the first part of the grace period, as
// callers need time to notice. It refuses requests that would probably not be answered
// within the grace period, so that callers can send them elsewhere, and answers those
// that it has admitted and that take longer than that with a timeout. Drain logs if
// there are still connections near the end of the grace period. It always returns nil,
// and leaves the other services running.
func (d *Daemon) Drain() error {
	start := time.Now()
	grace := d.GracePeriod()
	d.Flow.AnswerBy(start.Add(fraction(answerFraction, grace)))
	d.draining.Store(true)
	d.Log.Emit(event.DaemonLeaving, event.Fields{Step: "leave", Detail: d.Settings.Name})
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(fraction(finishFraction, grace)))
	defer cancel()
	time.Sleep(time.Until(start.Add(fraction(acceptFraction, grace))))
	if err := d.callers.drain(ctx); err != nil {
		d.Log.Emit(event.DrainIncomplete, event.Fields{Step: "leave", Err: fault.Wrap(err, "leave", "")})
	}
	d.Log.Emit(event.DaemonStopped, event.Fields{Step: "leave", Detail: d.Settings.Name})
	return nil
}

func fraction(f float64, d time.Duration) time.Duration {
	return time.Duration(f * float64(d))
}
