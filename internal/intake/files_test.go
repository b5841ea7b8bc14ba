package intake

import (
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestMaxFiles guards against a daemon that uses up its descriptors because its settings don't
// say how many there are.
func TestMaxFiles(t *testing.T) {
	is := is.New(t)
	var limit syscall.Rlimit
	is.NoErr(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	low := limit
	low.Cur = min(limit.Cur, 700)
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low))
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	is.Equal(MaxFiles(), int(low.Cur))
}
