package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzedoor.dev/bronzedoor/internal/client"
)

// Metrics are the Prometheus metrics of a Proxy. Use NewMetrics to create them. A
// nil *Metrics records nothing.
type Metrics struct {
	answers        *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	missed         *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	attemptSeconds *prometheus.CounterVec
	limitedReplies *prometheus.CounterVec
	statedReplies  *prometheus.CounterVec
}

// NewMetrics creates metrics and registers them with r. It panics if one of them is
// registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedoor_answers_total",
			Help: "Answers by rank of the route and kind.",
		}, []string{"rank", "kind"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzedoor_request_seconds",
			Help:    "Time from the arrival of a request to its answer, by rank of the route.",
			Buckets: []float64{.005, .01, .02, .04, .08, .12, .15, .25, .5, 1, 2.5, 8},
		}, []string{"rank"}),
		missed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedoor_missed_shards_total",
			Help: "Shards left out of successful answers, by rank of the route.",
		}, []string{"rank"}),
	}
	m.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_sent_total",
		Help: "Requests sent to upstreams, by service and result.",
	}, []string{"service", "result"})
	m.attemptSeconds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_sent_seconds_total",
		Help: "Time that requests spent at upstreams and on the way, by service.",
	}, []string{"service"})
	m.limitedReplies = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_rate_limited_replies_total",
		Help: "Replies in which an upstream states a rate limit, by service.",
	}, []string{"service"})
	m.statedReplies = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_stated_replies_total",
		Help: "Replies in which an upstream says that it is leaving or asks for a pause, by service.",
	}, []string{"service", "stated"})
	r.MustRegister(m.answers, m.latency, m.missed, m.attempts, m.attemptSeconds, m.limitedReplies, m.statedReplies)
	return m
}

// priorities are the label values of a route's priority. Routes are not labeled by
// name, because they come and go by the hundred and would fill the memory of the
// collector.
var priorities = [...]string{"0", "1", "2", "3", "4"}

// observeAnswer records the answer to a request.
func (m *Metrics) observeAnswer(q *Request, a *Answer) {
	if m == nil {
		return
	}
	priority := priorities[min(max(q.Route.Priority, 0), len(priorities)-1)]
	m.answers.WithLabelValues(priority, a.Kind.String()).Inc()
	m.latency.WithLabelValues(priority).Observe(time.Since(q.Arrived).Seconds())
	if a.Kind == Served {
		m.missed.WithLabelValues(priority).Add(float64(a.MissingShards))
	}
}

// observeAttempt records the reply to an attempt at an upstream of the service.
func (m *Metrics) observeAttempt(service string, re client.Reply, took time.Duration) {
	if m == nil {
		return
	}
	if re.RateLimit.Limited {
		m.limitedReplies.WithLabelValues(service).Inc()
	}
	if re.Leaving {
		m.statedReplies.WithLabelValues(service, "leaving").Inc()
	}
	if re.Pause > 0 {
		m.statedReplies.WithLabelValues(service, "pause").Inc()
	}
	m.attempts.WithLabelValues(service, re.Result.String()).Inc()
	m.attemptSeconds.WithLabelValues(service).Add(took.Seconds())
}

// forget deletes the counters of a removed service. Services come and go whenever
// an index is repartitioned.
func (m *Metrics) forget(service string) {
	if m == nil {
		return
	}
	labels := prometheus.Labels{"service": service}
	m.attempts.DeletePartialMatch(labels)
	m.attemptSeconds.DeletePartialMatch(labels)
	m.limitedReplies.DeletePartialMatch(labels)
	m.statedReplies.DeletePartialMatch(labels)
}
