package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// A startingStore simulates an object API that refuses its first connections, as
// during its start.
type startingStore struct {
	refusals atomic.Int32 // connections that are still refused
	dials    atomic.Int32 // attempts to connect
}

var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}

func (s *startingStore) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.dials.Add(1)
	if s.refusals.Add(-1) >= 0 {
		return nil, errRefused
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (s *startingStore) editor(address string) *Editor {
	return &Editor{Store: &store.Client{
		ObjectsAddr: address,
		HTTP:        &http.Client{Transport: &http.Transport{DialContext: s.dial, DisableKeepAlives: true}},
		Timeout:     time.Minute,
	}}
}

func TestEditRetriesUntilStoreAccepts(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(fakes.NewStore(1))
	t.Cleanup(srv.Close)
	s := &startingStore{}
	s.refusals.Store(3)
	e := s.editor(srv.Listener.Addr().String())

	rev, err := Edit(t.Context(), e, object.KindLayout, "desk.1", func(l *object.Layout) {
		*l = object.Layout{Service: "desk", Number: 1, Shards: 2, Cell: 1, Blocks: 1}
	})

	is.NoErr(err)
	is.True(rev > 0)
	is.Equal(s.dials.Load(), int32(5)) // three refused, one for the read and one for the write
}

func TestRemoveStopsWithItsContext(t *testing.T) {
	is := is.New(t)
	s := &startingStore{}
	s.refusals.Store(1 << 20)
	ctx, cancel := context.WithTimeout(t.Context(), 3*pollInterval)
	defer cancel()

	_, err := s.editor("127.0.0.1:1").Remove(ctx, object.KindLayout, "desk.1")

	is.True(errors.Is(err, errRefused) || errors.Is(err, context.DeadlineExceeded))
}
