package flow

import (
	"time"

	"bronzedoor.dev/bronzedoor/internal/hedge"
)

// Constants of the latencies of a route.
const (
	typicalFirst = 30 * time.Millisecond // before there are latencies
	typicalLeast = 2 * time.Millisecond
	tailShare    = 0.95 // quantile of latency after which a hedge is sent
	tailTimes    = 2.0  // but not before so many medians
	tailMost     = 4.0  // and not after so many
	earlyShare   = 0.88 // quantile for a hedge that would else come too late; the budget bears more than the rest
)

// A stat is the recent latencies of one route's requests, without the way to
// the upstream.
type stat struct {
	median hedge.Quantile
	tail   hedge.Quantile
	early  hedge.Quantile
}

func newStat() *stat {
	return &stat{
		median: hedge.Quantile{Level: 0.5, Initial: typicalFirst, Min: typicalLeast},
		early:  hedge.Quantile{Level: earlyShare, Initial: tailTimes * typicalFirst, Min: typicalLeast},
		tail: hedge.Quantile{
			Level:      tailShare,
			Initial:    tailTimes * typicalFirst,
			Min:        tailTimes * typicalLeast,
			MinMedians: tailTimes,
			MaxMedians: tailMost,
		},
	}
}

func (s *stat) add(d time.Duration) {
	s.median.Add(d)
	s.tail.Add(d)
	s.early.Add(d)
}

// typical returns the median latency.
func (s *stat) typical() time.Duration {
	return s.median.Value()
}

// stat returns the latencies of a route.
func (f *Flow) stat(name string) *stat {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stats == nil {
		f.stats = make(map[string]*stat)
	}
	s := f.stats[name]
	if s == nil {
		s = newStat()
		f.stats[name] = s
	}
	return s
}
