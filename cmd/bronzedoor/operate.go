package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"bronzedoor.dev/bronzedoor/internal/admin"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// storeTimeout limits one call to the object API.
const storeTimeout = 5 * time.Second

// objectFlags are the flags shared by the commands that read or change objects.
type objectFlags struct {
	Objects string        `help:"Address of the object API, IP:PORT." required:"" env:"BRONZEDOOR_OBJECTS"`
	Wait    string        `help:"Address of a daemon to poll until the change is in force on every live daemon." placeholder:"ADDRESS"`
	Timeout time.Duration `help:"Time limit of the command, including retries and waiting." default:"10s"`
}

func (p *objectFlags) editor() *admin.Editor {
	return &admin.Editor{Store: &store.Client{ObjectsAddr: p.Objects, HTTP: http.DefaultClient, Timeout: storeTimeout}}
}

// finish prints the revision of a change and, with --wait, waits until it is in
// force. A non-nil err is returned as it is.
func (p *objectFlags) finish(ctx context.Context, con *console, what string, rev uint64, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintf(con.out, "%s: revision %d\n", what, rev)
	if p.Wait == "" {
		return nil
	}
	return waitInForce(ctx, con, p.Wait, rev, false)
}

// waitInForce waits until every live daemon has applied revision rev and, if
// ready is set, serves every service. When ctx ends before that, it prints the
// daemons that lag, with the reasons, and returns errNotInForce.
func waitInForce(ctx context.Context, con *console, address string, rev uint64, ready bool) error {
	w := &admin.StatusClient{HTTP: http.DefaultClient}
	lags, err := w.Wait(ctx, address, rev, ready)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotInForce, err)
	}
	for _, l := range lags {
		fmt.Fprintf(con.err, "%s: %s\n", l.Identity, l.Reason)
	}
	if len(lags) > 0 {
		return errNotInForce
	}
	fmt.Fprintf(con.out, "in force everywhere\n")
	return nil
}

// withTimeout returns ctx limited by --timeout.
func (p *objectFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Timeout)
}

// applyCmd writes the objects in files to the object API.
type applyCmd struct {
	objectFlags
	Files []string `arg:"" help:"Files of labels, selectors and layouts." type:"existingfile"`
}

// Run parses and validates all files before it writes the first object.
func (c *applyCmd) Run(ctx context.Context, con *console) error {
	var objects []object.Object
	for _, name := range c.Files {
		b, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		f, err := admin.ParseFile(name, string(b))
		if err != nil {
			return err
		}
		objects = append(objects, f.Objects()...)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var last uint64
	for _, o := range objects {
		rev, err := admin.Edit(ctx, c.editor(), o.Kind, o.Name, func(body *json.RawMessage) { *body = o.Body })
		if err != nil {
			return fmt.Errorf("%s %s: %w", o.Kind, o.Name, err)
		}
		last = max(last, rev)
	}
	return c.finish(ctx, con, fmt.Sprintf("%d objects", len(objects)), last, nil)
}

// labelCmd changes or lists labels.
type labelCmd struct {
	Set  labelSetCmd `cmd:"" help:"Set labels of a target; an empty value removes a label."`
	Drop dropCmd     `cmd:"" help:"Remove all labels of a target."`
	List listCmd     `cmd:"" help:"List labels."`
}

type labelSetCmd struct {
	objectFlags
	Target string   `arg:"" help:"upstream/IP:PORT, domain/NAME or vm/IP:PORT."`
	Pairs  []string `arg:"" help:"KEY=VALUE; state=out takes the target out of rotation, state=in puts it back."`
}

// Run sets the labels and leaves the target's other labels as they are.
func (c *labelSetCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	rev, err := admin.Edit(ctx, c.editor(), object.KindLabel, c.Target, func(l *object.Label) {
		l.Target = c.Target
		for _, p := range admin.ParsePairs(c.Pairs) {
			l.Set(p.Key, p.Value)
		}
	})
	return c.finish(ctx, con, "label "+c.Target, rev, err)
}

// dropCmd removes an object of one kind.
type dropCmd struct {
	objectFlags
	Name string `arg:"" help:"Name of the object."`
	kind object.Kind
}

// Run removes the object.
func (c *dropCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	rev, err := c.editor().Remove(ctx, c.kind, c.Name)
	return c.finish(ctx, con, string(c.kind)+" "+c.Name, rev, err)
}

// listCmd lists the objects of one kind.
type listCmd struct {
	objectFlags
	JSON bool `help:"Print one JSON object per line." name:"json"`
	kind object.Kind
}

// Run prints each object with its revision and name, or only the JSON bodies.
func (c *listCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	objects, err := c.editor().List(ctx, c.kind)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(con.out, 0, 0, 2, ' ', 0)
	for _, o := range objects {
		if c.JSON {
			fmt.Fprintf(con.out, "%s\n", o.Body)
			continue
		}
		fmt.Fprintf(w, "%d\t%s\t%s\n", o.Revision, o.Name, summary(o))
	}
	return w.Flush()
}

// summary returns an object's body on one line: KEY=VALUE pairs for labels, JSON
// for other kinds.
func summary(o object.Object) string {
	if o.Kind != object.KindLabel {
		return string(o.Body)
	}
	var l object.Label
	if err := object.Decode(o.Body, &l); err != nil {
		return err.Error()
	}
	pairs := make([]string, 0, len(l.Pairs))
	for _, p := range l.Pairs {
		pairs = append(pairs, p.Key+"="+p.Value)
	}
	return strings.Join(pairs, " ")
}

// AfterApply sets the kind of object that the subcommands work on. kong calls
// it before Run.
func (c *labelCmd) AfterApply() error {
	c.Drop.kind, c.List.kind = object.KindLabel, object.KindLabel
	return nil
}

// selectorCmd changes or lists selectors.
type selectorCmd struct {
	Set  selectorSetCmd `cmd:"" help:"Set a caller's selector."`
	Drop dropCmd        `cmd:"" help:"Remove a caller's selector."`
	List listCmd        `cmd:"" help:"List selectors."`
}

// AfterApply sets the kind of object that the subcommands work on.
func (c *selectorCmd) AfterApply() error {
	c.Drop.kind, c.List.kind = object.KindSelector, object.KindSelector
	return nil
}

// selectorSetCmd writes a selector, which replaces the caller's previous one.
type selectorSetCmd struct {
	objectFlags
	Caller   string   `arg:"" help:"Caller class."`
	Service  string   `help:"Service that the caller's queries go to." required:""`
	Pick     []string `help:"Labels that an upstream must have, KEY=VALUE."`
	Deadline int      `help:"Deadline of the caller's requests in milliseconds; a request may ask for less." default:"140"`
	Early    int      `help:"Milliseconds after which a query is answered as soon as its coverage reaches the floor; 0 waits for the deadline." default:"0"`
	Floor    int      `help:"Minimum coverage in percent." default:"0"`
	Hedge    int      `help:"Budget for hedges and retries, in percent of the shard requests." default:"5"`
	Tries    int      `help:"Maximum number of attempts per shard." default:"3"`
	Queue    int      `help:"Maximum number of waiting requests per daemon; 0 for the default."`
	Flight   int      `help:"Maximum number of requests in flight per daemon; 0 for the default."`
}

// Run writes the selector.
func (c *selectorSetCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	rev, err := admin.Edit(ctx, c.editor(), object.KindSelector, c.Caller, func(s *object.Selector) {
		*s = object.Selector{
			Caller: c.Caller, Service: c.Service, MatchLabels: admin.ParsePairs(c.Pick), DeadlineMs: c.Deadline, EarlyMs: c.Early,
			MinCoverage: c.Floor, HedgePercent: c.Hedge, MaxAttempts: c.Tries, MaxQueued: c.Queue, MaxInFlight: c.Flight,
		}
	})
	return c.finish(ctx, con, "selector "+c.Caller, rev, err)
}

// layoutCmd changes or lists layouts.
type layoutCmd struct {
	Set  layoutSetCmd `cmd:"" help:"Set a layout: how a service's data is partitioned into shards."`
	Drop dropCmd      `cmd:"" help:"Remove a layout, SERVICE.NUMBER."`
	List listCmd      `cmd:"" help:"List layouts."`
}

// AfterApply sets the kind of object that the subcommands work on.
func (c *layoutCmd) AfterApply() error {
	c.Drop.kind, c.List.kind = object.KindLayout, object.KindLayout
	return nil
}

// layoutSetCmd writes a layout.
type layoutSetCmd struct {
	objectFlags
	Service string `arg:"" help:"Service name."`
	Number  int    `arg:"" help:"Layout number; a repartitioned service uses the next number."`
	Shards  int    `help:"Number of shards." required:""`
	Cell    int    `help:"Number of shards in one cell, a group of shards that share permits." default:"16"`
	Blocks  int    `help:"Number of blocks that the permits of a cell are split into." default:"3"`
}

// Run writes the layout.
func (c *layoutSetCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	name := object.LayoutName(c.Service, c.Number)
	rev, err := admin.Edit(ctx, c.editor(), object.KindLayout, name, func(l *object.Layout) {
		*l = object.Layout{Service: c.Service, Number: c.Number, Shards: c.Shards, Cell: c.Cell, Blocks: c.Blocks}
	})
	return c.finish(ctx, con, "layout "+name, rev, err)
}

// statusCmd prints a daemon's view of the fleet, or waits for the fleet.
type statusCmd struct {
	Address string        `arg:"" help:"Address of a daemon, for callers or for peers, IP:PORT."`
	Wait    uint64        `help:"Wait until every live daemon has this revision in force." placeholder:"REV"`
	Ready   bool          `help:"Wait until every live daemon serves every service."`
	Timeout time.Duration `help:"Time limit of the command." default:"10s"`
	JSON    bool          `help:"Print the status as one JSON object." name:"json"`
}

// Run prints the daemon's status. With --wait or --ready it waits instead and
// prints no status.
func (c *statusCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Wait > 0 || c.Ready {
		return waitInForce(ctx, con, c.Address, c.Wait, c.Ready)
	}
	s, err := (&admin.StatusClient{HTTP: http.DefaultClient}).Status(ctx, c.Address)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(con.out).Encode(s)
	}
	fmt.Fprintf(con.out, "%s in %s, revision %d, %d blocks\n", s.Identity, s.Domain, s.Revision, len(s.Blocks))
	w := tabwriter.NewWriter(con.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tDOMAIN\tSTATE\tBLOCKS")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", m.Identity, m.Domain, m.State, m.Blocks)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range s.Rejected {
		fmt.Fprintln(con.out, "refused:", r)
	}
	for _, u := range s.Unserved {
		fmt.Fprintln(con.out, "unserved:", u)
	}
	for _, e := range s.Events {
		fmt.Fprintf(con.out, "%s %d %s %s %s\n", e.Time, e.ID, e.Name, e.Peer, e.Detail)
	}
	return nil
}
