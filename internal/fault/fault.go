// Package fault gives errors the step and the peer at which they arose.
package fault

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// A Step names what was being done when an error arose.
type Step string

// An Error is an error with its step and its peer.
type Error struct {
	Step Step   // what was being done; not empty
	Peer string // address of the other side; empty if there is none
	Err  error  // cause; not nil
}

// Error returns the step, the peer and the cause on one line.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Wrap returns err with its step and peer, or nil if err is nil. An error that
// already has a step is returned as it is: only the place where it arose counts.
func Wrap(err error, step Step, peer string) error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return trace.Wrap(&Error{Step: step, Peer: peer, Err: err})
}

// New returns an error with a step, a peer and a message.
func New(step Step, peer, format string, args ...any) error {
	return Wrap(fmt.Errorf(format, args...), step, peer)
}
