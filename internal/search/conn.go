package search

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bronzedoor.dev/bronzedoor/internal/fault"
)

// maxReply bounds the bytes of one reply.
const maxReply = 4 << 20

// A Cause says why a part has no reply.
type Cause string

// The causes. They stand in answers and logs.
const (
	CauseDial    Cause = "dial"    // no connection: nothing was sent
	CauseCold    Cause = "cold"    // the upstream bears no more now: nothing was sent
	CauseMoved   Cause = "moved"   // the daemon has no permits now: nothing was sent
	CauseOut     Cause = "out"     // no replica is in service: nothing was sent
	CauseShed    Cause = "shed"    // refused for load
	CauseDrain   Cause = "drain"   // refused: the upstream is leaving
	CauseVersion Cause = "version" // the snapshot is not held
	CauseLate    Cause = "late"    // the deadline passed
	CauseReset   Cause = "reset"   // the connection broke
	CauseCut     Cause = "cut"     // the reply was cut off or is not whole
	CauseCross   Cause = "cross"   // the reply belongs to another request
	CausePartial Cause = "partial" // the upstream searched only some of the shard
	CauseRefused Cause = "refused" // any other refusal
)

// An Error is why an upstream gave no usable reply.
type Error struct {
	Cause  Cause
	Unrun  bool  // the upstream has certainly not executed the request
	Broken bool  // the connection can't be used any more
	Reply  Reply // versions and start, when the upstream said so
	Err    error // may be nil
}

// Error returns the cause and what lies behind it.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Cause)
	}
	return fmt.Sprintf("%s: %v", e.Cause, e.Err)
}

// Unwrap returns what lies behind the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// CauseOf returns the cause of an error of this package, or "failed".
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return "failed"
}

// errRedial keeps the transport from opening a second connection behind a
// Conn's back, and so from sending a request twice.
var errRedial = errors.New("the connection is used up")

// A Dialer opens connections to an upstream.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// A Conn is one connection to one process of an upstream. It carries one
// request at a time and never reconnects.
type Conn struct {
	Start Start // what the process said when the connection was opened

	address string
	tr      *http.Transport
	dialed  atomic.Bool
	broken  atomic.Bool
}

// Open connects to an upstream and asks for its start identity, which is no
// work for it.
func Open(ctx context.Context, address string, dial Dialer) (*Conn, error) {
	c := &Conn{address: address}
	c.tr = &http.Transport{
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if c.dialed.Swap(true) {
				return nil, errRedial
			}
			return dial(ctx, network, addr)
		},
	}
	if err := c.hello(ctx); err != nil {
		c.Close()
		return nil, fault.Wrap(&Error{Cause: CauseDial, Unrun: true, Broken: true, Err: err}, "dial", address)
	}
	return c, nil
}

// Ask asks for the start identity and the versions again, which is no work for
// the upstream. After an error the connection is closed.
func (c *Conn) Ask(ctx context.Context) error {
	err := c.hello(ctx)
	if err != nil {
		c.Close()
	}
	return fault.Wrap(err, "ask", c.address)
}

func (c *Conn) hello(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+PathStart, nil)
	if err != nil {
		return err
	}
	resp, err := c.tr.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return json.Unmarshal(b, &c.Start)
}

// Close closes the connection.
func (c *Conn) Close() {
	c.broken.Store(true)
	c.tr.CloseIdleConnections()
}

// Broken reports whether the connection can't be used any more.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// Do sends a part and returns its checked reply. Every error is an *Error
// within. The context's deadline travels with the part.
func (c *Conn) Do(ctx context.Context, path string, p *Part) (Reply, error) {
	re, err := c.do(ctx, path, p)
	if err == nil {
		return re, nil
	}
	if err.Broken {
		c.Close()
	}
	return Reply{}, fault.Wrap(err, "part", c.address)
}

func (c *Conn) do(ctx context.Context, path string, p *Part) (Reply, *Error) {
	b, err := json.Marshal(p)
	if err != nil {
		return Reply{}, &Error{Cause: CauseRefused, Unrun: true, Err: err}
	}
	if ctx.Err() != nil {
		return Reply{}, &Error{Cause: CauseLate, Unrun: true, Err: ctx.Err()}
	}
	// A body without GetBody is never sent a second time by the transport.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return Reply{}, &Error{Cause: CauseRefused, Unrun: true, Err: err}
	}
	req.ContentLength = int64(len(b))
	if due, ok := ctx.Deadline(); ok {
		ms := max(time.Until(due).Milliseconds(), 1)
		req.Header.Set(HeaderRemaining, strconv.FormatInt(ms, 10))
	}
	resp, err := c.tr.RoundTrip(req)
	if err != nil {
		return Reply{}, broken(ctx, err)
	}
	defer resp.Body.Close()
	return read(ctx, resp, p)
}

// broken explains an error of the connection.
func broken(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(err, errRedial):
		return &Error{Cause: CauseReset, Unrun: true, Broken: true, Err: err}
	case ctx.Err() != nil:
		return &Error{Cause: CauseLate, Broken: true, Err: ctx.Err()}
	}
	return &Error{Cause: CauseReset, Broken: true, Err: err}
}

func read(ctx context.Context, resp *http.Response, p *Part) (Reply, *Error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		e := broken(ctx, err)
		if e.Cause == CauseReset {
			e.Cause = CauseCut
		}
		return Reply{}, e
	}
	var re Reply
	if err := json.Unmarshal(b, &re); err != nil {
		return Reply{}, &Error{Cause: CauseCut, Broken: true, Err: err}
	}
	if e := check(&re, p); e != nil {
		return Reply{}, e
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{}, refusal(&re, resp.StatusCode)
	}
	return whole(&re, p)
}

// check compares the identity of a reply with its part.
func check(re *Reply, p *Part) *Error {
	if re.Request != p.Request || re.Shard != p.Shard {
		err := fmt.Errorf("reply to %q of shard %d, asked %q of shard %d", re.Request, re.Shard, p.Request, p.Shard)
		return &Error{Cause: CauseCross, Broken: true, Err: err}
	}
	return nil
}

// whole checks a reply that claims success.
func whole(re *Reply, p *Part) (Reply, *Error) {
	if p.Snapshot.Layout != 0 && re.Snapshot.Layout != p.Snapshot.Layout ||
		p.Snapshot.Version != 0 && re.Snapshot.Version != p.Snapshot.Version {
		err := fmt.Errorf("reply of snapshot %+v, asked %+v", re.Snapshot, p.Snapshot)
		return Reply{}, &Error{Cause: CauseVersion, Reply: *re, Err: err}
	}
	if re.Partial {
		return Reply{}, &Error{Cause: CausePartial, Reply: *re}
	}
	return *re, nil
}

func refusal(re *Reply, status int) *Error {
	e := &Error{Cause: CauseRefused, Reply: *re, Err: fmt.Errorf("status %d %s", status, re.Reason)}
	switch re.Reason {
	case ReasonShed:
		e.Cause, e.Unrun = CauseShed, true
	case ReasonDrain:
		e.Cause, e.Unrun = CauseDrain, true
	case ReasonVersion:
		e.Cause = CauseVersion
	case ReasonLate:
		e.Cause = CauseLate
	}
	return e
}
