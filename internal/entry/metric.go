package entry

import (
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzedoor.dev/bronzedoor/internal/hedge"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// discardLog discards the lines that http.Server logs. What operators need to know is
// logged as events.
var discardLog = stdlog.New(io.Discard, "", 0)

// Constants for hedges to a second holder of a cell.
const (
	hedgeLevel     = 0.98                   // quantile of latencies after which a hedge is sent
	initHedgeDelay = 100 * time.Millisecond // delay before latencies are known
	minHedgeDelay  = 5 * time.Millisecond   // lower bound of the delay
	hedgeBurst     = 4                      // tokens that a class can save up
	hedgeDivisor   = 4                      // these hedges may be 1/hedgeDivisor of a class's hedge percentage
)

// latencyBuckets are the bounds of the latency histograms in seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .015, .02, .03, .05, .075, .1, .14, .2, .3, .5, 1, 2, 5}

// Metrics holds the metrics of a daemon's work for callers, by caller class and
// service, and the delay and budgets of its hedges between holders. Use NewMetrics to
// make one. It is safe for concurrent use.
type Metrics struct {
	answerSeconds *prometheus.HistogramVec // by kind and class
	coverageRatio *prometheus.HistogramVec // by class
	refusals      *prometheus.CounterVec   // by class and reason
	shardSeconds  *prometheus.HistogramVec // by class and service
	shardFailures *prometheus.CounterVec   // by service and cause
	extraAttempts *prometheus.CounterVec   // by class: attempts beyond the first of each shard request
	hedgeDelay    hedge.Quantile           // of the times until holders replied

	mu           sync.Mutex
	hedgeBudgets map[string]*limit.Budget // of hedges between holders, by class
}

// NewMetrics returns metrics registered with r. It panics if r has them already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answerSeconds: histogram("bronzedoor_answer_seconds", "Time until a caller was answered.", latencyBuckets, "kind", "class"),
		coverageRatio: histogram("bronzedoor_coverage_ratio", "Share of shards in an answer.", prometheus.LinearBuckets(0.1, 0.1, 10), "class"),
		refusals:      counter("bronzedoor_refusals_total", "Requests that got no result.", "class", "reason"),
		shardSeconds:  histogram("bronzedoor_part_seconds", "Time until a shard answered, retries included.", latencyBuckets, "class", "service"),
		shardFailures: counter("bronzedoor_part_failures_total", "Shards that gave no usable reply.", "service", "cause"),
		extraAttempts: counter("bronzedoor_extra_requests_total", "Retries and hedges sent to upstreams.", "class"),
		hedgeDelay:    hedge.Quantile{Level: hedgeLevel, Initial: initHedgeDelay, Min: minHedgeDelay},
		hedgeBudgets:  make(map[string]*limit.Budget),
	}
	r.MustRegister(m.answerSeconds, m.coverageRatio, m.refusals, m.shardSeconds, m.shardFailures, m.extraAttempts)
	return m
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// observeAnswer records one answer or refusal, and adds to the hedge budget of the
// caller class. a is nil unless a query was answered.
func (m *Metrics) observeAnswer(kind string, s *object.Selector, took time.Duration, a *query.Answer, r *query.Refusal) {
	m.answerSeconds.WithLabelValues(kind, s.Caller).Observe(took.Seconds())
	m.hedgeBudget(s.Caller).Add(float64(s.HedgePercent) / 100 / hedgeDivisor)
	if a != nil {
		m.coverageRatio.WithLabelValues(s.Caller).Observe(float64(a.Coverage.Merged) / float64(max(a.Coverage.Shards, 1)))
	}
	if r != nil {
		m.countRefusal(s.Caller, "answer")
	}
}

func (m *Metrics) countRefusal(class, reason string) {
	m.refusals.WithLabelValues(class, reason).Inc()
}

// hedgeBudget returns the budget of a caller class for hedges to a second holder.
func (m *Metrics) hedgeBudget(class string) *limit.Budget {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.hedgeBudgets[class]
	if b == nil {
		b = &limit.Budget{Burst: hedgeBurst}
		m.hedgeBudgets[class] = b
	}
	return b
}

// ObserveShard records the outcome of one shard request. It is meant for
// relay.Relay's Observe field.
func (m *Metrics) ObserveShard(o relay.Outcome) {
	m.shardSeconds.WithLabelValues(o.Class, o.Service).Observe(o.Took.Seconds())
	if o.Cause != "" {
		m.shardFailures.WithLabelValues(o.Service, string(o.Cause)).Inc()
	}
	if o.Sent > 1 {
		m.extraAttempts.WithLabelValues(o.Class).Add(float64(o.Sent - 1))
	}
}
