package intake

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"

	"github.com/matryer/is"
)

// TestLimitHeap guards against garbage that is left until the memory in use has doubled, which
// may be more than the VM has.
func TestLimitHeap(t *testing.T) {
	const inUse = 48 << 20
	is := is.New(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	held := make([]byte, inUse)
	runtime.GC()
	is.True(heapGoal() >= 2*inUse)
	limit := int64(96 << 20)
	LimitHeap(limit)
	runtime.GC()
	is.True(heapGoal() > inUse)
	is.True(float64(heapGoal()) <= heapShare*float64(limit))
	LimitHeap(0) // changes nothing
	runtime.GC()
	is.True(float64(heapGoal()) <= heapShare*float64(limit))
	runtime.KeepAlive(held)
}

// heapGoal returns the size in bytes up to which the heap grows before garbage is collected.
func heapGoal() uint64 {
	samples := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}
