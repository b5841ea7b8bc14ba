// Package kernel manages the services of a process: it registers them by name,
// starts them in the order of registration and stops them in reverse order.
package kernel

import (
	"context"
	"fmt"

	"bronzedoor.dev/bronzedoor/internal/fault"
)

// A Service is a component of a process that can be started and stopped.
type Service interface {
	// Start returns once the service is ready. The context ends after the
	// kernel has stopped all services.
	Start(ctx context.Context) error
	// Stop returns when the service has no work left, or when ctx ends.
	Stop(ctx context.Context) error
}

type entry struct {
	name    string
	service Service
}

// A Kernel starts and stops the services of a process. The zero value is ready to
// use. It is not safe for concurrent use: services call Lookup within their Start.
type Kernel struct {
	entries []entry
	started int // entries[:started] are started
	cancel  context.CancelFunc
}

// Register adds a service. It returns an error if the name is taken.
func (k *Kernel) Register(name string, s Service) error {
	if k.find(name) != nil {
		return fault.New("register", "", "service %q is registered twice", name)
	}
	k.entries = append(k.entries, entry{name: name, service: s})
	return nil
}

func (k *Kernel) find(name string) Service {
	for _, e := range k.entries {
		if e.name == name {
			return e.service
		}
	}
	return nil
}

// Lookup returns the service with the given name. It returns an error if there is
// none or if it is not a T.
func Lookup[T Service](k *Kernel, name string) (T, error) {
	var zero T
	s := k.find(name)
	if s == nil {
		return zero, fault.New("lookup", "", "no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fault.New("lookup", "", "service %q has unexpected type %T", name, s)
	}
	return t, nil
}

// Start starts the services in order. If one fails, Start stops those before it
// and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, e := range k.entries {
		if err := e.service.Start(ctx); err != nil {
			_ = k.Stop(ctx)
			return fault.Wrap(fmt.Errorf("service %s: %w", e.name, err), "start", "")
		}
		k.started++
	}
	return nil
}

// Stop stops the started services in reverse order, all of them even if one
// fails, and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for k.started > 0 {
		k.started--
		e := k.entries[k.started]
		if err := e.service.Stop(ctx); err != nil && first == nil {
			first = fault.Wrap(fmt.Errorf("service %s: %w", e.name, err), "stop", "")
		}
	}
	if k.cancel != nil {
		k.cancel()
	}
	return first
}
