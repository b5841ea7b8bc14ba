package flow

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzedoor.dev/bronzedoor/internal/link"
)

// A Meter counts what a Flow does. Use NewMeter to make one; a nil Meter
// counts nothing.
type Meter struct {
	answers *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	missed  *prometheus.CounterVec
	sent    *prometheus.CounterVec
	busy    *prometheus.CounterVec
}

// NewMeter returns a meter that is registered.
func NewMeter(r prometheus.Registerer) *Meter {
	m := &Meter{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedoor_answers_total",
			Help: "Answers by rank of the route and kind.",
		}, []string{"rank", "kind"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzedoor_request_seconds",
			Help:    "Time from the arrival of a request to its answer, by rank of the route.",
			Buckets: []float64{.005, .01, .02, .04, .08, .12, .15, .25, .5, 1, 2.5, 8},
		}, []string{"rank"}),
		missed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzedoor_missed_shards_total",
			Help: "Shards left out of successful answers, by rank of the route.",
		}, []string{"rank"}),
	}
	m.sent = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_sent_total",
		Help: "Requests sent to upstreams, by service and result.",
	}, []string{"service", "result"})
	m.busy = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bronzedoor_sent_seconds_total",
		Help: "Time that requests spent at upstreams and on the way, by service.",
	}, []string{"service"})
	r.MustRegister(m.answers, m.seconds, m.missed, m.sent, m.busy)
	return m
}

// ranks are the label values of a route's rank. Routes come and go by the
// hundred, and their names would fill the memory of whoever collects metrics.
var ranks = [...]string{"0", "1", "2", "3", "4"}

func (m *Meter) answer(q *Request, a *Answer) {
	if m == nil {
		return
	}
	rank := ranks[min(max(q.Route.Priority, 0), len(ranks)-1)]
	m.answers.WithLabelValues(rank, a.Kind.String()).Inc()
	m.seconds.WithLabelValues(rank).Observe(time.Since(q.Arrived).Seconds())
	if a.Kind == Served {
		m.missed.WithLabelValues(rank).Add(float64(a.Missed))
	}
}

// reply counts what came of a request to a service's upstream.
func (m *Meter) reply(service string, result link.Result, took time.Duration) {
	if m == nil {
		return
	}
	m.sent.WithLabelValues(service, result.String()).Inc()
	m.busy.WithLabelValues(service).Add(took.Seconds())
}

// forget drops the counters of a service that is gone: services come and go
// with each cut of an index into shards.
func (m *Meter) forget(service string) {
	if m == nil {
		return
	}
	labels := prometheus.Labels{"service": service}
	m.sent.DeletePartialMatch(labels)
	m.busy.DeletePartialMatch(labels)
}
