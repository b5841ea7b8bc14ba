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
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/quota"
)

// startConfigWait is how long a starting daemon waits for its configuration and
// its upstreams before it accepts callers without them.
const startConfigWait = time.Second

// MaxHeaderBytes is the longest header of a caller's request that is read at all. The
// configuration may set a lower limit, which the daemon's handler has to apply: that of an
// http.Server can't be changed while it runs.
const MaxHeaderBytes = 1 << 20

// A callerServer serves callers' requests.
type callerServer struct {
	daemon *Daemon
	conns  connTable

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
	if err := limitUnread(l); err != nil {
		// Served all the same: the kernel's usual buffers only take more memory.
		s.daemon.Log.Emit(event.SettingNotInForce, event.Fields{Step: "listen", Peer: s.daemon.Settings.CallerAddr, Class: "receive buffer", Err: err})
	}
	s.listener = &connListener{Listener: l, table: &s.conns}
	s.conns.Limits = s.daemon.Limits
	s.conns.Refused = s.daemon.noteRefused
	s.conns.MaxConns = s.daemon.Settings.maxCallers()
	if n := s.daemon.Settings.MemoryLimit; n > 0 {
		s.conns.Memory = &quota.Quota{Max: n / requestShareOfMemory}
	}
	s.http = &http.Server{
		Handler:        s,
		MaxHeaderBytes: MaxHeaderBytes,
		ConnState:      s.conns.track,
		ConnContext:    withConn,
	}
	ctx = s.goroutines.Begin(ctx, 2)
	go (&callerAccepter{s}).run(ctx)
	go (&connExpirer{s}).run(ctx)
	return nil
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// withConn is an http.Server's ConnContext hook.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a caller's request.
func connOf(r *http.Request) *conn {
	return r.Context().Value(connKey{}).(*conn)
}

// ServeHTTP passes a request on to the handler, unless its head, which may have been read
// together with the request before, finds no memory left.
func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if r.ContentLength != 0 {
		defer c.leaveBody()
	}
	if !c.reserve(c.head.memory()) {
		s.conns.noteRefused(refusedMemory, c)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", retryAfterSeconds(refusedMemory.RetryAfter))
		w.WriteHeader(refusedMemory.Status)
		return
	}
	c.served = true
	s.daemon.Handler.ServeHTTP(w, r)
}

// A connExpirer closes connections whose callers take too long.
type connExpirer struct {
	server *callerServer
}

func (e *connExpirer) run(ctx context.Context) {
	defer e.server.goroutines.Done()
	e.server.conns.loop(ctx)
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
		s.conns.expire(connIdle, 0)
		if s.conns.size() == 0 {
			return nil
		}
		if !delay.Sleep(ctx, drainPollInterval) {
			return fmt.Errorf("%d callers' connections left: %w", s.conns.size(), ctx.Err())
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
