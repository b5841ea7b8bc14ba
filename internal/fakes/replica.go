package fakes

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/client"
)

// HeaderReplicaID is the header of a Replica's answers that has its ID.
const HeaderReplicaID = "Replica"

// Headers of requests to a Replica and of its answers.
const (
	headerRequestID  = "Request"
	headerUpstreamID = "Meant"
	headerProof      = "Proof"
	headerNotRun     = "Unrun"
	headerRateLimit  = "Rate-Limit"
	headerLeaving    = "Leaving"
	headerPause      = "Pause" // of a rejected request, in ns
)

// A ReplicaBehavior says how a Replica serves requests. The zero value answers at once.
type ReplicaBehavior struct {
	ServiceTime  time.Duration // time to serve one request
	NoReply      bool          // requests run and are never answered
	RejectShare  float64       // share of requests that are rejected, from 0 to 1
	FailShare    float64       // share of requests that run and then fail, from 0 to 1
	WrongRequest bool          // answers carry the ID of another request
	ResetConn    bool          // requests run, then the connection is reset
	RateLimit    float64       // requests per second that answers state as the limit; 0 for no limit
	Leaving      bool          // answers say that the replica is leaving
	Pause        time.Duration // for which a rejected request asks; 0 for none
}

// A Replica is a fake upstream. It serves up to Slots requests at a time, queues
// up to Queue more and rejects the others, and it counts how often each request
// ran. Set the exported fields before calling Start.
type Replica struct {
	ID        string
	Slots     int // requests served at a time
	Queue     int // requests that may wait for a slot
	MaxConns  int // open connections, above which new ones are closed; 0 means no limit
	Body      string
	OnRequest func(id string) // called with the ID of each request that arrives; may be nil

	mu         sync.Mutex
	behavior   ReplicaBehavior
	executions map[string]int // how often each request ran, by request ID
	inFlight   int
	received   int // requests that arrived; shares are taken of this count
	openConns  int
	rejected   int
	slots      chan struct{}
	server     *http.Server
}

// Start serves requests on l, in a goroutine of its own, until Close is called.
func (p *Replica) Start(l net.Listener) {
	p.executions = make(map[string]int)
	p.slots = make(chan struct{}, p.Slots)
	p.server = &http.Server{Handler: p, ConnState: p.track}
	go (&replicaServer{replica: p, listener: l}).run()
}

// A replicaServer runs a Replica's HTTP server on a listener.
type replicaServer struct {
	replica  *Replica
	listener net.Listener
}

func (l *replicaServer) run() {
	// Serve always returns an error, which after Close is http.ErrServerClosed.
	_ = l.replica.server.Serve(l.listener)
}

// Close stops the replica and closes its connections.
func (p *Replica) Close() {
	_ = p.server.Close()
}

// SetBehavior changes how the replica serves requests from now on.
func (p *Replica) SetBehavior(n ReplicaBehavior) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behavior = n
}

// Executions returns how often each request ran, by request ID.
func (p *Replica) Executions() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.executions))
	for id, n := range p.executions {
		out[id] = n
	}
	return out
}

// Requests returns how many requests arrived, and how many of them were rejected.
func (p *Replica) Requests() (received, rejected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received, p.rejected
}

// track is the server's ConnState hook. It closes connections above MaxConns.
func (p *Replica) track(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case http.StateNew:
		p.openConns++
		if p.MaxConns > 0 && p.openConns > p.MaxConns {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		p.openConns--
	case http.StateActive, http.StateIdle:
	}
}

// admit counts a request and reports whether it is rejected. An admitted request
// is to call release.
func (p *Replica) admit() (ReplicaBehavior, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received++
	due := func(share float64) bool {
		return int(share*float64(p.received)) > int(share*float64(p.received-1))
	}
	if p.inFlight >= p.Slots+p.Queue || due(p.behavior.RejectShare) {
		p.rejected++
		return p.behavior, true
	}
	p.inFlight++
	n := p.behavior
	if !due(n.FailShare) {
		n.FailShare = 0
	}
	return n, false
}

func (p *Replica) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
}

// ServeHTTP serves one request. A request that is meant for another upstream is
// answered with 421, a rejected one with 503; neither runs.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	if r.Header.Get(headerUpstreamID) != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.OnRequest != nil {
		p.OnRequest(id)
	}
	w.Header().Set(HeaderReplicaID, p.ID)
	n, rejected := p.admit()
	if n.RateLimit > 0 {
		w.Header().Set(headerRateLimit, strconv.FormatFloat(n.RateLimit, 'g', -1, 64))
	}
	if n.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
	if rejected {
		w.Header().Set(headerPause, strconv.FormatInt(int64(n.Pause), 10))
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.release()
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-r.Context().Done():
		return
	}
	p.mu.Lock()
	p.executions[id]++
	p.mu.Unlock()
	if n.NoReply {
		<-r.Context().Done()
		return
	}
	time.Sleep(n.ServiceTime)
	p.answer(w, n, id)
}

func (p *Replica) answer(w http.ResponseWriter, n ReplicaBehavior, id string) {
	if n.ResetConn {
		panic(http.ErrAbortHandler)
	}
	if n.WrongRequest {
		id = "another"
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set(headerProof, fmt.Sprintf("%s of %s", id, p.ID))
	if n.FailShare > 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(p.Body)))
	// The error means that the client has disconnected.
	_, _ = w.Write([]byte(p.Body))
}

// ReplicaCodec returns the codec for requests to a Replica.
func ReplicaCodec() *client.Codec {
	return &client.Codec{
		Header: func(p *client.Request, id string, _ time.Duration) http.Header {
			return http.Header{headerRequestID: {p.ID}, headerUpstreamID: {id}}
		},
		Decode:      decodeReplica,
		IdleTimeout: func(http.Header) time.Duration { return 0 },
	}
}

func decodeReplica(p *client.Request, resp *http.Response, body []byte) client.Reply {
	re := client.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Proof: resp.Header.Get(headerProof)}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		re.Result = client.Moved
	case resp.Header.Get(headerNotRun) != "":
		re.Result = client.Refused
	case resp.Header.Get(headerRequestID) != p.ID:
		re.Result = client.Unknown
	case resp.StatusCode == http.StatusOK:
		re.Result = client.Succeeded
	default:
		re.Result = client.Failed
	}
	if re.Result != client.Moved && re.Result != client.Unknown {
		rate, err := strconv.ParseFloat(resp.Header.Get(headerRateLimit), 64)
		re.RateLimit = client.RateLimit{Known: true, Limited: err == nil, PerSecond: rate}
		re.Leaving = resp.Header.Get(headerLeaving) != ""
		// Without the header the pause is 0.
		pause, _ := strconv.ParseInt(resp.Header.Get(headerPause), 10, 64)
		re.Pause = time.Duration(pause)
	}
	return re
}
