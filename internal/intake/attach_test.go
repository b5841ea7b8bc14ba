package intake

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAttach guards against callers whose connections keep others from being served, at a
// server that reads requests by itself: plain, and under TLS.
func TestAttach(t *testing.T) {
	const maxConns, idle = 4, 20
	tests := []struct {
		name string
		tls  bool
	}{
		{name: "plain"},
		{name: "TLS", tls: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{ConnMemory: 1 << 20}
			table.SetLimits(4*maxConns<<20, 0)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "done")
			}))
			l, err := table.Listener(s.Listener)
			is.NoErr(err)
			s.Listener = l
			table.Attach(s.Config)
			start := s.Start
			if tt.tls {
				start = s.StartTLS
			}
			start()
			defer s.Close()
			for range idle {
				c, err := net.Dial("tcp", s.Listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				if tt.tls {
					// One that has been evicted can't shake hands.
					_ = tls.Client(c, &tls.Config{InsecureSkipVerify: true}).Handshake()
				}
			}
			time.Sleep(readPatience + 100*time.Millisecond) // a handshake begins a request
			resp, err := s.Client().Get(s.URL)
			is.NoErr(err)
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(b), "done")
			is.NoErr(resp.Body.Close())
			for range 1000 {
				if table.Size() <= maxConns {
					break
				}
				time.Sleep(20 * time.Millisecond) // evicted ones are being closed
			}
			is.True(table.Size() <= maxConns)
		})
	}
}
