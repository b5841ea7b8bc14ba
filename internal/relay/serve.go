package relay

import (
	"context"
	"errors"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/merge"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/search"
	"bronzedoor.dev/bronzedoor/internal/wire"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// ReasonUnpinned says that a search named no snapshot, so that its reply only
// tells which ones there are.
const ReasonUnpinned = "unpinned"

// replyShare is the part of a request's time that is kept back for the way of
// its reply.
const replyShare = 20

// Search asks shards of one cell, as wire.Cells describes.
func (r *Relay) Search(ctx context.Context, req *wire.SearchRequest) (*wire.SearchReply, error) {
	c := r.cell(object.CellName(req.Service, int(req.Snapshot.GetLayout()), int(req.Group)))
	out := &wire.SearchReply{Request: req.Request, Snapshot: req.Snapshot, Group: req.Group}
	if c == nil {
		out.Absent = true
		return out, nil
	}
	ctx, cancel := within(ctx, req.Remaining)
	defer cancel()
	if req.Snapshot.GetVersion() == 0 {
		c.unpinned(out)
	} else {
		r.gather(ctx, c, req, out)
	}
	out.Oldest, out.Newest = c.span()
	return out, nil
}

// within bounds ctx by the remaining microseconds, less a margin.
func within(ctx context.Context, remaining uint64) (context.Context, context.CancelFunc) {
	d := time.Duration(remaining) * time.Microsecond
	return context.WithTimeout(ctx, d-d/replyShare)
}

func (c *cell) unpinned(out *wire.SearchReply) {
	for _, s := range c.shards {
		out.Misses = append(out.Misses, &wire.Miss{Shard: uint32(s.number), Reason: ReasonUnpinned})
	}
}

// A fetch asks one shard on behalf of a search.
type fetch struct {
	call  call
	begun time.Time
	reply search.Reply
	err   error
}

// run asks the shard and hands itself in.
func (f *fetch) run(ctx context.Context, done chan<- *fetch) {
	f.reply, f.err = f.call.do(ctx)
	done <- f
}

// gather asks the wanted shards at once and merges what comes in time.
func (r *Relay) gather(ctx context.Context, c *cell, req *wire.SearchRequest, out *wire.SearchReply) {
	shards := c.wanted(req.Only)
	done := make(chan *fetch, len(shards))
	selector := r.selector(req.Class)
	for _, s := range shards {
		f := &fetch{begun: time.Now(), call: call{
			shard:    s,
			selector: selector,
			part:     part(req, s.number),
			work:     &r.work,
		}}
		go f.run(ctx, done)
	}
	m := merge.New(c.first+len(c.shards), int(req.Top))
	for range shards {
		f := <-done
		out.Sent += uint32(f.call.sent)
		r.observe(req.Class, req.Service, &f.call, f.begun, f.err)
		if f.err != nil {
			out.Misses = append(out.Misses, &wire.Miss{Shard: uint32(f.call.shard.number), Reason: string(search.CauseOf(f.err))})
			continue
		}
		m.Add([]int{f.call.shard.number}, f.reply.Hits)
	}
	for _, n := range m.MergedShards() {
		out.Merged = append(out.Merged, uint32(n))
	}
	for _, h := range m.Hits() {
		out.Hits = append(out.Hits, &wire.Hit{Id: h.ID, Score: h.Score})
	}
}

func (c *cell) wanted(only []uint32) []*shard {
	if len(only) == 0 {
		return c.shards
	}
	var out []*shard
	for _, n := range only {
		if s := c.shard(int(n)); s != nil {
			out = append(out, s)
		}
	}
	return out
}

func (c *cell) shard(number int) *shard {
	i := number - c.first
	if i < 0 || i >= len(c.shards) {
		return nil
	}
	return c.shards[i]
}

func part(req *wire.SearchRequest, shard int) search.ShardRequest {
	p := search.ShardRequest{
		Request:  req.Request,
		Service:  req.Service,
		Shard:    shard,
		Snapshot: query.Snapshot{Layout: int(req.Snapshot.GetLayout()), Version: req.Snapshot.GetVersion()},
		Text:     req.Text,
		Top:      int(req.Top),
	}
	if req.AfterId != "" {
		p.After = &query.Hit{ID: req.AfterId, Score: req.AfterScore}
	}
	return p
}

func (r *Relay) observe(class, service string, c *call, begun time.Time, err error) {
	if r.Observe == nil {
		return
	}
	o := Outcome{Class: class, Service: service, Took: time.Since(begun), Sent: c.sent}
	if err != nil {
		o.Cause = search.CauseOf(err)
	}
	r.Observe(o)
}

// Single asks one shard, as wire.Cells describes. A booking is sent once.
func (r *Relay) Single(ctx context.Context, req *wire.SingleRequest) (*wire.SingleReply, error) {
	out := &wire.SingleReply{Request: req.Request, Run: string(query.RunNone)}
	c := r.cell(object.CellName(req.Service, int(req.Snapshot.GetLayout()), int(req.Group)))
	if c == nil {
		out.Absent = true
		return out, nil
	}
	s := c.shard(int(req.Shard))
	if s == nil {
		return nil, fault.New("single", "", "cell %s has no shard %d", c.name, req.Shard)
	}
	ctx, cancel := within(ctx, req.Remaining)
	defer cancel()
	cl := call{shard: s, selector: r.selector(req.Class), work: &r.work, part: search.ShardRequest{
		Request:  req.Request,
		Service:  req.Service,
		Shard:    int(req.Shard),
		Snapshot: query.Snapshot{Layout: int(req.Snapshot.GetLayout()), Version: req.Snapshot.GetVersion()},
		Item:     req.Item,
		Key:      req.Key,
		Body:     req.Body,
	}}
	begun := time.Now()
	var re search.Reply
	var err error
	if req.Key != "" {
		re, err = cl.book(ctx)
	} else {
		re, err = cl.do(ctx)
	}
	r.observe(req.Class, req.Service, &cl, begun, err)
	if err != nil {
		out.Reason = string(search.CauseOf(err))
		out.Run = string(ran(err))
		return out, nil
	}
	out.Done = true
	out.Yes = re.Free
	out.Result = re.Result
	out.Snapshot = &wire.Snapshot{Layout: uint32(re.Snapshot.Layout), Version: re.Snapshot.Version}
	return out, nil
}

// ran says what is known of a failed request's execution.
func ran(err error) query.Run {
	var e *search.Error
	if errors.As(err, &e) && e.NotExecuted {
		return query.RunNone
	}
	return query.RunUnknown
}

// book sends the booking to one replica. Another one is tried only when the
// first has certainly not executed it.
func (c *call) book(ctx context.Context) (search.Reply, error) {
	c.work.Add()
	defer c.work.Done()
	for {
		up, err := c.shard.take(ctx, c.want())
		if err != nil {
			return search.Reply{}, c.telling(err)
		}
		c.tried = append(c.tried, up.address)
		c.sent++
		re, err := c.shard.send(ctx, up, search.PathBook, &c.part)
		if err == nil || ran(err) != query.RunNone {
			return re, err
		}
		c.note(err)
	}
}

// telling returns the error of an earlier try, if there was one.
func (c *call) telling(err error) error {
	if c.last != nil {
		return c.last
	}
	return err
}

// probe opens one connection to each upstream of which nothing is known or
// that the relay has not heard of lately, to learn its versions and its start.
func (r *Relay) probe(ctx context.Context) {
	for _, c := range r.held() {
		for _, s := range c.shards {
			s.probe(ctx, &r.work)
		}
	}
}
