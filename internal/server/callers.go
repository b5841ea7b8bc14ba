package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/intake"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/proxy"
)

// startConfigWait is how long a starting daemon waits for its configuration and
// its upstreams before it accepts callers without them.
const startConfigWait = time.Second

// A callerServer serves callers' requests.
type callerServer struct {
	daemon *Daemon
	conns  intake.Table

	listener   net.Listener
	http       *http.Server
	goroutines kernel.Group
}

// Start opens the listener and serves it in the background.
func (s *callerServer) Start(ctx context.Context) error {
	l, err := s.daemon.Listen(s.daemon.Settings.CallerAddr)
	if err != nil {
		return fault.Wrap(err, "listen", s.daemon.Settings.CallerAddr)
	}
	s.conns.Limits = s.daemon.Limits
	s.conns.Refused = s.daemon.noteRefused
	s.conns.Linger = proxy.Linger
	s.conns.SetLimits(s.daemon.Settings.MemoryLimit, s.daemon.Settings.maxFiles())
	s.listener, err = s.conns.Listener(l)
	if err != nil {
		// Served all the same: the kernel's usual buffers only take more memory.
		s.daemon.Log.Emit(event.SettingNotInForce, event.Fields{Step: "listen", Peer: s.daemon.Settings.CallerAddr, Class: "receive buffer", Err: err})
	}
	s.http = s.conns.Server(s.daemon.Handler)
	ctx = s.goroutines.Begin(ctx, 2)
	go (&callerAccepter{s}).run(ctx)
	go (&connExpirer{s}).run(ctx)
	return nil
}

// A connExpirer closes connections whose callers take too long.
type connExpirer struct {
	server *callerServer
}

func (e *connExpirer) run(ctx context.Context) {
	defer e.server.goroutines.Done()
	e.server.conns.Run(ctx)
}

// A callerAccepter runs the accept loop of a callerServer.
type callerAccepter struct {
	server *callerServer
}

// run waits for the configuration, then serves until the listener is closed.
func (a *callerAccepter) run(ctx context.Context) {
	s := a.server
	defer s.goroutines.Done()
	s.awaitConfig(ctx)
	err := s.http.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.daemon.Log.Emit(event.DrainIncomplete, event.Fields{Step: "serve", Peer: s.daemon.Settings.CallerAddr, Err: err})
	}
}

// awaitConfig waits until the daemon is ready, for startConfigWait at most.
func (s *callerServer) awaitConfig(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for waited := time.Duration(0); waited < startConfigWait && !s.daemon.Ready(); waited += pollInterval {
		if !delay.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// drainPollInterval is the time between two checks whether the last connection has
// been closed.
const drainPollInterval = 20 * time.Millisecond

// drain stops accepting connections and closes the idle ones. It returns when no
// connection is left, or with an error when ctx ends first.
func (s *callerServer) drain(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return fault.Wrap(err, "close", s.daemon.Settings.CallerAddr)
	}
	for {
		s.conns.ExpireIdle()
		if s.conns.Size() == 0 {
			return nil
		}
		if !delay.Sleep(ctx, drainPollInterval) {
			return fmt.Errorf("%d callers' connections left: %w", s.conns.Size(), ctx.Err())
		}
	}
}

// Stop closes the listener and all connections.
func (s *callerServer) Stop(context.Context) error {
	err := s.http.Close()
	s.goroutines.Stop()
	if errors.Is(err, net.ErrClosed) {
		return nil // drain has closed the listener
	}
	return err
}

// ReadBody reads the body of a caller's request, which has limit bytes at most and is to be
// complete by the deadline. Its errors are those of intake.Table.ReadBody.
func (d *Daemon) ReadBody(r *http.Request, limit int, deadline time.Time) ([]byte, error) {
	return d.callers.conns.ReadBody(r, limit, deadline)
}
