package client

import (
	"errors"
	"io"

	"bronzedoor.dev/bronzedoor/internal/quota"
)

// ErrMemory is returned for a response that was given up because the long responses
// that were read at the same time took too much memory.
var ErrMemory = errors.New("responses take too much memory")

// shortBody is the size in bytes up to which a body needs no share of Pool.Memory, so that
// ordinary responses are read while long ones have used it up. The limit on requests in
// flight bounds their number.
const shortBody = 64 << 10

// A memoryReader reads a body whose part above shortBody is reserved in memory.
type memoryReader struct {
	r      io.Reader
	memory *quota.Quota
	read   int64
	taken  int64 // bytes reserved; release returns them
}

// Read reads from the body. The error is ErrMemory if there is no memory left.
func (r *memoryReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.read += int64(n)
	if more := r.read - shortBody - r.taken; more > 0 {
		if !r.memory.Take(more) {
			return 0, ErrMemory
		}
		r.taken += more
	}
	return n, err
}

// release returns what was reserved.
func (r *memoryReader) release() {
	r.memory.Return(r.taken)
}
