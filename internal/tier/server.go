package tier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/pace"
)

// Limits of a server before the configuration sets any.
const (
	headerBytes = 64 << 10
	headerWait  = 10 * time.Second
	idleWait    = 2 * time.Minute
)

// startWait is how long a starting daemon waits for its configuration before
// it accepts callers without it.
const startWait = time.Second

// A server serves one address.
type server struct {
	tier     *Tier
	address  string
	handler  http.Handler
	patience time.Duration // how long it waits for the configuration; 0 for not at all
	idler    *idler        // closes idle connections; nil leaves that to idleWait

	http   *http.Server
	duties kern.Duties
}

// Start starts serving.
func (s *server) Start(ctx context.Context) error {
	l, err := s.tier.Listen(s.address)
	if err != nil {
		return fault.Wrap(err, "listen", s.address)
	}
	s.http = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerWait,
		IdleTimeout:       idleWait,
		MaxHeaderBytes:    headerBytes,
	}
	if s.idler != nil {
		s.http.IdleTimeout = 0
		s.http.ConnState = s.idler.note
	}
	go (&accepter{server: s, listener: l}).run(s.duties.Begin(ctx, 1))
	return nil
}

// An accepter runs a server.
type accepter struct {
	server   *server
	listener net.Listener
}

// run serves until the server stops.
func (a *accepter) run(ctx context.Context) {
	defer a.server.duties.Done()
	a.server.limit(ctx)
	err := a.server.http.Serve(a.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		a.server.tier.Log.Emit(event.LeaveCut, event.Fields{Step: "serve", Peer: a.server.address, Err: err})
	}
}

// limit sets the limits of a caller's header once they are known.
func (s *server) limit(ctx context.Context) {
	const look = 20 * time.Millisecond
	for waited := time.Duration(0); waited < s.patience && !s.tier.Ready(); waited += look {
		if !pace.Sleep(ctx, look) {
			return
		}
	}
	if s.patience == 0 {
		return
	}
	l := s.tier.Limits()
	if l.MaxHeaderBytes > 0 {
		s.http.MaxHeaderBytes = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		s.http.ReadHeaderTimeout = l.HeaderTimeout
	}
}

// Stop finishes the requests in work, until ctx ends.
func (s *server) Stop(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}
