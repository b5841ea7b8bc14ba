package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"bronzedoor.dev/bronzedoor/internal/merge"
	"bronzedoor.dev/bronzedoor/internal/testbed"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Most that one idle daemon may use for control work, from the system's target.
const (
	maxControlBytes  = 2048 // bytes a second
	maxControlCore   = 1.5  // percent of a core
	maxControlMemory = 128  // MB
)

// targetDaemons is the fleet size that the system's target names.
const targetDaemons = 1200

// control measures what daemons cost without queries, at several fleet sizes, and
// extrapolates to the target's fleet size.
func control() Experiment {
	return Experiment{
		Name:     "control",
		Help:     "bytes, processor time and memory of idle daemons against the size of the fleet",
		Settings: []Setting{{"sizes", "4"}, {"seconds", "6"}, {"settle", "10"}, {"churn", "0.045"}},
		Run:      runControl,
	}
}

// fleetSizes are the numbers of daemons that are measured.
var fleetSizes = []int{8, 32, 100, 200}

func runControl(ctx context.Context, e *Env) error {
	var sizes, bytes, cores, memory []float64
	for _, n := range fleetSizes[:min(e.int("sizes"), len(fleetSizes))] {
		c, err := e.measureFleet(ctx, n)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(n))
		bytes = append(bytes, c.bytes)
		cores = append(cores, c.core)
		memory = append(memory, c.memory)
		name := fmt.Sprintf("%d daemons", n)
		e.Report.addFigure(name+": heartbeats sent", c.bytes, "B/s each")
		e.Report.addFigure(name+": processor", c.core, "% of a core each")
		e.Report.addFigure(name+": memory", c.memory, "MB each")
		e.Report.addFigure(name+": store reads", c.reads, "calls/s")
		e.Report.addFigure(name+": store watches", c.watches, "calls/s")
	}
	e.fitLine("heartbeats", sizes, bytes, maxControlBytes, " B/s")
	e.fitLine("processor", sizes, cores, maxControlCore, "%")
	e.fitLine("memory", sizes, memory, maxControlMemory, " MB")
	return nil
}

// fitLine fits a straight line to y over fleet sizes x, and checks its value at
// targetDaemons against bound.
func (e *Env) fitLine(name string, x, y []float64, bound float64, unit string) {
	a, b := stat.LinearRegression(x, y, nil, false)
	e.Report.addFigure(name+": at no fleet", a, unit)
	e.Report.addFigure(name+": slope", b, unit+" for each daemon")
	e.Report.addFigure(name+": r squared", stat.RSquared(x, y, nil, a, b), "")
	e.Report.checkAtMost(name+" at the target", a+b*targetDaemons, bound, unit)
}

// A daemonCost is what one daemon uses.
type daemonCost struct {
	bytes   float64 // bytes a second
	core    float64 // percent of a core
	memory  float64 // MB
	reads   float64 // store reads a second by all daemons
	watches float64 // store watches a second by all daemons
}

// measureFleet measures the cost in a fleet of n daemons with one small service,
// while labels change at the rate of the setting churn.
func (e *Env) measureFleet(ctx context.Context, n int) (daemonCost, error) {
	before := memoryInUse()
	s := plannerSpec()
	s.Shards = 2
	s.Cell = 1
	sys, err := startSystem(ctx, e.Seed, n, nil, s)
	if err != nil {
		return daemonCost{}, err
	}
	defer sys.Close()
	time.Sleep(e.seconds("settle"))
	sent, calls := heartbeatBytes(sys), sys.Store.Calls()
	length := e.seconds("seconds")
	used := cpuTime(func() {
		changes := int(e.value("churn")*length.Seconds()) + 1
		for range changes {
			_, err = sys.SetLabel(ctx, "domain/accra", "note", fmt.Sprintf("n%d", time.Now().UnixNano()))
			time.Sleep(length / time.Duration(changes))
		}
	})
	now := sys.Store.Calls()
	per := 1 / (length.Seconds() * float64(n))
	return daemonCost{
		bytes:   float64(heartbeatBytes(sys)-sent) * per,
		core:    100 * used.Seconds() * per,
		memory:  float64(memoryInUse()-before) / float64(n) / (1 << 20),
		reads:   float64(now.Reads-calls.Reads) / length.Seconds(),
		watches: float64(now.Watches-calls.Watches) / length.Seconds(),
	}, err
}

// heartbeatBytes returns the bytes of heartbeats that all daemons have sent.
func heartbeatBytes(sys *testbed.System) uint64 {
	var sum uint64
	for _, n := range sys.Nodes {
		sum += n.Status().BytesSent
	}
	return sum
}

// memoryInUse returns the bytes of heap and stack in use after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// mergeCost measures how the time of a merge grows with shards and hits.
func mergeCost() Experiment {
	return Experiment{
		Name:     "merge",
		Help:     "time to merge an answer against shards and hits of each",
		Settings: []Setting{{"rounds", "200"}},
		Run:      runMerge,
	}
}

func runMerge(_ context.Context, e *Env) error {
	var x, y []float64
	for _, shards := range []int{10, 100, 500, 1900} {
		for _, top := range []int{10, 100} {
			took := timeMerge(shards, top, e.int("rounds"))
			x = append(x, float64(shards*top))
			y = append(y, float64(took.Nanoseconds()))
			e.Report.addFigure(fmt.Sprintf("%d shards, top %d", shards, top), float64(took.Microseconds()), "us")
		}
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	e.Report.addFigure("slope", b, "ns for each hit")
	e.Report.addFigure("r squared", stat.RSquared(x, y, nil, a, b), "")
	e.Report.checkAtMost("1900 shards, top 10", ms(timeMerge(1900, 10, e.int("rounds"))), mergeBound, " ms")
	return nil
}

// mergeBound is in milliseconds: a seventieth of the 140 ms in which an answer is due.
const mergeBound = 2

// timeMerge returns the mean time of merging top hits from each of the shards.
func timeMerge(shards, top, rounds int) time.Duration {
	lists := make([][]query.Hit, shards)
	for s := range lists {
		for i := range top {
			lists[s] = append(lists[s], query.Hit{ID: fmt.Sprintf("d%d-%d", s, i), Score: uint64((s*7919+i*104729)%100000) + 1})
		}
	}
	start := time.Now()
	for range rounds {
		m := merge.New(shards, top)
		for s, l := range lists {
			m.Add([]int{s}, l)
		}
		m.Hits()
	}
	return time.Since(start) / time.Duration(rounds)
}
