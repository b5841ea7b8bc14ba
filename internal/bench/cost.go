package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"bronzedoor.dev/bronzedoor/internal/merge"
	"bronzedoor.dev/bronzedoor/internal/world"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Budget for control of one daemon, from the target.
const (
	controlBytes  = 2048 // a second
	controlCore   = 1.5  // percent of a core
	controlMemory = 128  // MB
)

// targetDaemons is the size of the fleet at the target.
const targetDaemons = 1200

// control measures what daemons cost without queries, at several fleet sizes.
func control() Experiment {
	return Experiment{
		Name:   "control",
		Help:   "bytes, processor time and memory of idle daemons against the size of the fleet",
		Values: []Pair{{"sizes", "4"}, {"seconds", "6"}, {"settle", "10"}, {"churn", "0.045"}},
		Run:    runControl,
	}
}

// fleets are the sizes of fleet that are measured.
var fleets = []int{8, 32, 100, 200}

func runControl(ctx context.Context, e *Env) error {
	var sizes, bytes, cores, memory []float64
	for _, n := range fleets[:min(e.int("sizes"), len(fleets))] {
		c, err := e.controlAt(ctx, n)
		if err != nil {
			return err
		}
		sizes = append(sizes, float64(n))
		bytes = append(bytes, c.bytes)
		cores = append(cores, c.core)
		memory = append(memory, c.memory)
		name := fmt.Sprintf("%d daemons", n)
		e.Report.figure(name+": heartbeats sent", c.bytes, "B/s each")
		e.Report.figure(name+": processor", c.core, "% of a core each")
		e.Report.figure(name+": memory", c.memory, "MB each")
		e.Report.figure(name+": store reads", c.reads, "calls/s")
		e.Report.figure(name+": store watches", c.watches, "calls/s")
	}
	e.line("heartbeats", sizes, bytes, controlBytes, " B/s")
	e.line("processor", sizes, cores, controlCore, "%")
	e.line("memory", sizes, memory, controlMemory, " MB")
	return nil
}

// line fits a straight line and holds its value at the target to a bound.
func (e *Env) line(name string, x, y []float64, bound float64, unit string) {
	a, b := stat.LinearRegression(x, y, nil, false)
	e.Report.figure(name+": at no fleet", a, unit)
	e.Report.figure(name+": slope", b, unit+" for each daemon")
	e.Report.figure(name+": r squared", stat.RSquared(x, y, nil, a, b), "")
	e.Report.most(name+" at the target", a+b*targetDaemons, bound, unit)
}

// A cost is what one daemon takes.
type cost struct {
	bytes   float64 // a second
	core    float64 // percent
	memory  float64 // MB
	reads   float64 // of the store, a second, by all daemons
	watches float64 // of the store, a second, by all daemons
}

// controlAt measures a fleet of n daemons with one small service.
func (e *Env) controlAt(ctx context.Context, n int) (cost, error) {
	before := heap()
	s := planner()
	s.Shards = 2
	s.Cell = 1
	w, err := build(ctx, e.Seed, n, nil, s)
	if err != nil {
		return cost{}, err
	}
	defer w.Close()
	time.Sleep(e.seconds("settle"))
	sent, calls := traffic(w), w.Store.Calls()
	length := e.seconds("seconds")
	used := processor(func() {
		changes := int(e.value("churn")*length.Seconds()) + 1
		for range changes {
			_, err = w.SetLabel(ctx, "domain/accra", "note", fmt.Sprintf("n%d", time.Now().UnixNano()))
			time.Sleep(length / time.Duration(changes))
		}
	})
	now := w.Store.Calls()
	per := 1 / (length.Seconds() * float64(n))
	return cost{
		bytes:   float64(traffic(w)-sent) * per,
		core:    100 * used.Seconds() * per,
		memory:  float64(heap()-before) / float64(n) / (1 << 20),
		reads:   float64(now.Reads-calls.Reads) / length.Seconds(),
		watches: float64(now.Watches-calls.Watches) / length.Seconds(),
	}, err
}

// traffic returns the bytes of heartbeats that all daemons have sent.
func traffic(w *world.System) uint64 {
	var sum uint64
	for _, n := range w.Nodes {
		sum += n.Status().BytesSent
	}
	return sum
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// mergeCost measures merging against shards and hits.
func mergeCost() Experiment {
	return Experiment{
		Name:   "merge",
		Help:   "time to merge an answer against shards and hits of each",
		Values: []Pair{{"rounds", "200"}},
		Run:    runMerge,
	}
}

func runMerge(_ context.Context, e *Env) error {
	var x, y []float64
	for _, shards := range []int{10, 100, 500, 1900} {
		for _, top := range []int{10, 100} {
			took := mergeOnce(shards, top, e.int("rounds"))
			x = append(x, float64(shards*top))
			y = append(y, float64(took.Nanoseconds()))
			e.Report.figure(fmt.Sprintf("%d shards, top %d", shards, top), float64(took.Microseconds()), "us")
		}
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	e.Report.figure("slope", b, "ns for each hit")
	e.Report.figure("r squared", stat.RSquared(x, y, nil, a, b), "")
	e.Report.most("1900 shards, top 10", ms(mergeOnce(1900, 10, e.int("rounds"))), mergeBound, " ms")
	return nil
}

// mergeBound is a seventieth of the 140 ms in which an answer is due.
const mergeBound = 2

func mergeOnce(shards, top, rounds int) time.Duration {
	lists := make([][]query.Hit, shards)
	for s := range lists {
		for i := range top {
			lists[s] = append(lists[s], query.Hit{ID: fmt.Sprintf("d%d-%d", s, i), Score: uint64((s*7919+i*104729)%100000) + 1})
		}
	}
	begun := time.Now()
	for range rounds {
		m := merge.New(shards, top)
		for s, l := range lists {
			m.Add([]int{s}, l)
		}
		m.Hits()
	}
	return time.Since(begun) / time.Duration(rounds)
}
