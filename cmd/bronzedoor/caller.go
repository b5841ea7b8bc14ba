package main

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"bronzedoor.dev/bronzedoor/internal/entry"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// requestFlags are the flags shared by the commands that send a request.
type requestFlags struct {
	Address  string `help:"Address of a daemon's entry for callers, IP:PORT." required:"" env:"BRONZEDOOR_ENTRY"`
	Caller   string `help:"Caller class." required:""`
	ID       string `help:"Request ID; generated when empty." name:"id"`
	Deadline int    `help:"Deadline in milliseconds, at most the selector's; 0 uses the selector's."`
	JSON     bool   `help:"Print the answer as one JSON object." name:"json"`
}

func (c *requestFlags) client() *query.Client {
	return &query.Client{Address: c.Address}
}

// queryCmd sends a query.
type queryCmd struct {
	requestFlags
	Text    string `arg:"" help:"What to search for."`
	Top     int    `help:"Maximum number of hits." default:"10"`
	Floor   int    `help:"Minimum coverage in percent; the selector's applies if it is higher."`
	Layout  int    `help:"For a further page: layout of the first page's snapshot."`
	Version uint64 `help:"For a further page: index version of the first page's snapshot."`
	After   string `help:"For a further page: ID of the last hit of the previous page."`
	Score   uint64 `help:"For a further page: score of the last hit of the previous page."`
}

// Run sends the query and prints the answer with its coverage.
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
	requestFlags
	Item string `arg:"" help:"Item to check."`
}

// Run sends the check and prints the result.
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
	requestFlags
	Item string `arg:"" help:"Item to book."`
	Key  string `help:"Idempotency key; generated when empty."`
	Body string `help:"Booking data that is passed to the upstream."`
}

// Run sends the booking once, without retries, and prints the outcome.
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

// explainCmd prints the record that a daemon keeps of a query.
type explainCmd struct {
	Address string `help:"Address of the daemon that answered the query, IP:PORT." required:"" env:"BRONZEDOOR_ENTRY"`
	ID      string `arg:"" help:"Request ID."`
}

// Run prints the record as indented JSON.
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
