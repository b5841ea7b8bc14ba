package once

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/store"
)

func claims(t *testing.T, s *fakes.Store) *Claims {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return &Claims{Store: &store.Client{
		Objects: strings.TrimPrefix(server.URL, "http://"),
		HTTP:    server.Client(),
		Timeout: time.Second,
	}}
}

func TestClaims(t *testing.T) {
	type try struct {
		caller string
		body   string
		done   bool // records the outcome
		free   bool // releases the claim
		want   error
		result string // recorded outcome that it gets
	}
	tests := []struct {
		name  string
		tries []try
	}{
		{name: "second try while the first runs", tries: []try{{}, {want: ErrOpen}}},
		{name: "second try gets the outcome", tries: []try{{done: true}, {result: "booked"}, {result: "booked"}}},
		{name: "same key, another body", tries: []try{{done: true}, {body: "other", want: ErrOther}}},
		{name: "same key, another caller", tries: []try{{done: true}, {caller: "other"}}},
		{name: "a claim that was not used is free", tries: []try{{free: true}, {done: true}, {result: "booked"}}},
	}
	for _, lose := range []float64{0, 0.5, 1} {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				s := fakes.NewStore(1)
				s.SetFaults(fakes.StoreFaults{LoseReplies: lose})
				c := claims(t, s)
				for _, y := range tt.tries {
					ticket, found, err := c.Begin(t.Context(), "caller"+y.caller, "key", Digest("item", y.body))
					is.True(errors.Is(err, y.want))
					if y.result != "" {
						is.Equal(found.Result, y.result)
						continue
					}
					is.Equal(ticket != nil, y.want == nil)
					if y.done {
						ticket.Done(t.Context(), "booked")
					}
					if y.free {
						ticket.Release(t.Context())
					}
				}
			})
		}
	}
}

// contender tries to claim one key.
type contender struct {
	claims *Claims
	work   *sync.WaitGroup
	got    chan bool
}

func (c *contender) run(ctx context.Context) {
	defer c.work.Done()
	ticket, _, _ := c.claims.Begin(ctx, "caller", "key", "digest")
	c.got <- ticket != nil
}

// TestOneOfManyGetsTheClaim lets many try at once while answers are lost.
func TestOneOfManyGetsTheClaim(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := fakes.NewStore(seed)
		s.SetFaults(fakes.StoreFaults{LoseReplies: 0.5})
		c := claims(t, s)
		const many = 8
		var work sync.WaitGroup
		got := make(chan bool, many)
		for range many {
			work.Add(1)
			go (&contender{claims: c, work: &work, got: got}).run(t.Context())
		}
		work.Wait()
		close(got)
		n := 0
		for g := range got {
			if g {
				n++
			}
		}
		is.Equal(n, 1) // exactly one may send
	}
}

func TestNoClaimWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := fakes.NewStore(1)
	s.SetFaults(fakes.StoreFaults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	ticket, found, err := claims(t, s).Begin(ctx, "caller", "key", "digest")
	is.True(err != nil)
	is.True(ticket == nil && found == nil) // no claim, no send
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	c := claims(t, fakes.NewStore(1))
	for _, key := range []string{"a", "b", "c"} {
		_, _, err := c.Begin(t.Context(), "caller", key, "digest")
		is.NoErr(err)
	}
	n, err := c.Sweep(t.Context(), 10, time.Now())
	is.NoErr(err)
	is.Equal(n, 0) // young claims stay
	n, err = c.Sweep(t.Context(), 2, time.Now().Add(Keep+time.Minute))
	is.NoErr(err)
	is.Equal(n, 2) // no more than the limit at a time
	n, err = c.Sweep(t.Context(), 2, time.Now().Add(Keep+time.Minute))
	is.NoErr(err)
	is.Equal(n, 1)
}
