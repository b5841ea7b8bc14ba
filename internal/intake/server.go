package intake

import (
	"context"
	"net"
	"net/http"
)

// MaxHeaderBytes is the longest header of a caller's request that is read at all. The
// configuration may set a lower limit, which the handler has to apply: that of an http.Server
// can't be changed while it runs.
const MaxHeaderBytes = 1 << 20

// Server returns a server of callers' requests to h, which is to serve a listener of the table.
func (t *Table) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        &admitter{table: t, next: h},
		MaxHeaderBytes: MaxHeaderBytes,
		ConnState:      t.track,
		ConnContext:    withConn,
	}
}

// Attach makes a server report the states of its connections, for a server that doesn't read
// requests through the table: it bounds the number of its connections only. Limits must be nil.
// It is to be called before the server serves a listener of the table.
func (t *Table) Attach(s *http.Server) {
	s.ConnState = t.track
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

// An admitter passes requests on to the next handler.
type admitter struct {
	table *Table
	next  http.Handler
}

// ServeHTTP passes a request on, unless its head, which may have been read together with the
// request before, finds no memory left.
func (a *admitter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	if r.ContentLength != 0 {
		defer c.leaveBody()
	}
	if !c.reserve(c.head.memory()) {
		a.table.note(refusedMemory, c)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", retryAfterSeconds(refusedMemory.RetryAfter))
		w.WriteHeader(refusedMemory.Status)
		return
	}
	c.served = true
	a.next.ServeHTTP(w, r)
}
