package kern

import (
	"context"
	"sync"
)

// Duties are the goroutines of a service. The zero value is ready to use.
type Duties struct {
	work   sync.WaitGroup
	cancel context.CancelFunc
}

// Begin counts n goroutines that are about to start, and returns the context
// that ends with them. Each calls Done when it returns.
func (d *Duties) Begin(ctx context.Context, n int) context.Context {
	ctx, d.cancel = context.WithCancel(ctx)
	d.work.Add(n)
	return ctx
}

// Add counts one goroutine more.
func (d *Duties) Add() {
	d.work.Add(1)
}

// Done counts one goroutine out.
func (d *Duties) Done() {
	d.work.Done()
}

// End ends the context and returns when all goroutines have returned.
func (d *Duties) End() {
	d.cancel()
	d.work.Wait()
}

// A Worker is a service that is one loop. Loop returns when its context ends.
type Worker struct {
	Loop func(ctx context.Context)

	duties Duties
}

// Start starts the loop.
func (w *Worker) Start(ctx context.Context) error {
	go w.run(w.duties.Begin(ctx, 1))
	return nil
}

// Stop ends the loop, and returns when it has.
func (w *Worker) Stop(context.Context) error {
	w.duties.End()
	return nil
}

func (w *Worker) run(ctx context.Context) {
	defer w.duties.Done()
	w.Loop(ctx)
}
