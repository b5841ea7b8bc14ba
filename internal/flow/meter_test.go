package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"bronzedoor.dev/bronzedoor/internal/fakes"
)

// counted returns the counters of requests that were sent, as text.
func counted(is *is.I, r *prometheus.Registry) []string {
	is.Helper()
	families, err := r.Gather()
	is.NoErr(err)
	var out []string
	for _, f := range families {
		if f.GetName() != "bronzedoor_sent_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			// Labels come in the order of their names: result, service.
			out = append(out, fmt.Sprintf("%s %s %v", m.GetLabel()[1].GetValue(), m.GetLabel()[0].GetValue(), m.GetCounter().GetValue()))
		}
	}
	slices.Sort(out)
	return out
}

// TestMeterTellsTheService has one service's upstreams fail: the counters name
// it, and forget it when it is gone.
func TestMeterTellsTheService(t *testing.T) {
	play(t, 2, func(s *stage) {
		is := is.New(t)
		registry := prometheus.NewRegistry()
		s.flow.Meter = NewMeter(registry)
		for _, p := range s.replicas["single"] {
			p.Set(fakes.Nurture{Work: work, Fail: 1})
		}
		for range 4 {
			s.ask("/all/x")
			s.ask("/write/x")
			time.Sleep(time.Second)
		}
		is.Equal(counted(is, registry), []string{"shard0 whole 4", "shard1 whole 4", "single failed 4"})
		delete(s.ups, "single")
		s.show()
		is.Equal(counted(is, registry), []string{"shard0 whole 4", "shard1 whole 4"})
	})
}
