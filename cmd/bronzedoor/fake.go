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

// fakeCmd runs stand-ins.
type fakeCmd struct {
	Store    fakeStoreCmd    `cmd:"" help:"An object API."`
	VMs      fakeVMsCmd      `cmd:"" name:"vms" help:"A VM list."`
	Searcher fakeSearcherCmd `cmd:"" help:"An upstream that serves one shard."`
}

// serve serves a handler until ctx ends.
func serve(ctx context.Context, s *http.Server) error {
	if err := object.ValidAddress(s.Addr); err != nil {
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

type fakeStoreCmd struct {
	Address string        `help:"IP number and port." default:"127.0.0.1:7901"`
	Seed    uint64        `help:"Seed of the losses." default:"1"`
	Lose    float64       `help:"Share of writes whose answer is lost."`
	Delay   time.Duration `help:"Delay of each answer."`
}

// Run serves the object API.
func (c *fakeStoreCmd) Run(ctx context.Context) error {
	s := fakes.NewStore(c.Seed)
	s.SetFaults(fakes.StoreFaults{LoseReplies: c.Lose, Delay: c.Delay})
	return serve(ctx, &http.Server{Addr: c.Address, Handler: s})
}

type fakeVMsCmd struct {
	Address string   `help:"IP number and port." default:"127.0.0.1:7902"`
	VM      []string `help:"A VM: peer address,domain,start." name:"vm" sep:"none"`
}

// Run serves the VM list.
func (c *fakeVMsCmd) Run(ctx context.Context) error {
	var m fakes.VMList
	for _, v := range c.VM {
		f := strings.Split(v, ",")
		if len(f) != 3 {
			return fmt.Errorf("--vm %q is not ADDRESS,DOMAIN,START", v)
		}
		m.Set(store.VM{Address: f[0], Domain: f[1], Start: f[2], State: "live"})
	}
	return serve(ctx, &http.Server{Addr: c.Address, Handler: &m})
}

type fakeSearcherCmd struct {
	Address string        `help:"IP number and port." required:""`
	Service string        `help:"Service." required:""`
	Layout  int           `help:"Layout." default:"1"`
	Shard   int           `help:"Shard." default:"0"`
	Shards  int           `help:"Shards of the layout." default:"1"`
	Docs    int           `help:"Documents of the service." default:"1000"`
	Slots   int           `help:"Parts served at a time." default:"4"`
	Conns   int           `help:"Connections accepted." default:"35"`
	Work    time.Duration `help:"Time to serve a part." default:"5ms"`
	Dial    time.Duration `help:"Time until a new connection answers." default:"6ms"`
	Ramp    int           `help:"Parts served for each further part that a cold searcher bears." default:"10"`
	Seed    uint64        `help:"Seed." default:"1"`
}

// Run serves one shard.
func (c *fakeSearcherCmd) Run(ctx context.Context) error {
	s := fakes.NewSearcher(
		fakes.ShardSpec{Docs: fakes.Documents{Service: c.Service, Count: c.Docs}, Layout: c.Layout, Shard: c.Shard, Shards: c.Shards},
		fakes.SearcherBehavior{Slots: c.Slots, MaxConns: c.Conns, ServiceTime: c.Work, DialDelay: c.Dial, RampStep: c.Ramp},
		c.Seed,
	)
	return serve(ctx, &http.Server{Addr: c.Address, Handler: s, ConnState: s.ConnState, ConnContext: s.ConnContext})
}
