// Package fault annotates errors with the step that failed and the peer involved.
package fault

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// A Step names the operation that failed, such as "dial".
type Step string

// An Error is an error annotated with its step and its peer.
type Error struct {
	Step Step   // operation that failed; not empty
	Peer string // address of the other side, or file; empty if there is none
	Err  error  // cause; not nil
}

// Error returns "step at peer: cause", or "step: cause" without a peer.
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

// Wrap annotates err with a step and a peer; it returns nil if err is nil. An error
// that already contains an Error is returned unchanged: the step and the peer are
// those where the error arose.
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

// New returns an Error with a step, a peer and a cause formatted as by fmt.Errorf.
func New(step Step, peer, format string, args ...any) error {
	return Wrap(fmt.Errorf(format, args...), step, peer)
}
