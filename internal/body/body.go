// Package body reads message bodies of bounded size.
package body

import (
	"fmt"
	"io"
)

// A TooLongError says that a body is longer than allowed.
type TooLongError struct {
	Max int64 // bytes allowed
}

// Error returns the limit as text.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("body exceeds %d bytes", e.Max)
}

// Read reads all of r. The error is a *TooLongError if that is more than limit bytes,
// so that a body which was cut off is not taken for a whole one.
func Read(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, &TooLongError{Max: limit}
	}
	return b, nil
}
