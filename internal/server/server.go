package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/kernel"
)

// Limits that apply to callers as long as the configuration sets none, and always to
// other daemons and operators.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// Limits on the bodies of other daemons' and operators' requests. Those of daemons take some
// hundred bytes.
const (
	peerBodyBytes   = 64 << 10
	peerBodyTimeout = 10 * time.Second // from the beginning of the request
)

// A server serves HTTP at one listen address, to other daemons or to operators.
type server struct {
	daemon  *Daemon
	address string
	handler http.Handler

	http       *http.Server
	goroutines kernel.Group
}

// Start opens the listener and serves it in the background.
func (s *server) Start(ctx context.Context) error {
	l, err := s.daemon.Listen(s.address)
	if err != nil {
		return fault.Wrap(err, "listen", s.address)
	}
	s.http = &http.Server{
		Handler:           http.MaxBytesHandler(s.handler, peerBodyBytes),
		ReadHeaderTimeout: defaultHeaderTimeout,
		ReadTimeout:       peerBodyTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	go (&accepter{server: s, listener: l}).run(s.goroutines.Begin(ctx, 1))
	return nil
}

// An accepter runs the accept loop of a server.
type accepter struct {
	server   *server
	listener net.Listener
}

// run serves until the server is stopped.
func (a *accepter) run(context.Context) {
	defer a.server.goroutines.Done()
	err := a.server.http.Serve(a.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.server.daemon.Log.Emit(event.DrainIncomplete, event.Fields{Step: "serve", Peer: a.server.address, Err: err})
	}
}

// Stop closes the listener, and returns when the requests in flight have finished
// or with an error when ctx ends first.
func (s *server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.goroutines.Stop()
	return err
}
