package kernel

import (
	"context"
	"sync"
)

// A Group holds the goroutines of a service and the context that ends them. The
// zero value is ready to use.
type Group struct {
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

// Begin adds n goroutines that the caller is about to start, and returns the
// context for them, which Stop cancels. Each must call Done when it returns.
func (g *Group) Begin(ctx context.Context, n int) context.Context {
	ctx, g.cancel = context.WithCancel(ctx)
	g.wg.Add(n)
	return ctx
}

// Add adds one goroutine to a group that has begun.
func (g *Group) Add() {
	g.wg.Add(1)
}

// Done removes one goroutine. A goroutine calls it when it returns.
func (g *Group) Done() {
	g.wg.Done()
}

// Stop cancels the context and waits until all goroutines have returned. Begin
// must have been called.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// A Worker is a service that runs Loop in one goroutine. Loop must return when its
// context ends.
type Worker struct {
	Loop func(ctx context.Context)

	goroutines Group
}

// Start starts Loop in a goroutine. It never fails.
func (w *Worker) Start(ctx context.Context) error {
	go w.run(w.goroutines.Begin(ctx, 1))
	return nil
}

// Stop cancels the context of Loop and waits until Loop has returned.
func (w *Worker) Stop(context.Context) error {
	w.goroutines.Stop()
	return nil
}

func (w *Worker) run(ctx context.Context) {
	defer w.goroutines.Done()
	w.Loop(ctx)
}
