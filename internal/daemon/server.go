package daemon

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/conf"
	"bronzedoor.dev/bronzedoor/internal/hold"
	"bronzedoor.dev/bronzedoor/internal/kern"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// headerWait bounds the time until a peer's request line and headers are read.
const headerWait = 5 * time.Second

// A remote is another daemon.
type remote struct {
	cells wire.Cells
	fleet wire.Fleet
}

// remote returns the daemon at an address.
func (d *Daemon) remote(address string) *remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.remotes[address]
	if r == nil {
		base := "http://" + address
		if d.files != nil {
			base = "https://" + address
		}
		r = &remote{
			cells: wire.NewCellsProtobufClient(base, d.client),
			fleet: wire.NewFleetProtobufClient(base, d.client),
		}
		d.remotes[address] = r
	}
	return r
}

// peerClient returns the client for calls to other daemons: many calls share
// one connection.
func (d *Daemon) peerClient() *http.Client {
	t := &http.Transport{DialContext: d.Net.Dial, DisableCompression: true}
	t.Protocols = new(http.Protocols)
	if d.files != nil {
		t.TLSClientConfig = d.files.ClientConfig()
		t.Protocols.SetHTTP2(true)
	} else {
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: &single{next: t}}
}

// A single sends each request once: without a copy of the body, the transport
// can't send it again on another connection.
type single struct {
	next http.RoundTripper
}

// RoundTrip sends the request once.
func (s *single) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.GetBody = nil
	return s.next.RoundTrip(r)
}

// CloseIdleConnections closes the connections that carry no request.
func (s *single) CloseIdleConnections() {
	if c, ok := s.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// A peerServer serves other daemons.
type peerServer struct {
	daemon   *Daemon
	listener net.Listener
	server   http.Server
	loops    sync.WaitGroup
}

// Start starts serving.
func (p *peerServer) Start(context.Context) error {
	d := p.daemon
	r, err := kern.Lookup[*relay.Relay](&d.kernel, serviceRelay)
	if err != nil {
		return err
	}
	k, err := kern.Lookup[*hold.Manager](&d.kernel, serviceHold)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	cells := wire.NewCellsServer(r)
	fleet := wire.NewFleetServer(&fleetService{daemon: d, relay: r, keeper: k})
	mux.Handle(cells.PathPrefix(), cells)
	mux.Handle(fleet.PathPrefix(), fleet)
	mux.HandleFunc("GET "+query.PathStatus, d.handleStatus)
	p.server = http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerWait,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		Protocols:         new(http.Protocols),
	}
	p.server.Protocols.SetHTTP1(true)
	p.server.Protocols.SetHTTP2(true)
	p.server.Protocols.SetUnencryptedHTTP2(true)
	if d.files != nil {
		p.server.TLSConfig = d.files.PeerServerConfig()
	}
	p.loops.Add(1)
	go p.run()
	return nil
}

// run accepts connections until Stop.
func (p *peerServer) run() {
	defer p.loops.Done()
	if p.server.TLSConfig != nil {
		_ = p.server.ServeTLS(p.listener, "", "")
		return
	}
	_ = p.server.Serve(p.listener)
}

// Stop returns when all calls are answered, or when ctx ends.
func (p *peerServer) Stop(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	p.loops.Wait()
	return err
}

func (p *peerServer) close() {
	_ = p.server.Close()
}

// fleetService serves wire.Fleet.
type fleetService struct {
	daemon *Daemon
	relay  *relay.Relay
	keeper *hold.Manager
}

// Changes returns configuration objects after a revision.
func (f *fleetService) Changes(_ context.Context, req *wire.ChangesRequest) (*wire.ChangesReply, error) {
	objects, rev, more := f.daemon.book.ChangesSince(req.Since, conf.PageSize)
	out := &wire.ChangesReply{Revision: rev, More: more}
	for _, o := range objects {
		out.Objects = append(out.Objects, &wire.Object{
			Kind:     string(o.Kind),
			Name:     o.Name,
			Revision: o.Revision,
			Gone:     o.Deleted,
			Body:     o.Body,
		})
	}
	return out, nil
}

// Give passes a gift to the keeper.
func (f *fleetService) Give(ctx context.Context, req *wire.GiveRequest) (*wire.GiveReply, error) {
	return f.keeper.Give(ctx, req)
}

// Fence passes a fence to the keeper.
func (f *fleetService) Fence(ctx context.Context, req *wire.FenceRequest) (*wire.FenceReply, error) {
	return f.keeper.Fence(ctx, req)
}

// Warm passes a word on warm upstreams to the relay.
func (f *fleetService) Warm(_ context.Context, req *wire.WarmRequest) (*wire.WarmReply, error) {
	f.relay.RecordWarm(req.Warm)
	return &wire.WarmReply{}, nil
}

// Members returns what this daemon knows of the fleet.
func (f *fleetService) Members(context.Context, *wire.MembersRequest) (*wire.MembersReply, error) {
	return &wire.MembersReply{
		Identity: f.daemon.identity,
		Members:  peer.Encode(f.daemon.beater.Members()),
		Revision: f.daemon.book.Revision(),
	}, nil
}
