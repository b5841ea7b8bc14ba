package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fakes"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// fakeCmd runs fakes of the platform's services and of upstreams.
type fakeCmd struct {
	Store    fakeStoreCmd    `cmd:"" help:"Run a fake object API."`
	VMs      fakeVMsCmd      `cmd:"" name:"vms" help:"Run a fake VM list."`
	Searcher fakeSearcherCmd `cmd:"" help:"Run a fake upstream that serves one shard."`
}

// serve serves HTTP at s.Addr, an IP number and port, until ctx ends. It then
// closes the server, open connections included, and returns nil.
func serve(ctx context.Context, s *http.Server) error {
	if err := object.ValidateAddress(s.Addr); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// fakeStoreCmd runs a fake object API.
type fakeStoreCmd struct {
	Address string        `help:"Address to listen on, IP:PORT." default:"127.0.0.1:7901"`
	Seed    uint64        `help:"Seed that selects the writes whose response is lost." default:"1"`
	Lose    float64       `help:"Share of writes, from 0 to 1, that are done but whose response is lost."`
	Delay   time.Duration `help:"Delay of each response."`
}

// Run serves the object API until ctx ends.
func (c *fakeStoreCmd) Run(ctx context.Context) error {
	s := fakes.NewStore(c.Seed)
	s.SetFaults(fakes.StoreFaults{LoseReplies: c.Lose, Delay: c.Delay})
	return serve(ctx, &http.Server{Addr: c.Address, Handler: s})
}

// fakeVMsCmd runs a fake VM list.
type fakeVMsCmd struct {
	Address string   `help:"Address to listen on, IP:PORT." default:"127.0.0.1:7902"`
	VM      []string `help:"VM to list, as ADDRESS,DOMAIN,START: its address for peers, its failure domain and the ID of its start. May be repeated." name:"vm" sep:"none"`
}

// Run serves the VM list until ctx ends. All VMs are listed as live.
func (c *fakeVMsCmd) Run(ctx context.Context) error {
	var m fakes.VMList
	for _, v := range c.VM {
		f := strings.Split(v, ",")
		if len(f) != 3 {
			return fmt.Errorf("--vm %q is not ADDRESS,DOMAIN,START", v)
		}
		m.Set(store.VM{Address: f[0], Domain: f[1], StartID: f[2], State: "live"})
	}
	return serve(ctx, &http.Server{Addr: c.Address, Handler: &m})
}

// fakeSearcherCmd runs a fake upstream.
type fakeSearcherCmd struct {
	Address string        `help:"Address to listen on, IP:PORT." required:""`
	Service string        `help:"Service name." required:""`
	Layout  int           `help:"Layout number." default:"1"`
	Shard   int           `help:"Shard to serve, from 0." default:"0"`
	Shards  int           `help:"Number of shards of the layout." default:"1"`
	Docs    int           `help:"Number of documents of the service, over all shards." default:"1000"`
	Slots   int           `help:"Maximum number of shard requests served at a time." default:"4"`
	Conns   int           `help:"Maximum number of open connections." default:"35"`
	Work    time.Duration `help:"Time to serve a shard request." default:"5ms"`
	Dial    time.Duration `help:"Time until a new connection answers." default:"6ms"`
	Ramp    int           `help:"Number of shard requests served for each further one in flight that a cold upstream can take." default:"10"`
	Seed    uint64        `help:"Seed of the random numbers." default:"1"`
}

// Run serves one shard until ctx ends.
func (c *fakeSearcherCmd) Run(ctx context.Context) error {
	s := fakes.NewSearcher(
		fakes.ShardSpec{Docs: fakes.Documents{Service: c.Service, Count: c.Docs}, Layout: c.Layout, Shard: c.Shard, Shards: c.Shards},
		fakes.SearcherBehavior{Slots: c.Slots, MaxConns: c.Conns, ServiceTime: c.Work, DialDelay: c.Dial, RampStep: c.Ramp},
		c.Seed,
	)
	return serve(ctx, &http.Server{Addr: c.Address, Handler: s, ConnState: s.ConnState, ConnContext: s.ConnContext})
}
