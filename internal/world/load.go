package world

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Bounds of the latency histograms, in microseconds.
const (
	leastLatency = 1
	mostLatency  = 60_000_000
	digits       = 3
)

// A Load sends queries of one class at a steady rate, whether answers come or
// not, and judges every answer. Latency counts from the time at which a query
// was due to be sent.
type Load struct {
	World  *World
	Judge  *Judge
	Caller string
	Rate   float64 // queries a second
	Top    int
	Seed   uint64
	Texts  int            // number of different texts; 0 counts as 50
	Entry  func() *Node   // where the next query goes; nil for any node that is up
	Every  func(r *Reply) // told of every reply; may be nil

	halted atomic.Bool
	mu     sync.Mutex
	tally  LoadTally
	hist   *hdrhistogram.Histogram
	work   sync.WaitGroup
	serial int
	rnd    *rand.Rand
}

// A Reply is what came of one query.
type Reply struct {
	Due    time.Time
	Took   time.Duration
	Answer *query.Answer // nil if there is none
	Err    error
}

// A LoadTally is the callers' own record.
type LoadTally struct {
	Sent     int
	Answered int
	Whole    int // answers with full coverage
	Refused  int
	Failed   int    // neither answered nor refused
	Untrue   int    // answers that the judge finds wrong
	Shards   int    // shards asked in all answers
	Merged   int    // shards merged in all answers
	First    string // first wrong answer or failure
}

// Coverage returns the share of shards that were merged, from 0 to 1. A query
// without an answer counts as not covered only if counted by the caller.
func (t LoadTally) Coverage() float64 {
	if t.Shards == 0 {
		return 0
	}
	return float64(t.Merged) / float64(t.Shards)
}

// Run sends queries for a time and waits for the last reply.
func (l *Load) Run(ctx context.Context, d time.Duration) {
	l.begin()
	end := time.Now().Add(d)
	due := time.Now()
	for due.Before(end) && ctx.Err() == nil && !l.halted.Load() {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		l.send(ctx, due)
		due = due.Add(time.Duration(l.rnd.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	l.work.Wait()
}

// Halt ends Run without cutting what was sent.
func (l *Load) Halt() {
	l.halted.Store(true)
}

func (l *Load) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rnd == nil {
		l.rnd = rand.New(rand.NewPCG(l.Seed, 4))
	}
	if l.hist == nil {
		l.hist = hdrhistogram.New(leastLatency, mostLatency, digits)
	}
}

func (l *Load) send(ctx context.Context, due time.Time) {
	n := l.pick()
	if n == nil {
		return
	}
	l.serial++
	texts := l.Texts
	if texts == 0 {
		texts = 50
	}
	o := &one{load: l, due: due, caller: l.World.Caller(n), request: query.Request{
		ID:     fmt.Sprintf("%s-%d-%d", l.Caller, l.Seed, l.serial),
		Caller: l.Caller,
		Text:   fmt.Sprintf("text %d", l.rnd.IntN(texts)),
		Top:    l.Top,
	}}
	l.work.Add(1)
	go o.run(ctx)
}

// pick returns a node that is up.
func (l *Load) pick() *Node {
	if l.Entry != nil {
		return l.Entry()
	}
	var up []*Node
	for _, n := range l.World.Nodes {
		if n.Up.Load() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[l.rnd.IntN(len(up))]
}

// one is one query in the air.
type one struct {
	load    *Load
	due     time.Time
	caller  *query.Client
	request query.Request
}

// run sends the query and notes what came of it.
func (o *one) run(ctx context.Context) {
	defer o.load.work.Done()
	a, err := o.caller.Query(ctx, &o.request)
	o.load.note(o, &Reply{Due: o.due, Took: time.Since(o.due), Answer: a, Err: err})
}

func (l *Load) note(o *one, r *Reply) {
	var wrong error
	if r.Answer != nil {
		wrong = l.Judge.Check(l.Caller, &o.request, r.Answer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.add(r, wrong)
	if r.Answer != nil {
		_ = l.hist.RecordValue(r.Took.Microseconds())
	}
	if l.Every != nil {
		l.Every(r)
	}
}

func (t *LoadTally) add(r *Reply, wrong error) {
	t.Sent++
	var refusal *query.Refusal
	switch {
	case errors.As(r.Err, &refusal):
		t.Refused++
		t.note(fmt.Sprintf("refused after %v: %v %v", r.Took, refusal, refusal.Coverage))
	case r.Err != nil:
		t.Failed++
		t.note("failed: " + r.Err.Error())
	default:
		t.Answered++
		t.Shards += r.Answer.Coverage.Shards
		t.Merged += r.Answer.Coverage.Merged
		if len(r.Answer.Coverage.Missed) == 0 {
			t.Whole++
		}
	}
	if wrong != nil {
		t.Untrue++
		t.First = "untrue: " + wrong.Error()
	}
}

func (t *LoadTally) note(s string) {
	if t.First == "" {
		t.First = s
	}
}

// Tally returns the record so far.
func (l *Load) Tally() LoadTally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// Quantile returns a quantile of the answers' latency; share is from 0 to 1.
func (l *Load) Quantile(share float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hist == nil {
		return 0
	}
	return time.Duration(l.hist.ValueAtQuantile(share*100)) * time.Microsecond
}

// Reset forgets all replies so far.
func (l *Load) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally = LoadTally{}
	if l.hist != nil {
		l.hist.Reset()
	}
}
