package fakes

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/link"
)

// Fields of a Replica's requests and answers.
const (
	replicaID    = "Request"
	replicaMeant = "Meant"
	replicaProof = "Proof"
	replicaUnrun = "Unrun"
)

// A Nurture is how a Replica behaves now.
type Nurture struct {
	Work    time.Duration // of one request
	Silent  bool          // requests are never answered
	Shed    float64       // share of requests that are turned away
	Fail    float64       // share of requests that fail after they ran
	Crossed bool          // answers bear another request's identity
	Reset   bool          // a request runs, and the connection is broken
}

// A Replica is a stand-in for an upstream that answers whole requests: it works
// on a few at a time, queues some, and turns the others away. It counts what it
// runs. Set the exported fields, then Start.
type Replica struct {
	ID    string
	Slots int // requests at the same time
	Queue int // requests that wait
	Conns int // connections; above it they are reset; 0 sets no bound
	Body  string
	Note  func(id string) // told of each request that comes; may be nil

	mu     sync.Mutex
	nature Nurture
	ran    map[string]int // times that each request ran
	busy   int
	turn   int // requests that came, for shares
	open   int
	shed   int
	slots  chan struct{}
	server *http.Server
}

// Start serves at a listener.
func (p *Replica) Start(l net.Listener) {
	p.ran = make(map[string]int)
	p.slots = make(chan struct{}, p.Slots)
	p.server = &http.Server{Handler: p, ConnState: p.track}
	go (&replicaLoop{replica: p, listener: l}).run()
}

// A replicaLoop accepts a Replica's connections.
type replicaLoop struct {
	replica  *Replica
	listener net.Listener
}

func (l *replicaLoop) run() {
	// The error is that of the end.
	_ = l.replica.server.Serve(l.listener)
}

// Close ends the replica and cuts its connections.
func (p *Replica) Close() {
	_ = p.server.Close()
}

// Set changes how the replica behaves.
func (p *Replica) Set(n Nurture) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nature = n
}

// Ran returns how often each request ran.
func (p *Replica) Ran() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.ran))
	for id, n := range p.ran {
		out[id] = n
	}
	return out
}

// Came returns how many requests came, and how many of them were turned away.
func (p *Replica) Came() (came, shed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.turn, p.shed
}

// track resets connections above the cap.
func (p *Replica) track(c net.Conn, s http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case http.StateNew:
		p.open++
		if p.Conns > 0 && p.open > p.Conns {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		p.open--
	case http.StateActive, http.StateIdle:
	}
}

// enter counts a request in, and reports whether it is turned away.
func (p *Replica) enter() (Nurture, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	due := func(share float64) bool {
		return int(share*float64(p.turn)) > int(share*float64(p.turn-1))
	}
	if p.busy >= p.Slots+p.Queue || due(p.nature.Shed) {
		p.shed++
		return p.nature, true
	}
	p.busy++
	n := p.nature
	if !due(n.Fail) {
		n.Fail = 0
	}
	return n, false
}

func (p *Replica) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
}

// ServeHTTP answers one request.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(replicaID)
	if r.Header.Get(replicaMeant) != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.Note != nil {
		p.Note(id)
	}
	n, away := p.enter()
	if away {
		w.Header().Set(replicaUnrun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.leave()
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-r.Context().Done():
		return
	}
	p.mu.Lock()
	p.ran[id]++
	p.mu.Unlock()
	if n.Silent {
		<-r.Context().Done()
		return
	}
	time.Sleep(n.Work)
	p.answer(w, n, id)
}

func (p *Replica) answer(w http.ResponseWriter, n Nurture, id string) {
	if n.Reset {
		panic(http.ErrAbortHandler)
	}
	if n.Crossed {
		id = "another"
	}
	w.Header().Set(replicaID, id)
	w.Header().Set(replicaProof, fmt.Sprintf("%s of %s", id, p.ID))
	if n.Fail > 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(p.Body)))
	// A caller that has left gets nothing.
	_, _ = w.Write([]byte(p.Body))
}

// ReplicaCodec speaks to a Replica.
func ReplicaCodec() *link.Codec {
	return &link.Codec{
		Header: func(p *link.Request, id string, _ time.Duration) http.Header {
			return http.Header{replicaID: {p.ID}, replicaMeant: {id}}
		},
		Decode:      readReplica,
		IdleTimeout: func(http.Header) time.Duration { return 0 },
	}
}

func readReplica(p *link.Request, resp *http.Response, body []byte) link.Reply {
	re := link.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Proof: resp.Header.Get(replicaProof)}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		re.Result = link.Moved
	case resp.Header.Get(replicaUnrun) != "":
		re.Result = link.Refused
	case resp.Header.Get(replicaID) != p.ID:
		re.Result = link.Unknown
	case resp.StatusCode == http.StatusOK:
		re.Result = link.Succeeded
	default:
		re.Result = link.Failed
	}
	return re
}
