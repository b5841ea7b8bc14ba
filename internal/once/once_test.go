package once

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/store"
)

func newClaims(t *testing.T, s *fakes.Store) *Claims {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return &Claims{Store: &store.Client{
		ObjectsAddr: strings.TrimPrefix(server.URL, "http://"),
		HTTP:        server.Client(),
		Timeout:     time.Second,
	}}
}

func TestClaims(t *testing.T) {
	type attempt struct {
		caller   string
		body     string
		complete bool // completes the claim
		release  bool // releases the claim
		wantErr  error
		result   string // recorded outcome that it gets; empty if it gets none
	}
	tests := []struct {
		name     string
		attempts []attempt
	}{
		{name: "retry while the claim is held", attempts: []attempt{{}, {wantErr: ErrOutcomeUnknown}}},
		{name: "retry gets the outcome", attempts: []attempt{{complete: true}, {result: "booked"}, {result: "booked"}}},
		{name: "same key, another body", attempts: []attempt{{complete: true}, {body: "other", wantErr: ErrKeyReused}}},
		{name: "same key, another caller", attempts: []attempt{{complete: true}, {caller: "other"}}},
		{name: "retry after a release", attempts: []attempt{{release: true}, {complete: true}, {result: "booked"}}},
	}
	for _, lose := range []float64{0, 0.5, 1} {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				s := fakes.NewStore(1)
				s.SetFaults(fakes.StoreFaults{LoseReplies: lose})
				c := newClaims(t, s)
				for _, a := range tt.attempts {
					claim, found, err := c.Acquire(t.Context(), "caller"+a.caller, "key", Digest("item", a.body))
					is.True(errors.Is(err, a.wantErr))
					if a.result != "" {
						is.Equal(found.Result, a.result)
						continue
					}
					is.Equal(claim != nil, a.wantErr == nil)
					if a.complete {
						claim.Complete(t.Context(), "booked")
					}
					if a.release {
						claim.Release(t.Context())
					}
				}
			})
		}
	}
}

// A claimer tries to acquire the claim of one key.
type claimer struct {
	claims   *Claims
	wg       *sync.WaitGroup
	acquired chan bool
}

func (c *claimer) run(ctx context.Context) {
	defer c.wg.Done()
	claim, _, _ := c.claims.Acquire(ctx, "caller", "key", "digest")
	c.acquired <- claim != nil
}

// TestConcurrentAcquire checks that only one of several concurrent attempts gets
// the claim, while the store loses half of its responses to writes.
func TestConcurrentAcquire(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := fakes.NewStore(seed)
		s.SetFaults(fakes.StoreFaults{LoseReplies: 0.5})
		c := newClaims(t, s)
		const claimers = 8
		var wg sync.WaitGroup
		acquired := make(chan bool, claimers)
		for range claimers {
			wg.Add(1)
			go (&claimer{claims: c, wg: &wg, acquired: acquired}).run(t.Context())
		}
		wg.Wait()
		close(acquired)
		n := 0
		for ok := range acquired {
			if ok {
				n++
			}
		}
		is.Equal(n, 1) // exactly one may send the booking
	}
}

func TestAcquireWhileStoreDown(t *testing.T) {
	is := is.New(t)
	s := fakes.NewStore(1)
	s.SetFaults(fakes.StoreFaults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	claim, found, err := newClaims(t, s).Acquire(ctx, "caller", "key", "digest")
	is.True(err != nil)
	is.True(claim == nil && found == nil) // the booking must not be sent without a claim
}

func TestSweep(t *testing.T) {
	is := is.New(t)
	c := newClaims(t, fakes.NewStore(1))
	for _, key := range []string{"a", "b", "c"} {
		_, _, err := c.Acquire(t.Context(), "caller", key, "digest")
		is.NoErr(err)
	}
	n, err := c.Sweep(t.Context(), 10, time.Now())
	is.NoErr(err)
	is.Equal(n, 0) // claims younger than Retention stay
	n, err = c.Sweep(t.Context(), 2, time.Now().Add(Retention+time.Minute))
	is.NoErr(err)
	is.Equal(n, 2) // not more than the limit
	n, err = c.Sweep(t.Context(), 2, time.Now().Add(Retention+time.Minute))
	is.NoErr(err)
	is.Equal(n, 1)
}

// TestSweepSkipsRemoved sweeps while more removed claims are listed first than a page
// holds. Sweeping once stopped at the end of the first page.
func TestSweepSkipsRemoved(t *testing.T) {
	is := is.New(t)
	c := newClaims(t, fakes.NewStore(1))
	for i := range sweepPage + 1 {
		claim, _, err := c.Acquire(t.Context(), "caller", fmt.Sprint("removed", i), "digest")
		is.NoErr(err)
		claim.Release(t.Context())
	}
	_, _, err := c.Acquire(t.Context(), "caller", "kept", "digest")
	is.NoErr(err)
	n, err := c.Sweep(t.Context(), 10, time.Now().Add(Retention+time.Minute))
	is.NoErr(err)
	is.Equal(n, 1)
}
