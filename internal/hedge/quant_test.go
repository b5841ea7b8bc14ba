package hedge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuant(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		add  []time.Duration // each sixteen times
		want time.Duration
	}{
		{name: "nothing yet", want: 50 * ms},
		{name: "all alike: so many medians", add: []time.Duration{5 * ms}, want: 10 * ms},
		{name: "some slower: the quantile", add: []time.Duration{5 * ms, 5 * ms, 5 * ms, 12 * ms}, want: 12 * ms},
		{name: "a slow replica does not raise it to its own latency", add: []time.Duration{5 * ms, 5 * ms, 5 * ms, 60 * ms}, want: 15 * ms},
		{name: "never below the least", add: []time.Duration{100 * time.Microsecond}, want: 2 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := Quant{Share: 0.95, First: 50 * ms, Least: 2 * ms, Times: 2, Most: 3}
			for _, d := range tt.add {
				for range 16 {
					q.Add(d)
				}
			}
			is.Equal(q.Value(), tt.want)
		})
	}
}
