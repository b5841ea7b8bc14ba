package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"bronzedoor.dev/bronzedoor/internal/entry"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// caller are the flags of commands that send a request.
type caller struct {
	Address  string `help:"Address of an entry." required:"" env:"BRONZEDOOR_ENTRY"`
	Caller   string `help:"Caller class." required:""`
	ID       string `help:"Identity of the request; made when empty." name:"id"`
	Deadline int    `help:"Milliseconds; 0 leaves it to the selector."`
	JSON     bool   `help:"One JSON object." name:"json"`
}

func (c *caller) client() *query.Client {
	return &query.Client{Address: c.Address}
}

// queryCmd sends a query.
type queryCmd struct {
	caller
	Text    string `arg:"" help:"What to search for."`
	Top     int    `help:"Hits wanted." default:"10"`
	Floor   int    `help:"Least coverage in percent; 0 leaves it to the selector."`
	Layout  int    `help:"Layout of a continued listing."`
	Version uint64 `help:"Index version of a continued listing."`
	After   string `help:"Identity of the last hit of the page before."`
	Score   uint64 `help:"Score of the last hit of the page before."`
}

// Run sends the query and shows the answer with its coverage.
func (c *queryCmd) Run(ctx context.Context, con *console) error {
	req := &query.Request{ID: c.ID, Caller: c.Caller, Text: c.Text, Top: c.Top, Deadline: c.Deadline, Floor: c.Floor}
	if c.Layout > 0 {
		req.Snapshot = &query.Snapshot{Layout: c.Layout, Version: c.Version}
	}
	if c.After != "" {
		req.After = &query.Hit{ID: c.After, Score: c.Score}
	}
	a, err := c.client().Query(ctx, req)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(con.out).Encode(a)
	}
	fmt.Fprintf(con.out, "snapshot %d/%d, coverage %d of %d shards\n", a.Snapshot.Layout, a.Snapshot.Version, a.Coverage.Merged, a.Coverage.Shards)
	for _, m := range a.Coverage.Missed {
		fmt.Fprintf(con.out, "missed shard %d: %s\n", m.Shard, m.Reason)
	}
	w := tabwriter.NewWriter(con.out, 0, 0, 2, ' ', 0)
	for _, h := range a.Hits {
		fmt.Fprintf(w, "%s\t%d\n", h.ID, h.Score)
	}
	return w.Flush()
}

// freeCmd asks whether an item is free.
type freeCmd struct {
	caller
	Item string `arg:"" help:"Item."`
}

// Run sends the check.
func (c *freeCmd) Run(ctx context.Context, con *console) error {
	a, err := c.client().Check(ctx, &query.Check{ID: c.ID, Caller: c.Caller, Item: c.Item, Deadline: c.Deadline})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(con.out).Encode(a)
	}
	fmt.Fprintf(con.out, "free: %t, snapshot %d/%d\n", a.Free, a.Snapshot.Layout, a.Snapshot.Version)
	return nil
}

// bookCmd books an item.
type bookCmd struct {
	caller
	Item string `arg:"" help:"Item."`
	Key  string `help:"Idempotency key; made when empty."`
	Body string `help:"What is booked."`
}

// Run sends the booking once.
func (c *bookCmd) Run(ctx context.Context, con *console) error {
	a, err := c.client().Book(ctx, &query.Booking{ID: c.ID, Caller: c.Caller, Key: c.Key, Item: c.Item, Body: c.Body, Deadline: c.Deadline})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(con.out).Encode(a)
	}
	fmt.Fprintf(con.out, "done: %t, key %s: %s\n", a.Done, a.Key, a.Result)
	return nil
}

// explainCmd shows the record of a query.
type explainCmd struct {
	Address string `help:"Address of the entry that answered." required:"" env:"BRONZEDOOR_ENTRY"`
	ID      string `arg:"" help:"Identity of the request."`
}

// Run shows the record as JSON.
func (c *explainCmd) Run(ctx context.Context, con *console) error {
	var r entry.Record
	client := query.Client{Address: c.Address}
	if err := client.Get(ctx, query.PathExplain+c.ID, &r); err != nil {
		return err
	}
	e := json.NewEncoder(con.out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
