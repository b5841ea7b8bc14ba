package quota

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// A taker reserves and gives back many times.
type taker struct {
	quota *Quota
	done  func()
	over  int // times that more than Max was in use
}

func (t *taker) run() {
	defer t.done()
	for range 20_000 {
		if t.quota.Take(3) {
			t.quota.Return(3)
		}
		if t.quota.Used() > t.quota.Max {
			t.over++
		}
	}
}

// TestNeverExceeded guards against a reservation that fails and is counted for a moment:
// others, which would fit, then fail too.
func TestNeverExceeded(t *testing.T) {
	is := is.New(t)
	q := &Quota{Max: 10}
	var all sync.WaitGroup
	takers := make([]*taker, 8)
	for i := range takers {
		all.Add(1)
		takers[i] = &taker{quota: q, done: all.Done}
		go takers[i].run()
	}
	all.Wait()
	for _, t := range takers {
		is.Equal(t.over, 0)
	}
	is.Equal(q.Used(), int64(0))
	is.True(!q.Full())
	is.True(q.Take(10))
	is.True(q.Full())
}

func TestNoQuota(t *testing.T) {
	is := is.New(t)
	var q *Quota
	is.True(q.Take(1 << 40))
	is.True(!q.Full())
	q.Return(1 << 40)
	is.Equal(q.Used(), int64(0))
}
