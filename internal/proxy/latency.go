package proxy

import (
	"time"

	"bronzedoor.dev/bronzedoor/internal/hedge"
)

// Constants of latencyStats. Quantiles are from 0 to 1; factors apply to the median.
const (
	initialMedian         = 30 * time.Millisecond // median before there are latencies
	minMedian             = 2 * time.Millisecond  // lowest median that is reported
	hedgeQuantile         = 0.95                  // quantile of the latency after which a hedge is sent
	minHedgeMedians       = 2.0                   // a hedge is not sent before this many medians
	maxHedgeMedians       = 4.0                   // and the delay is at most this many medians
	nearlyAllQuantile     = 0.99                  // quantile that nearly all requests don't exceed
	earliestHedgeQuantile = 0.88                  // quantile for a hedge that would otherwise come too late; the budget covers more than the requests above it
)

// latencyStats are quantiles of the recent latencies of one route's requests,
// without the round trip to the upstream.
type latencyStats struct {
	median        hedge.Quantile
	hedgeAfter    hedge.Quantile // usual delay of a hedge
	earliestHedge hedge.Quantile // shortest delay of a hedge
	nearlyAll     hedge.Quantile // not exceeded by nearly all requests
}

// newLatencyStats returns statistics with the initial values.
func newLatencyStats() *latencyStats {
	return &latencyStats{
		median:        hedge.Quantile{Level: 0.5, Initial: initialMedian, Min: minMedian},
		earliestHedge: hedge.Quantile{Level: earliestHedgeQuantile, Initial: minHedgeMedians * initialMedian, Min: minMedian},
		nearlyAll:     hedge.Quantile{Level: nearlyAllQuantile, Initial: maxHedgeMedians * initialMedian, Min: minMedian},
		hedgeAfter: hedge.Quantile{
			Level:      hedgeQuantile,
			Initial:    minHedgeMedians * initialMedian,
			Min:        minHedgeMedians * minMedian,
			MinMedians: minHedgeMedians,
			MaxMedians: maxHedgeMedians,
		},
	}
}

// add records the latency of a successful attempt.
func (s *latencyStats) add(d time.Duration) {
	s.median.Add(d)
	s.hedgeAfter.Add(d)
	s.earliestHedge.Add(d)
	s.nearlyAll.Add(d)
}

// typical returns the median latency.
func (s *latencyStats) typical() time.Duration {
	return s.median.Value()
}

// routeStats returns the latencies of a route, creating them if there are none.
func (p *Proxy) routeStats(name string) *latencyStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stats == nil {
		p.stats = make(map[string]*latencyStats)
	}
	s := p.stats[name]
	if s == nil {
		s = newLatencyStats()
		p.stats[name] = s
	}
	return s
}
