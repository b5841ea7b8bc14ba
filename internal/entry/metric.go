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

// silent drops the server's own lines: what matters is an event.
var silent = stdlog.New(io.Discard, "", 0)

// Constants of hedges between holders.
const (
	cellShare = 0.98                   // quantile of a cell's latency after which another holder is asked
	cellFirst = 100 * time.Millisecond // before there are latencies
	cellLeast = 5 * time.Millisecond   // never earlier
	cellBurst = 4                      // hedges saved up
	cellPart  = 4                      // a class's hedges between holders are one in so many of its hedges
)

// seconds are the bounds of the latency histograms.
var seconds = []float64{.001, .002, .005, .01, .015, .02, .03, .05, .075, .1, .14, .2, .3, .5, 1, 2, 5}

// Metrics counts what a daemon does for callers, by class and by service. Use
// NewMetrics to make one.
type Metrics struct {
	answers  *prometheus.HistogramVec // by kind and class
	coverage *prometheus.HistogramVec // by class
	refusals *prometheus.CounterVec   // by class and reason
	parts    *prometheus.HistogramVec // by class and service
	failures *prometheus.CounterVec   // by service and cause
	extra    *prometheus.CounterVec   // by class: requests beyond one for each part
	cells    hedge.Quantile

	mu      sync.Mutex
	budgets map[string]*limit.Budget // of hedges between holders, by class
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers:  histogram("bronzedoor_answer_seconds", "Time until a caller was answered.", seconds, "kind", "class"),
		coverage: histogram("bronzedoor_coverage_ratio", "Share of shards in an answer.", prometheus.LinearBuckets(0.1, 0.1, 10), "class"),
		refusals: counter("bronzedoor_refusals_total", "Requests that got no result.", "class", "reason"),
		parts:    histogram("bronzedoor_part_seconds", "Time until a shard answered, retries included.", seconds, "class", "service"),
		failures: counter("bronzedoor_part_failures_total", "Shards that gave no usable reply.", "service", "cause"),
		extra:    counter("bronzedoor_extra_requests_total", "Retries and hedges sent to upstreams.", "class"),
		cells:    hedge.Quantile{Level: cellShare, Initial: cellFirst, Min: cellLeast},
		budgets:  make(map[string]*limit.Budget),
	}
	r.MustRegister(m.answers, m.coverage, m.refusals, m.parts, m.failures, m.extra)
	return m
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// answered counts one answer or refusal.
func (m *Metrics) answered(kind string, s *object.Selector, took time.Duration, a *query.Answer, r *query.Refusal) {
	m.answers.WithLabelValues(kind, s.Caller).Observe(took.Seconds())
	m.hedges(s.Caller).Add(float64(s.HedgePercent) / 100 / cellPart)
	if a != nil {
		m.coverage.WithLabelValues(s.Caller).Observe(float64(a.Coverage.Merged) / float64(max(a.Coverage.Shards, 1)))
		m.cells.Add(took)
	}
	if r != nil {
		m.refused(s.Caller, "answer")
	}
}

func (m *Metrics) refused(class, reason string) {
	m.refusals.WithLabelValues(class, reason).Inc()
}

// hedges returns the budget of a class for asking second holders.
func (m *Metrics) hedges(class string) *limit.Budget {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.budgets[class]
	if b == nil {
		b = &limit.Budget{Burst: cellBurst}
		m.budgets[class] = b
	}
	return b
}

// Part counts what came of one part. It is a relay's Observe hook.
func (m *Metrics) Part(o relay.Outcome) {
	m.parts.WithLabelValues(o.Class, o.Service).Observe(o.Took.Seconds())
	if o.Cause != "" {
		m.failures.WithLabelValues(o.Service, string(o.Cause)).Inc()
	}
	if o.Sent > 1 {
		m.extra.WithLabelValues(o.Class).Add(float64(o.Sent - 1))
	}
}
