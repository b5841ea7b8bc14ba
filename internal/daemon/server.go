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
	"bronzedoor.dev/bronzedoor/internal/kernel"
	"bronzedoor.dev/bronzedoor/internal/owner"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/relay"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// headerTimeout bounds the time to read a peer's request line and headers.
const headerTimeout = 5 * time.Second

// A remote holds the RPC clients of another daemon.
type remote struct {
	cells wire.Cells
	fleet wire.Fleet
}

// remote returns the RPC clients of the daemon at an address. It makes them on
// first use.
func (d *Daemon) remote(address string) *remote {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.remotes[address]
	if r == nil {
		base := "http://" + address
		if d.certs != nil {
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

// peerClient returns the client for calls to other daemons. It uses HTTP/2, so that
// many calls share one connection.
func (d *Daemon) peerClient() *http.Client {
	t := &http.Transport{DialContext: d.Net.Dial, DisableCompression: true}
	t.Protocols = new(http.Protocols)
	if d.certs != nil {
		t.TLSClientConfig = d.certs.ClientConfig()
		t.Protocols.SetHTTP2(true)
	} else {
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: &noRetry{next: t}}
}

// A noRetry is a transport that sends each request at most once: it clears GetBody,
// and without a copy of the body the next transport can't send the request again
// on another connection.
type noRetry struct {
	next http.RoundTripper
}

// RoundTrip sends the request, without a retry on another connection.
func (t *noRetry) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.GetBody = nil
	return t.next.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t *noRetry) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// A peerServer serves the RPCs and the status path to other daemons.
type peerServer struct {
	daemon   *Daemon
	listener net.Listener
	server   http.Server
	wg       sync.WaitGroup
}

// Start starts serving. It returns an error if a service is missing.
func (p *peerServer) Start(context.Context) error {
	d := p.daemon
	r, err := kernel.Lookup[*relay.Relay](&d.kernel, serviceRelay)
	if err != nil {
		return err
	}
	m, err := kernel.Lookup[*owner.Manager](&d.kernel, serviceHold)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	cells := wire.NewCellsServer(r)
	fleet := wire.NewFleetServer(&fleetService{daemon: d, relay: r, blockManager: m})
	mux.Handle(cells.PathPrefix(), cells)
	mux.Handle(fleet.PathPrefix(), fleet)
	mux.HandleFunc("GET "+query.PathStatus, d.handleStatus)
	p.server = http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		Protocols:         new(http.Protocols),
	}
	p.server.Protocols.SetHTTP1(true)
	p.server.Protocols.SetHTTP2(true)
	p.server.Protocols.SetUnencryptedHTTP2(true)
	if d.certs != nil {
		p.server.TLSConfig = d.certs.PeerServerConfig()
	}
	p.wg.Add(1)
	go p.run()
	return nil
}

// run accepts connections until Stop or close.
func (p *peerServer) run() {
	defer p.wg.Done()
	if p.server.TLSConfig != nil {
		_ = p.server.ServeTLS(p.listener, "", "")
		return
	}
	_ = p.server.Serve(p.listener)
}

// Stop stops accepting calls and waits until those in flight are answered. If ctx
// ends first, it returns ctx.Err().
func (p *peerServer) Stop(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	p.wg.Wait()
	return err
}

// close closes the listener and all connections at once.
func (p *peerServer) close() {
	_ = p.server.Close()
}

// fleetService serves wire.Fleet.
type fleetService struct {
	daemon       *Daemon
	relay        *relay.Relay
	blockManager *owner.Manager
}

// Changes returns a page of the configuration objects that changed after a
// revision.
func (f *fleetService) Changes(_ context.Context, req *wire.ChangesRequest) (*wire.ChangesReply, error) {
	objects, rev, more := f.daemon.config.ChangesSince(req.Since, conf.PageSize)
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

// Give passes a transferred block to the block manager.
func (f *fleetService) Give(ctx context.Context, req *wire.GiveRequest) (*wire.GiveReply, error) {
	return f.blockManager.Give(ctx, req)
}

// Fence passes a fence for a block to the block manager.
func (f *fleetService) Fence(ctx context.Context, req *wire.FenceRequest) (*wire.FenceReply, error) {
	return f.blockManager.Fence(ctx, req)
}

// Warm passes a report of warm upstreams to the relay.
func (f *fleetService) Warm(_ context.Context, req *wire.WarmRequest) (*wire.WarmReply, error) {
	f.relay.RecordWarm(req.Warm)
	return &wire.WarmReply{}, nil
}

// Members returns this daemon's member table, its identity and its configuration
// revision.
func (f *fleetService) Members(context.Context, *wire.MembersRequest) (*wire.MembersReply, error) {
	return &wire.MembersReply{
		Identity: f.daemon.identity,
		Members:  peer.Encode(f.daemon.detector.Members()),
		Revision: f.daemon.config.Revision(),
	}, nil
}
