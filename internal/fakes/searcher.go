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

// A Nature is how a searcher behaves. It may change while the searcher runs.
type Nature struct {
	Slots   int           // parts served at a time; at least 1
	Conns   int           // connections accepted; at least 1
	Work    time.Duration // time to serve one part
	Jitter  time.Duration // most time added to Work, drawn for each part
	Dial    time.Duration // time until a new connection answers
	Stretch int           // how many times slower a drawn part is; 0 for none
	Often   float64       // share of parts that are slower by Stretch
	Slow    int           // how many times slower every part is; 0 counts as 1
	Ramp    int           // served parts for each further part that a cold searcher bears; 0 for never cold
	Bears   int           // parts in flight that a warm searcher bears before it sheds; 0 counts as Conns
	Drain   bool          // refuses work
	Partial bool          // searches only some of the shard
	Cut     int           // the body is cut off after so many bytes; 0 for whole
	Cross   bool          // answers with another request's identity
	Wrong   bool          // answers from another version than asked
	Reset   bool          // executes, then resets the connection
	Down    bool          // resets every connection without reading
}

// A Tally is the searcher's own record.
type Tally struct {
	Parts  int // parts executed
	Shed   int // parts refused for load
	Breaks int // times more was in flight than a cold searcher bears
	Peak   int // most parts in flight
	Conns  int // connections opened
	Most   int // most connections open at a time
	Over   int // connections refused for the cap
	Booked []string
	Last   time.Time // when the last part arrived
}

// A Searcher serves one shard of one layout. Use NewSearcher to make one.
type Searcher struct {
	docs    Documents
	layout  int
	shard   int
	shards  int
	ids     []int
	slots   chan struct{} // holds a token for each part being served
	mu      sync.Mutex
	nature  Nature
	start   string
	starts  int
	newest  uint64
	keep    uint64 // versions held
	served  int    // since the start
	flight  int
	tally   Tally
	rnd     *rand.Rand
	conns   map[net.Conn]bool
	records map[string]int // executions for each booking's key
}

// A Place is what a searcher serves.
type Place struct {
	Docs   Documents
	Layout int
	Shard  int
	Shards int // shards of the layout
}

// NewSearcher returns a searcher at index version 1 that has just started.
func NewSearcher(p Place, n Nature, seed uint64) *Searcher {
	s := &Searcher{
		docs:    p.Docs,
		layout:  p.Layout,
		shard:   p.Shard,
		shards:  p.Shards,
		ids:     p.Docs.Shard(p.Shard, p.Shards),
		slots:   make(chan struct{}, max(n.Slots, 1)),
		nature:  n,
		newest:  1,
		keep:    2,
		rnd:     rand.New(rand.NewPCG(seed, 2)),
		conns:   make(map[net.Conn]bool),
		records: make(map[string]int),
	}
	s.Restart()
	return s
}

// Restart gives the searcher a new start identity, cuts its connections and
// makes it cold.
func (s *Searcher) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.start = fmt.Sprintf("%d.%d.%d", s.layout, s.shard, s.starts*1000+s.rnd.IntN(1000))
	s.served = 0
	for c := range s.conns {
		_ = c.Close()
	}
}

// Warm makes the searcher bear its full load at once.
func (s *Searcher) Warm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served = s.nature.Ramp * 1000
}

// Set changes how the searcher behaves.
func (s *Searcher) Set(change func(*Nature)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.nature)
}

// Roll moves the searcher to its next index version.
func (s *Searcher) Roll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
}

// Tally returns the searcher's record.
func (s *Searcher) Tally() Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally
}

// Runs returns how often a booking was executed.
func (s *Searcher) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key]
}

// Track is the ConnState hook of the searcher's server. It keeps the cap.
func (s *Searcher) Track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		s.tally.Conns++
		s.tally.Most = max(s.tally.Most, len(s.conns))
		if len(s.conns) > s.nature.Conns {
			s.tally.Over++
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// fresh is the key of a connection's context under which its age is kept.
type fresh struct{}

// Context is the ConnContext hook of the searcher's server: a new connection
// costs its dial time before the first answer.
func (s *Searcher) Context(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, fresh{}, &sync.Once{})
}

// ServeHTTP serves the searcher's interface.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := s.nature
	s.mu.Unlock()
	if n.Down {
		panic(http.ErrAbortHandler)
	}
	if once, ok := r.Context().Value(fresh{}).(*sync.Once); ok {
		once.Do(func() { time.Sleep(n.Dial) })
	}
	switch r.URL.Path {
	case search.PathStart:
		s.mu.Lock()
		st := search.Info{StartID: s.start, Oldest: s.oldest(), Newest: s.newest, Draining: n.Drain}
		s.mu.Unlock()
		reply(w, st)
	case search.PathShard, search.PathBook:
		s.part(w, r, n)
	default:
		http.NotFound(w, r)
	}
}

func (s *Searcher) oldest() uint64 {
	if s.newest <= s.keep {
		return 1
	}
	return s.newest - s.keep + 1
}

func (s *Searcher) part(w http.ResponseWriter, r *http.Request, n Nature) {
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
		s.refuse(w, p, http.StatusServiceUnavailable, reason)
		return
	}
	defer s.leave()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.refuse(w, p, http.StatusGatewayTimeout, search.ReasonDeadline)
		return
	}
	book := r.URL.Path == search.PathBook
	done := s.work(ctx, n, book)
	<-s.slots
	if !done {
		s.refuse(w, p, http.StatusGatewayTimeout, search.ReasonDeadline)
		return
	}
	s.answer(w, p, n, book)
}

// admit counts a part in, or says why it is refused.
func (s *Searcher) admit(n Nature) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Last = time.Now()
	if n.Drain {
		return search.ReasonDrain
	}
	bears := n.Bears
	if bears == 0 {
		bears = n.Conns
	}
	cold := n.Ramp > 0 && 1+s.served/n.Ramp < n.Slots
	if cold {
		bears = 1 + s.served/n.Ramp
	}
	if s.flight >= bears {
		s.tally.Shed++
		if cold {
			s.tally.Breaks++
		}
		return search.ReasonShed
	}
	s.flight++
	s.tally.Peak = max(s.tally.Peak, s.flight)
	return ""
}

func (s *Searcher) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight--
}

// work spends the time of one part. A booking is not cut short.
func (s *Searcher) work(ctx context.Context, n Nature, book bool) bool {
	s.mu.Lock()
	d := n.Work
	if n.Jitter > 0 {
		d += time.Duration(s.rnd.Int64N(int64(n.Jitter)))
	}
	if n.Stretch > 0 && s.rnd.Float64() < n.Often {
		d *= time.Duration(n.Stretch)
	}
	d *= time.Duration(max(n.Slow, 1))
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

func (s *Searcher) refuse(w http.ResponseWriter, p search.ShardRequest, status int, reason string) {
	s.mu.Lock()
	re := s.echo(p)
	s.mu.Unlock()
	re.Reason = reason
	b, _ := json.Marshal(re)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Searcher) echo(p search.ShardRequest) search.Reply {
	return search.Reply{
		Request:  p.Request,
		Shard:    s.shard,
		Snapshot: query.Snapshot{Layout: s.layout, Version: p.Snapshot.Version},
		StartID:  s.start,
		Oldest:   s.oldest(),
		Newest:   s.newest,
	}
}

func (s *Searcher) answer(w http.ResponseWriter, p search.ShardRequest, n Nature, book bool) {
	s.mu.Lock()
	s.served++
	s.tally.Parts++
	if book {
		s.records[p.Key]++
		s.tally.Booked = append(s.tally.Booked, p.Key)
	}
	re := s.echo(p)
	s.mu.Unlock()
	if re.Snapshot.Version == 0 {
		re.Snapshot.Version = re.Newest
	}
	if !book && (re.Snapshot.Version < re.Oldest || re.Snapshot.Version > re.Newest) {
		s.refuse(w, p, http.StatusConflict, search.ReasonVersion)
		return
	}
	if n.Reset {
		panic(http.ErrAbortHandler)
	}
	s.fill(&re, p, n, book)
	b, _ := json.Marshal(re)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if n.Cut > 0 {
		_, _ = w.Write(b[:min(n.Cut, len(b)-1)])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
}

func (s *Searcher) fill(re *search.Reply, p search.ShardRequest, n Nature, book bool) {
	switch {
	case book:
		re.Result = "booked " + p.Item
	case p.Item != "":
		re.Free = Free(p.Item, re.Snapshot.Version)
	default:
		if n.Wrong {
			re.Snapshot.Version++
		}
		re.Hits = s.docs.Top(re.Snapshot.Version, p.Text, p.Top, p.After, s.ids)
		re.Partial = n.Partial
	}
	if n.Cross {
		re.Request = "another-" + p.Request
	}
}
