package intake

import "runtime/debug"

// heapShare is the share of a process's memory that the Go runtime may take before it collects
// garbage more often. The rest is for the program's text and the kernel's buffers.
const heapShare = 0.75

// LimitHeap makes the garbage collector keep this process within the limit in bytes; 0 means no
// limit. It holds for all daemons of the process.
func LimitHeap(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(limit)))
	}
}
