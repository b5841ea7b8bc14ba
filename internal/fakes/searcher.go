package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A SearcherBehavior says how a Searcher serves requests. It may change while the
// searcher runs.
type SearcherBehavior struct {
	Slots         int           // shard requests served at a time; at least 1
	MaxConns      int           // open connections, above which new ones are closed; at least 1
	ServiceTime   time.Duration // time to serve one shard request
	Jitter        time.Duration // most time added to ServiceTime, drawn for each shard request
	DialDelay     time.Duration // delay of the first answer on a new connection
	OutlierFactor int           // how many times longer an outlier takes; 0 for no outliers
	OutlierShare  float64       // share of shard requests that are outliers, from 0 to 1
	Slowdown      int           // how many times longer every shard request takes; 0 counts as 1
	RampStep      int           // shard requests served until a cold searcher accepts one more in flight; 0 for never cold
	MaxInFlight   int           // shard requests in flight above which a warm searcher rejects; 0 counts as MaxConns
	Draining      bool          // rejects shard requests and reports itself as draining
	Partial       bool          // marks its hits as covering only some of the shard
	TruncateAt    int           // bytes after which the answer's body is cut off; 0 for a complete body
	WrongRequest  bool          // answers carry the ID of another request
	WrongVersion  bool          // answers come from another index version than requested
	ResetConn     bool          // shard requests run, then the connection is reset
	Down          bool          // resets every connection without reading the request's body
}

// SearcherStats counts what a Searcher received since it was created.
type SearcherStats struct {
	Executed      int // shard requests that ran
	Rejected      int // shard requests rejected for load
	ColdOverloads int // rejections while cold: the sender exceeded what a cold searcher accepts
	PeakInFlight  int // most shard requests in flight at a time
	ConnsOpened   int // connections opened
	PeakConns     int // most connections open at a time
	ConnsRejected int // connections closed because MaxConns was exceeded
	BookedKeys    []string
	LastArrival   time.Time // when the last shard request arrived
}

// A Searcher is a fake upstream that serves one shard of one layout over HTTP. Use
// NewSearcher to create one.
type Searcher struct {
	docs       Documents
	layout     int
	shard      int
	shards     int
	ids        []int
	slots      chan struct{} // holds a token for each shard request being served
	mu         sync.Mutex
	behavior   SearcherBehavior
	startID    string
	starts     int
	newest     uint64
	retained   uint64 // number of index versions that it can serve
	served     int    // shard requests since the last Restart
	inFlight   int
	stats      SearcherStats
	rnd        *rand.Rand
	conns      map[net.Conn]bool
	executions map[string]int // how often each booking ran, by idempotency key
}

// A ShardSpec says which shard a searcher serves.
type ShardSpec struct {
	Docs   Documents
	Layout int
	Shard  int
	Shards int // number of shards of the layout
}

// NewSearcher returns a cold searcher at index version 1, whose random delays are
// drawn from seed.
func NewSearcher(p ShardSpec, n SearcherBehavior, seed uint64) *Searcher {
	s := &Searcher{
		docs:       p.Docs,
		layout:     p.Layout,
		shard:      p.Shard,
		shards:     p.Shards,
		ids:        p.Docs.Shard(p.Shard, p.Shards),
		slots:      make(chan struct{}, max(n.Slots, 1)),
		behavior:   n,
		newest:     1,
		retained:   2,
		rnd:        rand.New(rand.NewPCG(seed, 2)),
		conns:      make(map[net.Conn]bool),
		executions: make(map[string]int),
	}
	s.Restart()
	return s
}

// Restart gives the searcher a new start ID, closes its connections and makes it
// cold.
func (s *Searcher) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.startID = fmt.Sprintf("%d.%d.%d", s.layout, s.shard, s.starts*1000+s.rnd.IntN(1000))
	s.served = 0
	for c := range s.conns {
		_ = c.Close()
	}
}

// Warm ends the warm-up, so that the searcher accepts its full load at once.
func (s *Searcher) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = s.behavior.RampStep * 1000
}

// UpdateBehavior calls change with the searcher's behavior, under its lock.
func (s *Searcher) UpdateBehavior(change func(*SearcherBehavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behavior)
}

// AdvanceVersion makes the next index version the newest. The two newest versions
// are served.
func (s *Searcher) AdvanceVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
}

// Stats returns the searcher's counts so far.
func (s *Searcher) Stats() SearcherStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Executions returns how often the booking with an idempotency key ran.
func (s *Searcher) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// ConnState is the ConnState hook of the searcher's HTTP server. It closes
// connections above MaxConns.
func (s *Searcher) ConnState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		s.stats.ConnsOpened++
		s.stats.PeakConns = max(s.stats.PeakConns, len(s.conns))
		if len(s.conns) > s.behavior.MaxConns {
			s.stats.ConnsRejected++
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// firstReplyKey is the context key of a connection's sync.Once, which delays the first answer.
type firstReplyKey struct{}

// ConnContext is the ConnContext hook of the searcher's HTTP server. It makes the
// first answer on a connection wait for DialDelay.
func (s *Searcher) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, firstReplyKey{}, &sync.Once{})
}

// ServeHTTP serves the upstream API of the search protocol: the start info, shard
// requests and bookings.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := s.behavior
	s.mu.Unlock()
	if n.Down {
		panic(http.ErrAbortHandler)
	}
	if once, ok := r.Context().Value(firstReplyKey{}).(*sync.Once); ok {
		once.Do(func() { time.Sleep(n.DialDelay) })
	}
	switch r.URL.Path {
	case search.PathStart:
		s.mu.Lock()
		st := search.Info{StartID: s.startID, Oldest: s.oldest(), Newest: s.newest, Draining: n.Draining}
		s.mu.Unlock()
		reply(w, st)
	case search.PathShard, search.PathBook:
		s.serveShard(w, r, n)
	default:
		http.NotFound(w, r)
	}
}

func (s *Searcher) oldest() uint64 {
	if s.newest <= s.retained {
		return 1
	}
	return s.newest - s.retained + 1
}

func (s *Searcher) serveShard(w http.ResponseWriter, r *http.Request, n SearcherBehavior) {
	var p search.ShardRequest
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(search.HeaderRemaining)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if reason := s.admit(n); reason != "" {
		s.reject(w, p, http.StatusServiceUnavailable, reason)
		return
	}
	defer s.release()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.reject(w, p, http.StatusGatewayTimeout, search.ReasonDeadline)
		return
	}
	book := r.URL.Path == search.PathBook
	done := s.process(ctx, n, book)
	<-s.slots
	if !done {
		s.reject(w, p, http.StatusGatewayTimeout, search.ReasonDeadline)
		return
	}
	s.answer(w, p, n, book)
}

// admit counts a shard request in and returns "", or returns why it is rejected.
// An admitted request is to call release.
func (s *Searcher) admit(n SearcherBehavior) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.LastArrival = time.Now()
	if n.Draining {
		return search.ReasonDrain
	}
	limit := n.MaxInFlight
	if limit == 0 {
		limit = n.MaxConns
	}
	cold := n.RampStep > 0 && 1+s.served/n.RampStep < n.Slots
	if cold {
		limit = 1 + s.served/n.RampStep
	}
	if s.inFlight >= limit {
		s.stats.Rejected++
		if cold {
			s.stats.ColdOverloads++
		}
		return search.ReasonShed
	}
	s.inFlight++
	s.stats.PeakInFlight = max(s.stats.PeakInFlight, s.inFlight)
	return ""
}

func (s *Searcher) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// process spends the service time of one shard request. It reports whether the
// time passed before ctx was done; a booking always runs to its end.
func (s *Searcher) process(ctx context.Context, n SearcherBehavior, book bool) bool {
	s.mu.Lock()
	d := n.ServiceTime
	if n.Jitter > 0 {
		d += time.Duration(s.rnd.Int64N(int64(n.Jitter)))
	}
	if n.OutlierFactor > 0 && s.rnd.Float64() < n.OutlierShare {
		d *= time.Duration(n.OutlierFactor)
	}
	d *= time.Duration(max(n.Slowdown, 1))
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	if book {
		<-t.C
		return true
	}
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) reject(w http.ResponseWriter, p search.ShardRequest, status int, reason string) {
	s.mu.Lock()
	re := s.baseReply(p)
	s.mu.Unlock()
	re.Reason = reason
	b, _ := json.Marshal(re)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Searcher) baseReply(p search.ShardRequest) search.Reply {
	return search.Reply{
		Request:  p.Request,
		Shard:    s.shard,
		Snapshot: query.Snapshot{Layout: s.layout, Version: p.Snapshot.Version},
		StartID:  s.startID,
		Oldest:   s.oldest(),
		Newest:   s.newest,
	}
}

func (s *Searcher) answer(w http.ResponseWriter, p search.ShardRequest, n SearcherBehavior, book bool) {
	s.mu.Lock()
	s.served++
	s.stats.Executed++
	if book {
		s.executions[p.Key]++
		s.stats.BookedKeys = append(s.stats.BookedKeys, p.Key)
	}
	re := s.baseReply(p)
	s.mu.Unlock()
	if re.Snapshot.Version == 0 {
		re.Snapshot.Version = re.Newest
	}
	if !book && (re.Snapshot.Version < re.Oldest || re.Snapshot.Version > re.Newest) {
		s.reject(w, p, http.StatusConflict, search.ReasonVersion)
		return
	}
	if n.ResetConn {
		panic(http.ErrAbortHandler)
	}
	s.fillResults(&re, p, n, book)
	b, _ := json.Marshal(re)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if n.TruncateAt > 0 {
		_, _ = w.Write(b[:min(n.TruncateAt, len(b)-1)])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}

func (s *Searcher) fillResults(re *search.Reply, p search.ShardRequest, n SearcherBehavior, book bool) {
	switch {
	case book:
		re.Result = "booked " + p.Item
	case p.Item != "":
		re.Free = Free(p.Item, re.Snapshot.Version)
	default:
		if n.WrongVersion {
			re.Snapshot.Version++
		}
		re.Hits = s.docs.Top(re.Snapshot.Version, p.Text, p.Top, p.After, s.ids)
		re.Partial = n.Partial
	}
	if n.WrongRequest {
		re.Request = "another-" + p.Request
	}
}
