package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/search"
)

// TestCloseExcess lowers the permits for an upstream with idle connections. A closed
// connection counts as open for a while, so that all of them were once closed.
func TestCloseExcess(t *testing.T) {
	tests := []struct {
		name     string
		idle     int
		permits  int
		excluded bool
		want     int
	}{
		{name: "enough permits", idle: 4, permits: 4, want: 4},
		{name: "fewer permits", idle: 4, permits: 3, want: 3},
		{name: "no permits", idle: 4, permits: 0, want: 0},
		{name: "out of rotation", idle: 4, permits: 4, excluded: true, want: 0},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"start":"a","oldest":1,"newest":2}`)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	dial := (&net.Dialer{}).DialContext
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newShard(0, dial, &Policy{}, nil)
			u := &upstream{address: address, openConns: tt.idle}
			u.conf.Excluded = tt.excluded
			u.limiter.Max = tt.permits
			for range tt.idle {
				c, err := search.Open(t.Context(), address, dial)
				is.NoErr(err)
				u.idleConns = append(u.idleConns, c)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.closeExcess(u)
			is.Equal(len(u.idleConns), tt.want)
		})
	}
}

// TestDialTimeoutPauses checks that an upstream gets no requests for a while after
// opening a connection has timed out, unless the request's own time is over.
func TestDialTimeoutPauses(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration // of the request
		want    bool
	}{
		{name: "time left", timeout: time.Minute, want: true},
		{name: "no time left", timeout: connTimeout / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				blocked := func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				s := newShard(0, blocked, &Policy{}, nil)
				u := &upstream{address: "10.0.0.1:1", openConns: 1}
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				_, err := s.openConn(ctx, u)
				is.True(err != nil)
				is.Equal(time.Now().Before(u.pausedUntil), tt.want)
			})
		})
	}
}
