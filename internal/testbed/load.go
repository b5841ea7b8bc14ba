package testbed

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

// Range of the latency histograms in microseconds, and their significant digits.
const (
	minLatency = 1
	maxLatency = 60_000_000
	sigDigits  = 3
)

// A Load sends queries of one caller class in an open loop, that is, with random
// (exponential) gaps at a steady mean rate whether answers come or not, and
// checks every answer. Latency counts from the time at which a query was due to
// be sent, so that a late send doesn't hide a delay.
type Load struct {
	System   *System
	Checker  *Checker
	Caller   string
	Rate     float64        // mean number of queries per second
	Top      int            // maximum number of hits of each query
	Seed     uint64         // of texts, gaps and nodes; also part of the request IDs
	Texts    int            // number of different query texts; 0 means 50
	NextNode func() *Node   // chooses the node for the next query; nil for a random one that is up
	OnReply  func(r *Reply) // called with every reply, one call at a time; may be nil

	stopped atomic.Bool
	mu      sync.Mutex
	stats   LoadStats
	hist    *hdrhistogram.Histogram
	wg      sync.WaitGroup
	seq     int // number of queries sent
	rng     *rand.Rand
}

// A Reply is the result of one query.
type Reply struct {
	Due     time.Time     // when the query was due to be sent
	Latency time.Duration // from Due to the answer or the error
	Answer  *query.Answer // nil on error
	Err     error
}

// LoadStats counts the queries of a Load by their results, as callers see them.
type LoadStats struct {
	Sent       int // queries that ended: Answered + Refused + Failed
	Answered   int
	Complete   int // answers with full coverage
	Refused    int
	Failed     int    // neither answered nor refused
	Wrong      int    // answers that the Checker found wrong; also in Answered
	Shards     int    // sum of the layouts' shards over all answers
	Merged     int    // sum of the merged shards over all answers
	FirstError string // latest wrong answer; if there is none, the first refusal or failure
}

// Coverage returns the share of shards that were merged, from 0 to 1, over all
// answers. Queries without an answer don't count; 0 if there are no answers.
func (s LoadStats) Coverage() float64 {
	if s.Shards == 0 {
		return 0
	}
	return float64(s.Merged) / float64(s.Shards)
}

// Run sends queries for the duration d, or until ctx ends or Stop is called, and
// then waits for the last reply. It may be called again, but not concurrently.
func (l *Load) Run(ctx context.Context, d time.Duration) {
	l.prepare()
	end := time.Now().Add(d)
	due := time.Now()
	for due.Before(end) && ctx.Err() == nil && !l.stopped.Load() {
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		l.send(ctx, due)
		due = due.Add(time.Duration(l.rng.ExpFloat64() / l.Rate * float64(time.Second)))
	}
	l.wg.Wait()
}

// Stop makes Run, and any later Run, send no more queries. Queries in flight are
// not cancelled.
func (l *Load) Stop() {
	l.stopped.Store(true)
}

// prepare makes the generator and the histogram in the first Run.
func (l *Load) prepare() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng == nil {
		l.rng = rand.New(rand.NewPCG(l.Seed, 4))
	}
	if l.hist == nil {
		l.hist = hdrhistogram.New(minLatency, maxLatency, sigDigits)
	}
}

// send starts one query that is due at a time. It does nothing if no node is up.
func (l *Load) send(ctx context.Context, due time.Time) {
	n := l.pickNode()
	if n == nil {
		return
	}
	l.seq++
	texts := l.Texts
	if texts == 0 {
		texts = 50
	}
	c := &call{load: l, due: due, client: l.System.ClientOf(n), request: query.Request{
		ID:     fmt.Sprintf("%s-%d-%d", l.Caller, l.Seed, l.seq),
		Caller: l.Caller,
		Text:   fmt.Sprintf("text %d", l.rng.IntN(texts)),
		Top:    l.Top,
	}}
	l.wg.Add(1)
	go c.run(ctx)
}

// pickNode returns the node for the next query, or nil if no node is up.
func (l *Load) pickNode() *Node {
	if l.NextNode != nil {
		return l.NextNode()
	}
	var up []*Node
	for _, n := range l.System.Nodes {
		if n.Up.Load() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[l.rng.IntN(len(up))]
}

// call is one query in flight.
type call struct {
	load    *Load
	due     time.Time
	client  *query.Client
	request query.Request
}

// run sends the query and records the reply.
func (c *call) run(ctx context.Context) {
	defer c.load.wg.Done()
	a, err := c.client.Query(ctx, &c.request)
	c.load.record(c, &Reply{Due: c.due, Latency: time.Since(c.due), Answer: a, Err: err})
}

// record checks and counts a reply. Latency is recorded for answers only.
func (l *Load) record(c *call, r *Reply) {
	var wrong error
	if r.Answer != nil {
		wrong = l.Checker.Check(l.Caller, &c.request, r.Answer)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.add(r, wrong)
	if r.Answer != nil {
		_ = l.hist.RecordValue(r.Latency.Microseconds())
	}
	if l.OnReply != nil {
		l.OnReply(r)
	}
}

// add counts a reply. wrong is the Checker's error for its answer, if any.
func (s *LoadStats) add(r *Reply, wrong error) {
	s.Sent++
	var refusal *query.Refusal
	switch {
	case errors.As(r.Err, &refusal):
		s.Refused++
		s.recordError(fmt.Sprintf("refused after %v: %v %v", r.Latency, refusal, refusal.Coverage))
	case r.Err != nil:
		s.Failed++
		s.recordError("failed: " + r.Err.Error())
	default:
		s.Answered++
		s.Shards += r.Answer.Coverage.Shards
		s.Merged += r.Answer.Coverage.Merged
		if len(r.Answer.Coverage.Missed) == 0 {
			s.Complete++
		}
	}
	if wrong != nil {
		s.Wrong++
		s.FirstError = "wrong answer: " + wrong.Error()
	}
}

// recordError sets FirstError if it is not set yet.
func (s *LoadStats) recordError(text string) {
	if s.FirstError == "" {
		s.FirstError = text
	}
}

// Stats returns the counts so far.
func (l *Load) Stats() LoadStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Quantile returns the q-quantile, from 0 to 1, of the latency of answers, or 0
// before the first Run.
func (l *Load) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hist == nil {
		return 0
	}
	return time.Duration(l.hist.ValueAtQuantile(q*100)) * time.Microsecond
}

// Reset clears the counts and latencies.
func (l *Load) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats = LoadStats{}
	if l.hist != nil {
		l.hist.Reset()
	}
}
