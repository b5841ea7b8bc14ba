package intake

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"

	"github.com/matryer/is"
)

// TestLimitHeap guards against garbage that is left until the memory in use has doubled, which
// may be more than the VM has.
func TestLimitHeap(t *testing.T) {
	const inUse, piece = 48 << 20, 1 << 20
	is := is.New(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	defer debug.FreeOSMemory()
	debug.FreeOSMemory() // what other tests have left
	limit := int64(96 << 20)
	LimitHeap(limit)
	var held [][]byte
	for range inUse / piece {
		held = append(held, make([]byte, piece))
	}
	peak := uint64(0)
	for range 200 {
		held[0] = make([]byte, piece)
		peak = max(peak, mapped())
	}
	runtime.KeepAlive(held)
	is.True(peak <= uint64(limit))
	LimitHeap(0) // changes nothing
	is.True(debug.SetMemoryLimit(-1) < math.MaxInt64)
}

// mapped returns the bytes of memory that the runtime has and did not give back.
func mapped() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
