package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"bronzedoor.dev/bronzedoor/internal/merge"
	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/internal/world"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// path compares the system with a bare fan-out to the same searchers.
func path() Experiment {
	return Experiment{
		Name:   "path",
		Help:   "the same load through the system and through a bare fan-out",
		Values: []Pair{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}, {"warm", "3"}},
		Run:    runPath,
	}
}

func runPath(ctx context.Context, e *Env) error {
	w, err := build(ctx, e.Seed, e.int("daemons"), nil, planner())
	if err != nil {
		return err
	}
	defer w.Close()
	w.Warm()
	l := load(w, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("warm"))
	bare, err := newBare(w)
	if err != nil {
		return err
	}
	defer bare.close()
	base := load(w, "kpakpo", e.value("rate"), e.Seed+1)
	base.NextNode = bare.entry
	base.Run(ctx, e.seconds("warm"))

	// The two take turns, so that a machine that changes its speed favours neither.
	const turns = 4
	l.Reset()
	base.Reset()
	var ours, theirs time.Duration
	for range turns {
		theirs += processor(func() { base.Run(ctx, e.seconds("seconds")/turns) })
		ours += processor(func() { l.Run(ctx, e.seconds("seconds")/turns) })
	}
	r := e.Report
	for _, q := range []float64{0.5, 0.99} {
		r.figure(fmt.Sprintf("system p%g", q*100), ms(l.Quantile(q)), "ms")
		r.figure(fmt.Sprintf("bare p%g", q*100), ms(base.Quantile(q)), "ms")
	}
	parts := float64(l.Stats().Sent * w.Specs[0].Shards)
	r.figure("system processor time for each part", ours.Seconds()*1e6/parts, "us")
	r.figure("bare processor time for each part", theirs.Seconds()*1e6/parts, "us")
	r.promises("system", l.Stats())
	r.promises("bare", base.Stats())
	r.most("p50 ratio", ms(l.Quantile(0.5))/ms(base.Quantile(0.5)), 1.2, "")
	r.most("p99 ratio", ms(l.Quantile(0.99))/ms(base.Quantile(0.99)), 1.2, "")
	return nil
}

// processor returns the processor time that f takes, with all that runs beside it.
func processor(f func()) time.Duration {
	before := usage()
	f()
	return usage() - before
}

func usage() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A bareEntry is the base line: a fan-out over net/http, to one replica of each
// shard in turn, without limits, hedges or retries.
type bareEntry struct {
	world  *world.System
	shards [][]*world.Upstream
	client *http.Client
	server *http.Server
	node   *world.Node
	work   sync.WaitGroup
}

func newBare(w *world.System) (*bareEntry, error) {
	b := &bareEntry{world: w, shards: make([][]*world.Upstream, w.Specs[0].Shards)}
	for _, h := range w.Upstreams {
		b.shards[h.Shard] = append(b.shards[h.Shard], h)
	}
	b.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+query.PathQuery, b.handle)
	b.server = &http.Server{Handler: mux}
	b.node = &world.Node{Entry: l.Addr().String()}
	b.work.Add(1)
	go (&bareServer{entry: b, listener: l}).run()
	return b, nil
}

// A bareServer serves the base line.
type bareServer struct {
	entry    *bareEntry
	listener net.Listener
}

func (s *bareServer) run() {
	defer s.entry.work.Done()
	_ = s.entry.server.Serve(s.listener)
}

func (b *bareEntry) entry() *world.Node {
	return b.node
}

func (b *bareEntry) close() {
	_ = b.server.Close()
	b.work.Wait()
	b.client.CloseIdleConnections()
}

func (b *bareEntry) handle(w http.ResponseWriter, r *http.Request) {
	var req query.Request
	if readJSON(r.Body, &req) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	done := make(chan *barePart, len(b.shards))
	for i, replicas := range b.shards {
		h := replicas[int(time.Now().UnixNano()/1000)%len(replicas)]
		p := &barePart{client: b.client, host: h, part: search.ShardRequest{
			Request: req.ID, Service: h.Service, Shard: i, Text: req.Text, Top: req.Top,
			Snapshot: query.Snapshot{Layout: 1, Version: 1},
		}}
		go p.run(r.Context(), done)
	}
	m := merge.New(len(b.shards), req.Top)
	for range b.shards {
		p := <-done
		if p.err == nil {
			m.Add([]int{p.part.Shard}, p.reply.Hits)
		}
	}
	writeJSON(w, &query.Answer{
		ID:       req.ID,
		Snapshot: query.Snapshot{Layout: 1, Version: 1},
		Coverage: m.Coverage("failed"),
		Hits:     m.Hits(),
	})
}

// A barePart is one request of the base line.
type barePart struct {
	client *http.Client
	host   *world.Upstream
	part   search.ShardRequest
	reply  search.Reply
	err    error
}

func (p *barePart) run(ctx context.Context, done chan<- *barePart) {
	p.err = postJSON(ctx, p.client, "http://"+p.host.Address+search.PathShard, &p.part, &p.reply)
	done <- p
}
