package proxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"bronzedoor.dev/bronzedoor/internal/boot"
	"bronzedoor.dev/bronzedoor/internal/fakes"
)

// attemptCounts returns the counters of attempts as sorted lines of service, result
// and count.
func attemptCounts(is *is.I, r *prometheus.Registry) []string {
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

// TestAttemptMetrics has the upstreams of one service fail. The attempt counters are
// labeled with the service, and are deleted when the service is removed.
func TestAttemptMetrics(t *testing.T) {
	runScenario(t, 2, func(s *scenario) {
		is := is.New(t)
		registry := prometheus.NewRegistry()
		s.proxy.Metrics = NewMetrics(registry)
		for _, p := range s.replicas["single"] {
			p.SetBehavior(fakes.ReplicaBehavior{ServiceTime: serviceTime, FailShare: 1})
		}
		for range 4 {
			s.send("/all/x")
			s.send("/write/x")
			time.Sleep(time.Second)
		}
		is.Equal(attemptCounts(is, registry), []string{"shard0 whole 4", "shard1 whole 4", "single failed 4"})
		delete(s.upstreams, "single")
		s.publish()
		is.Equal(attemptCounts(is, registry), []string{"shard0 whole 4", "shard1 whole 4"})
	})
}

// TestStartupStages checks that a proxy records its first request, reply and complete
// answer; an answer without a shard is not a complete one.
func TestStartupStages(t *testing.T) {
	runScenario(t, 5, func(s *scenario) {
		is := is.New(s.t)
		served := ""
		s.proxy.Startup = &boot.Timeline{Started: time.Now(), Served: func(detail string) { served = detail }}
		s.setAll("shard4", fakes.ReplicaBehavior{NoReply: true})
		s.send("/all/1")
		is.Equal(served, "")
		s.setAll("shard4", fakes.ReplicaBehavior{ServiceTime: serviceTime})
		time.Sleep(5 * time.Second)
		s.send("/all/1")
		for _, stage := range []boot.Stage{boot.Request, boot.Reply, boot.Answer} {
			is.True(strings.Contains(served, stage.String()))
		}
	})
}
