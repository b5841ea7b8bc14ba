// Package entry serves callers over HTTP. A query is fanned out to the cells of its
// service, groups of shards. For each cell it is sent to a holder, a daemon with
// permits to send to the upstreams of the cell. The replies are merged, and the
// answer states how many of the shards it covers.
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
	"bronzedoor.dev/bronzedoor/internal/intake"
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/limit"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/once"
	"bronzedoor.dev/bronzedoor/internal/plan"
	"bronzedoor.dev/bronzedoor/internal/ring"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// Limits of the HTTP server.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	maxRecords     = 512 // records of recent requests, kept for explain
)

// Reasons of refusals, as callers see them.
const (
	reasonCaller   = "no selector matches the caller"
	reasonQueue    = "too many requests wait"
	reasonDeadline = "the deadline passed"
	reasonCoverage = "coverage is below the floor"
	reasonSnapshot = "no snapshot can be served"
	reasonClaim    = "the claim can't be made"
)

// unknownClass is the class that is counted for refused requests without a selector.
// Their callers' names would make any number of metrics.
const unknownClass = "unknown"

// An Entry is the HTTP server for callers. Set the exported fields, then call Start.
type Entry struct {
	Self        string // identity of this daemon
	Listener    net.Listener
	Conns       *intake.Table // of Listener's connections; nil for no limit on them
	TLS         *tls.Config   // nil for plain HTTP
	Config      *conf.Config
	Versions    *plan.Versions
	Balancer    *plan.Balancer
	CellsClient func(identity string) wire.Cells // client of a daemon, which may be this one
	Claims      *once.Claims
	Metrics     *Metrics
	AddHandlers func(mux *http.ServeMux) // adds further handlers; may be nil
	Log         *event.Log

	server     http.Server
	requests   context.Context    // of all requests; ends when a leave has no time left for them
	cutOff     context.CancelFunc // ends requests
	draining   atomic.Bool        // the health check fails
	records    *ring.Ring[Record]
	idSeq      atomic.Uint64 // number of request IDs made
	goroutines kernel.Group

	mu         sync.Mutex
	semaphores map[string]*limit.Semaphore // limits of requests in flight, by caller class
}

// Start starts to serve in the background. It always returns nil.
func (e *Entry) Start(ctx context.Context) error {
	ctx = e.goroutines.Begin(ctx, 2)
	e.requests, e.cutOff = context.WithCancel(context.Background())
	e.records = ring.New[Record](maxRecords)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+query.PathQuery, e.handleQuery)
	mux.HandleFunc("POST "+query.PathCheck, e.handleCheck)
	mux.HandleFunc("POST "+query.PathBook, e.handleBook)
	mux.HandleFunc("GET "+query.PathHealth, e.handleHealth)
	mux.HandleFunc("GET "+query.PathExplain+"{id}", e.handleExplain)
	if e.AddHandlers != nil {
		e.AddHandlers(mux)
	}
	e.server = http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         e.TLS,
		ErrorLog:          discardLog,
	}
	if e.Conns != nil {
		e.Conns.Attach(&e.server)
	}
	go e.run()
	go e.loop(ctx)
	return nil
}

// run accepts connections until the server is shut down or closed.
func (e *Entry) run() {
	defer e.goroutines.Done()
	if e.TLS != nil {
		_ = e.server.ServeTLS(e.Listener, "", "")
		return
	}
	_ = e.server.Serve(e.Listener)
}

// Drain makes the health check fail, so that load balancers stop sending here, and
// disables keep-alive, so that callers close their connections. Requests are still
// served. Those that are not complete at answerBy are answered then, with the shards that
// are there, or refused. A zero answerBy leaves them all their time.
func (e *Entry) Drain(answerBy time.Time) {
	e.draining.Store(true)
	e.server.SetKeepAlivesEnabled(false)
	if !answerBy.IsZero() {
		time.AfterFunc(time.Until(answerBy), e.cutOff)
	}
}

// Stop closes the listener and waits until all requests are answered. If ctx ends
// first, it returns ctx's error.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	e.cutOff()
	e.goroutines.Stop()
	return err
}

// Close closes the listener and all connections at once.
func (e *Entry) Close() {
	_ = e.server.Close()
}

func (e *Entry) handleHealth(w http.ResponseWriter, _ *http.Request) {
	v := e.Config.View()
	switch {
	case e.draining.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case v.Revision == 0:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

// decode reads the body of a request into v and validates it. If the body is too
// large, has unknown fields or is invalid, decode writes a refusal and reports false.
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
	e.Metrics.countRefusal(unknownClass, "invalid")
	e.writeRefusal(w, &query.Refusal{Reason: err.Error(), Run: query.RunNone, Status: status})
	return false
}

// writeRefusal writes a refusal with its status, by default 503.
func (e *Entry) writeRefusal(w http.ResponseWriter, refusal *query.Refusal) {
	if refusal.Status == 0 {
		refusal.Status = http.StatusServiceUnavailable
	}
	writeJSON(w, refusal.Status, refusal)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
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

// requestID returns id or, if it is empty, a new request ID.
func (e *Entry) requestID(id string) string {
	if id != "" {
		return id
	}
	return fmt.Sprintf("%s-%d", e.Self, e.idSeq.Add(1))
}

// An admission is a request's permission to run until its deadline.
type admission struct {
	id       string
	selector *object.Selector
	ctx      context.Context // ends at the deadline
	start    time.Time       // when the request arrived
	release  func()          // makes room for the next request of the class
}

// admit finds the selector of the caller class and waits until the class has fewer
// requests in flight than its limit. The deadline is the selector's, or deadlineMs if
// that is earlier; 0 means none. Unless it returns a refusal, the admission's release
// must be called.
func (e *Entry) admit(ctx context.Context, id, caller string, deadlineMs int) (*admission, *query.Refusal) {
	adm := &admission{id: e.requestID(id), start: time.Now()}
	adm.selector = e.Config.View().Selector(caller)
	if adm.selector == nil {
		e.Metrics.countRefusal(unknownClass, "selector")
		return nil, &query.Refusal{ID: adm.id, Reason: reasonCaller, Run: query.RunNone, Status: http.StatusForbidden}
	}
	timeout := adm.selector.Deadline()
	if deadlineMs > 0 {
		timeout = min(timeout, time.Duration(deadlineMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	keep := context.AfterFunc(e.requests, cancel)
	sem := e.semaphore(adm.selector)
	if err := sem.Acquire(ctx); err != nil {
		keep()
		cancel()
		e.Metrics.countRefusal(caller, "queue")
		r := &query.Refusal{ID: adm.id, Reason: reasonDeadline, Run: query.RunNone}
		if errors.Is(err, limit.ErrQueueFull) {
			r.Reason, r.Status = reasonQueue, http.StatusTooManyRequests
		}
		return nil, r
	}
	adm.ctx = ctx
	adm.release = func() {
		sem.Release()
		keep()
		cancel()
	}
	return adm, nil
}

// admitOrRefuse admits a request, or writes the refusal and reports false.
func (e *Entry) admitOrRefuse(w http.ResponseWriter, r *http.Request, id, caller string, deadlineMs int) (*admission, bool) {
	adm, refusal := e.admit(r.Context(), id, caller, deadlineMs)
	if refusal != nil {
		e.writeRefusal(w, refusal)
	}
	return adm, refusal == nil
}

// semaphore returns the semaphore of a caller class, sized as its selector says.
func (e *Entry) semaphore(s *object.Selector) *limit.Semaphore {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.semaphores == nil {
		e.semaphores = make(map[string]*limit.Semaphore)
	}
	sem := e.semaphores[s.Caller]
	if sem == nil {
		sem = &limit.Semaphore{}
		e.semaphores[s.Caller] = sem
	}
	sem.Resize(orDefault(s.MaxInFlight, object.DefaultMaxInFlight), orDefault(s.MaxQueued, object.DefaultMaxQueued))
	return sem
}

func orDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}
