package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/kernel"
)

// Limits of a server as long as the configuration sets none.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// startConfigWait is how long a starting daemon waits for its configuration and
// its upstreams before it accepts callers without them.
const startConfigWait = time.Second

// A server serves HTTP at one listen address.
type server struct {
	daemon     *Daemon
	address    string
	handler    http.Handler
	configWait time.Duration // longest wait until the daemon is ready; 0 for no wait, and for the default limits
	idle       *idleCloser   // closes idle connections; if nil, defaultIdleTimeout applies

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
		Handler:           s.handler,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	if s.idle != nil {
		s.http.IdleTimeout = 0
		s.http.ConnState = s.idle.track
	}
	go (&accepter{server: s, listener: l}).run(s.goroutines.Begin(ctx, 1))
	return nil
}

// An accepter runs the accept loop of a server.
type accepter struct {
	server   *server
	listener net.Listener
}

// run waits for the configuration as the server asks, then serves until the
// server is stopped.
func (a *accepter) run(ctx context.Context) {
	defer a.server.goroutines.Done()
	a.server.applyHeaderLimits(ctx)
	err := a.server.http.Serve(a.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.server.daemon.Log.Emit(event.DrainIncomplete, event.Fields{Step: "serve", Peer: a.server.address, Err: err})
	}
}

// applyHeaderLimits waits until the daemon is ready, for configWait at most, and
// sets the configured limits on request headers. It does nothing if configWait
// is 0.
func (s *server) applyHeaderLimits(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for waited := time.Duration(0); waited < s.configWait && !s.daemon.Ready(); waited += pollInterval {
		if !delay.Sleep(ctx, pollInterval) {
			return
		}
	}
	if s.configWait == 0 {
		return
	}
	l := s.daemon.Limits()
	if l.MaxHeaderBytes > 0 {
		s.http.MaxHeaderBytes = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		s.http.ReadHeaderTimeout = l.HeaderTimeout
	}
}

// Stop closes the listener, and returns when the requests in flight have finished
// or with an error when ctx ends first.
func (s *server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.goroutines.Stop()
	return err
}
