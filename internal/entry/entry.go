// Package entry serves callers: it plans each query, asks one holder for each
// cell, merges the replies and states their coverage.
package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/event"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/once"
	"bronzedoor.dev/bronzedoor/internal/plan"
	"bronzedoor.dev/bronzedoor/internal/ring"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Bounds of the callers' server.
const (
	headerWait = 5 * time.Second
	readWait   = 10 * time.Second
	idleWait   = 2 * time.Minute
	maxHeader  = 16 << 10 // bytes
	explained  = 512      // records of queries that are kept
)

// Reasons of refusals.
const (
	reasonCaller   = "no selector matches the caller"
	reasonQueue    = "too many requests wait"
	reasonLate     = "the deadline passed"
	reasonCoverage = "coverage is below the floor"
	reasonSnapshot = "no snapshot can be served"
	reasonClaim    = "the claim can't be made"
)

// An Entry serves callers. Set the exported fields, then Start.
type Entry struct {
	Self     string // identity of the daemon
	Listener net.Listener
	TLS      *tls.Config // nil for plain HTTP
	Book     *conf.Config
	Pins     *plan.Versions
	Routes   *plan.Balancer
	Cells    func(identity string) wire.Cells // a holder, this daemon included
	Claims   *once.Claims
	Metrics  *Metrics
	Extra    func(mux *http.ServeMux) // adds paths; may be nil
	Log      *event.Log

	server  http.Server
	leaving atomic.Bool
	records *ring.Ring[Record]
	serial  atomic.Uint64
	duties  kern.Group

	mu    sync.Mutex
	gates map[string]*limit.Semaphore // by caller class
}

// Start starts serving.
func (e *Entry) Start(ctx context.Context) error {
	ctx = e.duties.Begin(ctx, 2)
	e.records = ring.New[Record](explained)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+query.PathQuery, e.handleQuery)
	mux.HandleFunc("POST "+query.PathCheck, e.handleCheck)
	mux.HandleFunc("POST "+query.PathBook, e.handleBook)
	mux.HandleFunc("GET "+query.PathHealth, e.handleHealth)
	mux.HandleFunc("GET "+query.PathExplain+"{id}", e.handleExplain)
	if e.Extra != nil {
		e.Extra(mux)
	}
	e.server = http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerWait,
		ReadTimeout:       readWait,
		IdleTimeout:       idleWait,
		MaxHeaderBytes:    maxHeader,
		TLSConfig:         e.TLS,
		ErrorLog:          silent,
	}
	go e.run()
	go e.loop(ctx)
	return nil
}

// run accepts connections until Stop.
func (e *Entry) run() {
	defer e.duties.Done()
	if e.TLS != nil {
		_ = e.server.ServeTLS(e.Listener, "", "")
		return
	}
	_ = e.server.Serve(e.Listener)
}

// Leave fails the balancer's check and asks callers to close their
// connections, while requests are still served.
func (e *Entry) Leave() {
	e.leaving.Store(true)
	e.server.SetKeepAlivesEnabled(false)
}

// Stop returns when all requests are answered, or when ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	e.duties.Stop()
	return err
}

// Close cuts all callers off at once.
func (e *Entry) Close() {
	_ = e.server.Close()
}

func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	v := e.Book.View()
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case v.Revision == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

// decode reads a request's body strictly, or refuses it.
func decode[T any](e *Entry, w http.ResponseWriter, r *http.Request, v *T, validate func(*T) error) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, query.MaxBody))
	if err == nil {
		err = object.Decode(b, v)
	}
	if err == nil {
		err = validate(v)
	}
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status = http.StatusRequestEntityTooLarge
	}
	e.refuse(w, &query.Refusal{Reason: err.Error(), Run: query.RunNone, Status: status})
	return false
}

func (e *Entry) refuse(w http.ResponseWriter, r *query.Refusal) {
	if r.Status == 0 {
		r.Status = http.StatusServiceUnavailable
	}
	respond(w, r.Status, r)
}

func respond(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// identify returns id, or a new identity of a request.
func (e *Entry) identify(id string) string {
	if id != "" {
		return id
	}
	return fmt.Sprintf("%s-%d", e.Self, e.serial.Add(1))
}

// A ticket lets one request work until its deadline.
type ticket struct {
	id       string
	selector *object.Selector
	ctx      context.Context
	begun    time.Time
	leave    func()
}

// admit finds the caller's selector and waits for a place in its class. The
// ticket's leave must be called unless the refusal is set.
func (e *Entry) admit(ctx context.Context, id, caller string, deadline int) (*ticket, *query.Refusal) {
	t := &ticket{id: e.identify(id), begun: time.Now()}
	t.selector = e.Book.View().Selector(caller)
	if t.selector == nil {
		return nil, &query.Refusal{ID: t.id, Reason: reasonCaller, Run: query.RunNone, Status: http.StatusForbidden}
	}
	due := t.selector.Deadline()
	if deadline > 0 {
		due = min(due, time.Duration(deadline)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, due)
	gate := e.gate(t.selector)
	if err := gate.Acquire(ctx); err != nil {
		cancel()
		e.Metrics.refused(caller, "queue")
		r := &query.Refusal{ID: t.id, Reason: reasonLate, Run: query.RunNone}
		if errors.Is(err, limit.ErrQueueFull) {
			r.Reason, r.Status = reasonQueue, http.StatusTooManyRequests
		}
		return nil, r
	}
	t.ctx = ctx
	t.leave = func() {
		gate.Release()
		cancel()
	}
	return t, nil
}

// begin admits a request, or refuses it and reports false.
func (e *Entry) begin(w http.ResponseWriter, r *http.Request, id, caller string, deadline int) (*ticket, bool) {
	t, refusal := e.admit(r.Context(), id, caller, deadline)
	if refusal != nil {
		e.refuse(w, refusal)
	}
	return t, refusal == nil
}

func (e *Entry) gate(s *object.Selector) *limit.Semaphore {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gates == nil {
		e.gates = make(map[string]*limit.Semaphore)
	}
	g := e.gates[s.Caller]
	if g == nil {
		g = &limit.Semaphore{}
		e.gates[s.Caller] = g
	}
	g.Resize(orDefault(s.MaxInFlight, object.DefaultMaxInFlight), orDefault(s.MaxQueued, object.DefaultMaxQueued))
	return g
}

func orDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}
