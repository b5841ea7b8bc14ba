package hedge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuantile(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		add  []time.Duration // each added 16 times
		want time.Duration
	}{
		{name: "no latencies: Initial", want: 50 * ms},
		{name: "equal latencies: MinMedians", add: []time.Duration{5 * ms}, want: 10 * ms},
		{name: "some slow latencies: the quantile", add: []time.Duration{5 * ms, 5 * ms, 5 * ms, 12 * ms}, want: 12 * ms},
		{name: "a slow replica does not raise it to its own latency: MaxMedians", add: []time.Duration{5 * ms, 5 * ms, 5 * ms, 60 * ms}, want: 15 * ms},
		{name: "never below Min", add: []time.Duration{100 * time.Microsecond}, want: 2 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := Quantile{Level: 0.95, Initial: 50 * ms, Min: 2 * ms, MinMedians: 2, MaxMedians: 3}
			for _, d := range tt.add {
				for range 16 {
					q.Add(d)
				}
			}
			is.Equal(q.Value(), tt.want)
		})
	}
}
