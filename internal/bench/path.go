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
	"bronzedoor.dev/bronzedoor/internal/testbed"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// path compares the system with a bare fan-out to the same searchers.
func path() Experiment {
	return Experiment{
		Name:     "path",
		Help:     "the same load through the system and through a bare fan-out",
		Settings: []Setting{{"daemons", "6"}, {"rate", "100"}, {"seconds", "4"}, {"warm", "3"}},
		Run:      runPath,
	}
}

func runPath(ctx context.Context, e *Env) error {
	sys, err := startSystem(ctx, e.Seed, e.int("daemons"), nil, plannerSpec())
	if err != nil {
		return err
	}
	defer sys.Close()
	sys.Warm()
	l := newLoad(sys, "kpakpo", e.value("rate"), e.Seed)
	l.Run(ctx, e.seconds("warm"))
	bare, err := newBareEntry(sys)
	if err != nil {
		return err
	}
	defer bare.close()
	baseline := newLoad(sys, "kpakpo", e.value("rate"), e.Seed+1)
	baseline.NextNode = bare.entry
	baseline.Run(ctx, e.seconds("warm"))

	// The two alternate, so that a change in the machine's speed favors neither.
	const turns = 4
	l.Reset()
	baseline.Reset()
	var systemCPU, bareCPU time.Duration
	for range turns {
		bareCPU += cpuTime(func() { baseline.Run(ctx, e.seconds("seconds")/turns) })
		systemCPU += cpuTime(func() { l.Run(ctx, e.seconds("seconds")/turns) })
	}
	r := e.Report
	for _, q := range []float64{0.5, 0.99} {
		r.addFigure(fmt.Sprintf("system p%g", q*100), ms(l.Quantile(q)), "ms")
		r.addFigure(fmt.Sprintf("bare p%g", q*100), ms(baseline.Quantile(q)), "ms")
	}
	shardRequests := float64(l.Stats().Sent * sys.Specs[0].Shards)
	r.addFigure("system processor time for each part", systemCPU.Seconds()*1e6/shardRequests, "us")
	r.addFigure("bare processor time for each part", bareCPU.Seconds()*1e6/shardRequests, "us")
	r.checkAnswers("system", l.Stats())
	r.checkAnswers("bare", baseline.Stats())
	r.checkAtMost("p50 ratio", ms(l.Quantile(0.5))/ms(baseline.Quantile(0.5)), 1.2, "")
	r.checkAtMost("p99 ratio", ms(l.Quantile(0.99))/ms(baseline.Quantile(0.99)), 1.2, "")
	return nil
}

// cpuTime returns the processor time that the whole process uses while f runs.
func cpuTime(f func()) time.Duration {
	before := cpuUsage()
	f()
	return cpuUsage() - before
}

// cpuUsage returns the processor time that the process has used, or 0 if unknown.
func cpuUsage() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A bareEntry is the baseline: it sends each query over net/http to one replica of
// every shard, picked by the clock, without limits, hedges or retries.
type bareEntry struct {
	sys    *testbed.System
	shards [][]*testbed.Upstream
	client *http.Client
	server *http.Server
	node   *testbed.Node
	wg     sync.WaitGroup
}

func newBareEntry(sys *testbed.System) (*bareEntry, error) {
	b := &bareEntry{sys: sys, shards: make([][]*testbed.Upstream, sys.Specs[0].Shards)}
	for _, h := range sys.Upstreams {
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
	b.node = &testbed.Node{Entry: l.Addr().String()}
	b.wg.Add(1)
	go (&bareServer{entry: b, listener: l}).run()
	return b, nil
}

// A bareServer runs the HTTP server of a bareEntry.
type bareServer struct {
	entry    *bareEntry
	listener net.Listener
}

func (s *bareServer) run() {
	defer s.entry.wg.Done()
	_ = s.entry.server.Serve(s.listener)
}

func (b *bareEntry) entry() *testbed.Node {
	return b.node
}

func (b *bareEntry) close() {
	_ = b.server.Close()
	b.wg.Wait()
	b.client.CloseIdleConnections()
}

func (b *bareEntry) handle(w http.ResponseWriter, r *http.Request) {
	var req query.Request
	if readJSON(r.Body, &req) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	done := make(chan *bareRequest, len(b.shards))
	for i, replicas := range b.shards {
		h := replicas[int(time.Now().UnixNano()/1000)%len(replicas)]
		p := &bareRequest{client: b.client, host: h, request: search.ShardRequest{
			Request: req.ID, Service: h.Service, Shard: i, Text: req.Text, Top: req.Top,
			Snapshot: query.Snapshot{Layout: 1, Version: 1},
		}}
		go p.run(r.Context(), done)
	}
	m := merge.New(len(b.shards), req.Top)
	for range b.shards {
		p := <-done
		if p.err == nil {
			m.Add([]int{p.request.Shard}, p.reply.Hits)
		}
	}
	writeJSON(w, &query.Answer{
		ID:       req.ID,
		Snapshot: query.Snapshot{Layout: 1, Version: 1},
		Coverage: m.Coverage("failed"),
		Hits:     m.Hits(),
	})
}

// A bareRequest is one shard request of a bareEntry.
type bareRequest struct {
	client  *http.Client
	host    *testbed.Upstream
	request search.ShardRequest
	reply   search.Reply
	err     error
}

func (p *bareRequest) run(ctx context.Context, done chan<- *bareRequest) {
	p.err = postJSON(ctx, p.client, "http://"+p.host.Address+search.PathShard, &p.request, &p.reply)
	done <- p
}
