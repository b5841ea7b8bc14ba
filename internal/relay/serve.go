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

// ReasonUnpinned is the reason of all misses in the reply to a search without a
// version. Such a reply only reports the versions that the cell can serve.
const ReasonUnpinned = "unpinned"

// replyDivisor reserves 1/replyDivisor of a request's remaining time for the
// transfer of its reply.
const replyDivisor = 20

// Search implements Search of the service wire.Cells. It searches shards of one
// cell; a shard that fails is a miss in the reply. The error is always nil.
func (r *Relay) Search(ctx context.Context, req *wire.SearchRequest) (*wire.SearchReply, error) {
	c := r.cell(object.CellName(req.Service, int(req.Snapshot.GetLayout()), int(req.Group)))
	out := &wire.SearchReply{Request: req.Request, Snapshot: req.Snapshot, Group: req.Group}
	if c == nil {
		out.Absent = true
		return out, nil
	}
	ctx, cancel := withRemaining(ctx, req.Remaining)
	defer cancel()
	if req.Snapshot.GetVersion() == 0 {
		c.missUnpinned(out)
	} else {
		r.gather(ctx, c, req, out)
	}
	out.Oldest, out.Newest = c.versionRange()
	return out, nil
}

// withRemaining returns ctx with a timeout of the remaining microseconds, less
// what is reserved for the reply.
func withRemaining(ctx context.Context, remaining uint64) (context.Context, context.CancelFunc) {
	d := time.Duration(remaining) * time.Microsecond
	return context.WithTimeout(ctx, d-d/replyDivisor)
}

// missUnpinned adds all shards to the misses of a search without a version.
func (c *cell) missUnpinned(out *wire.SearchReply) {
	for _, s := range c.shards {
		out.Misses = append(out.Misses, &wire.Miss{Shard: uint32(s.number), Reason: ReasonUnpinned})
	}
}

// A fetch is the call to one shard in a search.
type fetch struct {
	call  call
	start time.Time
	reply search.Reply
	err   error
}

// run makes the call and sends the fetch to done.
func (f *fetch) run(ctx context.Context, done chan<- *fetch) {
	f.reply, f.err = f.call.do(ctx)
	done <- f
}

// gather searches the requested shards concurrently and merges the replies that
// arrive before the deadline.
func (r *Relay) gather(ctx context.Context, c *cell, req *wire.SearchRequest, out *wire.SearchReply) {
	shards := c.selectShards(req.Only)
	done := make(chan *fetch, len(shards))
	selector := r.selector(req.Class)
	for _, s := range shards {
		f := &fetch{start: time.Now(), call: call{
			shard:    s,
			selector: selector,
			req:      newShardRequest(req, s.number),
			wg:       &r.wg,
		}}
		go f.run(ctx, done)
	}
	m := merge.New(c.first+len(c.shards), int(req.Top))
	for range shards {
		f := <-done
		out.Sent += uint32(f.call.sent)
		r.observe(req.Class, req.Service, &f.call, f.start, f.err)
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

// selectShards returns the cell's shards with the given numbers, or all if there
// are none given.
func (c *cell) selectShards(only []uint32) []*shard {
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

// shard returns the shard with that number, or nil if it is not in the cell.
func (c *cell) shard(number int) *shard {
	i := number - c.first
	if i < 0 || i >= len(c.shards) {
		return nil
	}
	return c.shards[i]
}

// newShardRequest returns the request to one shard for a search.
func newShardRequest(req *wire.SearchRequest, shard int) search.ShardRequest {
	sr := search.ShardRequest{
		Request:  req.Request,
		Service:  req.Service,
		Shard:    shard,
		Snapshot: query.Snapshot{Layout: int(req.Snapshot.GetLayout()), Version: req.Snapshot.GetVersion()},
		Text:     req.Text,
		Top:      int(req.Top),
	}
	if req.AfterId != "" {
		sr.After = &query.Hit{ID: req.AfterId, Score: req.AfterScore}
	}
	return sr
}

// observe reports the outcome of a call to the Observe hook.
func (r *Relay) observe(class, service string, c *call, start time.Time, err error) {
	if r.Observe == nil {
		return
	}
	o := Outcome{Class: class, Service: service, Took: time.Since(start), Sent: c.sent}
	if err != nil {
		o.Cause = search.CauseOf(err)
	}
	r.Observe(o)
}

// Single implements Single of the service wire.Cells. It sends a check or a
// booking to one shard. A booking is executed at most once. A failure of the call
// is reported in the reply; the error is for a shard that is not in the cell.
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
	ctx, cancel := withRemaining(ctx, req.Remaining)
	defer cancel()
	cl := call{shard: s, selector: r.selector(req.Class), wg: &r.wg, req: search.ShardRequest{
		Request:  req.Request,
		Service:  req.Service,
		Shard:    int(req.Shard),
		Snapshot: query.Snapshot{Layout: int(req.Snapshot.GetLayout()), Version: req.Snapshot.GetVersion()},
		Item:     req.Item,
		Key:      req.Key,
		Body:     req.Body,
	}}
	start := time.Now()
	var re search.Reply
	var err error
	if req.Key != "" {
		re, err = cl.book(ctx)
	} else {
		re, err = cl.do(ctx)
	}
	r.observe(req.Class, req.Service, &cl, start, err)
	if err != nil {
		out.Reason = string(search.CauseOf(err))
		out.Run = string(executionState(err))
		return out, nil
	}
	out.Done = true
	out.Yes = re.Free
	out.Result = re.Result
	out.Snapshot = &wire.Snapshot{Layout: uint32(re.Snapshot.Layout), Version: re.Snapshot.Version}
	return out, nil
}

// executionState returns whether a request that failed with err may have been
// executed.
func executionState(err error) query.Run {
	var e *search.Error
	if errors.As(err, &e) && e.NotExecuted {
		return query.RunNone
	}
	return query.RunUnknown
}

// book sends the booking to one replica. It tries another one only if the first
// has certainly not executed the booking.
func (c *call) book(ctx context.Context) (search.Reply, error) {
	c.wg.Add()
	defer c.wg.Done()
	for {
		up, err := c.shard.acquire(ctx, c.criteria())
		if err != nil {
			return search.Reply{}, c.earlierErr(err)
		}
		c.tried = append(c.tried, up.address)
		c.sent++
		re, err := c.shard.send(ctx, up, search.PathBook, &c.req)
		if err == nil || executionState(err) != query.RunNone {
			return re, err
		}
		c.recordErr(err)
	}
}

// earlierErr returns the error of an earlier attempt, or err if there was none.
func (c *call) earlierErr(err error) error {
	if c.bestErr != nil {
		return c.bestErr
	}
	return err
}

// probe starts a probe of each upstream that has not answered recently, to learn
// its versions and its start ID.
func (r *Relay) probe(ctx context.Context) {
	for _, c := range r.allCells() {
		for _, s := range c.shards {
			s.probe(ctx, &r.wg)
		}
	}
}
