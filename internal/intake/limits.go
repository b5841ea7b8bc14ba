package intake

import (
	"math"
	"syscall"

	"bronzedoor.dev/bronzedoor/internal/quota"
)

// Inverse of the shares of a process's limits that callers may take.
const (
	requestShareOfMemory = 4 // for reserved memory of callers' requests
	callerShareOfMemory  = 4 // for callers' connections, each with a short request
	callerShareOfFiles   = 2 // for callers' connections
)

// connMemory is the memory in bytes that a caller's connection takes besides its request: two
// goroutines' stacks and the buffers of an http.Server.
const connMemory = 32 << 10

// SetLimits sets the limits on memory and connections that follow from those of the process:
// its memory in bytes and the descriptors that it may open, 0 for no limit. It must be called
// before the first connection.
func (t *Table) SetLimits(memory int64, files int) {
	t.maxConns = files / callerShareOfFiles
	if memory <= 0 {
		return
	}
	each := t.ConnMemory
	if each == 0 {
		each = connMemory + shortRequest
		t.memory = &quota.Quota{Max: memory / requestShareOfMemory}
	}
	byMemory := int(memory / callerShareOfMemory / each)
	if t.maxConns == 0 || byMemory < t.maxConns {
		t.maxConns = max(byMemory, 1)
	}
}

// MaxFiles returns how many descriptors the kernel lets this process open; 0 for no limit.
func MaxFiles() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
