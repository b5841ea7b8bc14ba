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

// platformWait bounds one call to the platform.
const platformWait = 5 * time.Second

// platform are the flags of commands that change objects.
type platform struct {
	Objects string        `help:"Address of the object API." required:"" env:"BRONZEDOOR_OBJECTS"`
	Wait    string        `help:"Address of a daemon to ask until the change is in force everywhere." placeholder:"ADDRESS"`
	Timeout time.Duration `help:"How long to try and to wait." default:"10s"`
}

func (p *platform) editor() *admin.Editor {
	return &admin.Editor{Store: &store.Client{ObjectsAddr: p.Objects, HTTP: http.DefaultClient, Timeout: platformWait}}
}

// finish reports the revision of a change, and waits for it if asked to.
func (p *platform) finish(ctx context.Context, con *console, what string, rev uint64, err error) error {
	if err != nil {
		return err
	}
	fmt.Fprintf(con.out, "%s: revision %d\n", what, rev)
	if p.Wait == "" {
		return nil
	}
	return waitFor(ctx, con, p.Wait, rev, false)
}

func waitFor(ctx context.Context, con *console, address string, rev uint64, ready bool) error {
	w := &admin.Watcher{HTTP: http.DefaultClient}
	lags, err := w.Wait(ctx, address, rev, ready)
	if err != nil {
		return fmt.Errorf("%w: %w", errLagging, err)
	}
	for _, l := range lags {
		fmt.Fprintf(con.err, "%s: %s\n", l.Identity, l.Reason)
	}
	if len(lags) > 0 {
		return errLagging
	}
	fmt.Fprintf(con.out, "in force everywhere\n")
	return nil
}

func (p *platform) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, p.Timeout)
}

// applyCmd writes the objects of files.
type applyCmd struct {
	platform
	Files []string `arg:"" help:"Files of labels, selectors and layouts." type:"existingfile"`
}

// Run checks all files before it writes anything.
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
	ctx, cancel := c.bound(ctx)
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
	platform
	Target string   `arg:"" help:"upstream/IP:PORT, domain/NAME or vm/IP:PORT."`
	Pairs  []string `arg:"" help:"KEY=VALUE; state=out keeps new work away, state=in lets it back."`
}

// Run changes the labels.
func (c *labelSetCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	rev, err := admin.Edit(ctx, c.editor(), object.KindLabel, c.Target, func(l *object.Label) {
		l.Target = c.Target
		for _, p := range admin.ParsePairs(c.Pairs) {
			l.Set(p.Key, p.Value)
		}
	})
	return c.finish(ctx, con, "label "+c.Target, rev, err)
}

type dropCmd struct {
	platform
	Name string `arg:"" help:"Name of the object."`
	kind object.Kind
}

// Run removes the object.
func (c *dropCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	rev, err := c.editor().Remove(ctx, c.kind, c.Name)
	return c.finish(ctx, con, string(c.kind)+" "+c.Name, rev, err)
}

type listCmd struct {
	platform
	JSON bool `help:"One JSON object a line." name:"json"`
	kind object.Kind
}

// Run lists the objects of the kind.
func (c *listCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.bound(ctx)
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

// summary returns an object's body on one line.
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

// AfterApply tells the sub-commands their kind.
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

// AfterApply tells the sub-commands their kind.
func (c *selectorCmd) AfterApply() error {
	c.Drop.kind, c.List.kind = object.KindSelector, object.KindSelector
	return nil
}

type selectorSetCmd struct {
	platform
	Caller   string   `arg:"" help:"Caller class."`
	Service  string   `help:"Service that the caller's queries go to." required:""`
	Pick     []string `help:"Labels that an upstream must have, KEY=VALUE."`
	Deadline int      `help:"Milliseconds until an answer is due." default:"140"`
	Early    int      `help:"Milliseconds after which the floor is enough; 0 waits for the deadline." default:"0"`
	Floor    int      `help:"Least coverage in percent." default:"0"`
	Hedge    int      `help:"Extra requests in percent." default:"5"`
	Tries    int      `help:"Most requests for one shard." default:"3"`
	Queue    int      `help:"Requests that may wait at an entry; 0 for the default."`
	Flight   int      `help:"Requests in work at an entry; 0 for the default."`
}

// Run writes the selector.
func (c *selectorSetCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.bound(ctx)
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
	Set  layoutSetCmd `cmd:"" help:"Set a layout: how a service's data is partitioned."`
	Drop dropCmd      `cmd:"" help:"Remove a layout, SERVICE.NUMBER."`
	List listCmd      `cmd:"" help:"List layouts."`
}

// AfterApply tells the sub-commands their kind.
func (c *layoutCmd) AfterApply() error {
	c.Drop.kind, c.List.kind = object.KindLayout, object.KindLayout
	return nil
}

type layoutSetCmd struct {
	platform
	Service string `arg:"" help:"Service."`
	Number  int    `arg:"" help:"Number of the layout; a repartition takes the next."`
	Shards  int    `help:"Shards." required:""`
	Cell    int    `help:"Shards in one cell." default:"16"`
	Blocks  int    `help:"Blocks that the permits of a cell are split into." default:"3"`
}

// Run writes the layout.
func (c *layoutSetCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	name := object.LayoutName(c.Service, c.Number)
	rev, err := admin.Edit(ctx, c.editor(), object.KindLayout, name, func(l *object.Layout) {
		*l = object.Layout{Service: c.Service, Number: c.Number, Shards: c.Shards, Cell: c.Cell, Blocks: c.Blocks}
	})
	return c.finish(ctx, con, "layout "+name, rev, err)
}

// statusCmd shows the fleet.
type statusCmd struct {
	Address string        `arg:"" help:"Address of a daemon, for callers or for peers."`
	Wait    uint64        `help:"Wait until every live daemon has this revision in force." placeholder:"REV"`
	Ready   bool          `help:"Wait until every live daemon serves every service."`
	Timeout time.Duration `help:"How long to wait." default:"10s"`
	JSON    bool          `help:"One JSON object." name:"json"`
}

// Run shows what the daemon knows, after waiting if asked to.
func (c *statusCmd) Run(ctx context.Context, con *console) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Wait > 0 || c.Ready {
		return waitFor(ctx, con, c.Address, c.Wait, c.Ready)
	}
	s, err := (&admin.Watcher{HTTP: http.DefaultClient}).Status(ctx, c.Address)
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
	for _, r := range s.Refused {
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
