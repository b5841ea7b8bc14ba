// Package kern is the kernel of a process: it holds services by name, starts
// them in the order of registration and stops them in reverse.
package kern

import (
	"context"
	"fmt"

	"bronzedoor.dev/bronzedoor/internal/fault"
)

// A Service is a part of a process that can be started and stopped.
type Service interface {
	// Start returns once the service is ready. The context ends when the
	// kernel has stopped.
	Start(ctx context.Context) error
	// Stop returns when the service holds no work, or when ctx ends.
	Stop(ctx context.Context) error
}

type entry struct {
	name    string
	service Service
}

// A Kernel holds services by name. The zero value is ready to use. It is not
// safe for concurrent use; services look each other up while they start.
type Kernel struct {
	entries []entry
	running int // services started
	cancel  context.CancelFunc
}

// Register adds a service. Names are unique.
func (k *Kernel) Register(name string, s Service) error {
	if k.find(name) != nil {
		return fault.New("register", "", "service %q stands twice", name)
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

// Lookup returns the service of that name and type.
func Lookup[T Service](k *Kernel, name string) (T, error) {
	var zero T
	s := k.find(name)
	if s == nil {
		return zero, fault.New("lookup", "", "no service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fault.New("lookup", "", "service %q is a %T", name, s)
	}
	return t, nil
}

// Start starts the services in order. When one fails, those before it are
// stopped and the error is returned.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, e := range k.entries {
		if err := e.service.Start(ctx); err != nil {
			_ = k.Stop(ctx)
			return fault.Wrap(fmt.Errorf("service %s: %w", e.name, err), "start", "")
		}
		k.running++
	}
	return nil
}

// Stop stops the started services in reverse and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for k.running > 0 {
		k.running--
		e := k.entries[k.running]
		if err := e.service.Stop(ctx); err != nil && first == nil {
			first = fault.Wrap(fmt.Errorf("service %s: %w", e.name, err), "stop", "")
		}
	}
	if k.cancel != nil {
		k.cancel()
	}
	return first
}
