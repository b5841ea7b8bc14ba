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

// maxReplyBytes is the maximum size of the body of a reply.
const maxReplyBytes = 4 << 20

// A Cause says why a shard request got no usable reply.
type Cause string

// The causes. Their values appear in answers to callers, in metrics and in logs.
const (
	CauseDial      Cause = "dial"    // no connection could be opened; nothing was sent
	CauseCold      Cause = "cold"    // the upstream is cold or at its limit; nothing was sent
	CauseNoPermits Cause = "moved"   // the daemon holds no permits now; nothing was sent
	CauseNoReplica Cause = "out"     // no replica is in rotation; nothing was sent
	CauseShed      Cause = "shed"    // rejected: the upstream or the queue is overloaded
	CauseDrain     Cause = "drain"   // rejected: the upstream is draining
	CauseVersion   Cause = "version" // the upstream does not hold the snapshot
	CauseDeadline  Cause = "late"    // the deadline passed
	CauseReset     Cause = "reset"   // the connection failed before the reply
	CauseTruncated Cause = "cut"     // the reply is truncated or malformed
	CauseMismatch  Cause = "cross"   // the reply belongs to another request
	CausePartial   Cause = "partial" // only some of the shard was searched
	CauseRefused   Cause = "refused" // rejected for any other reason
)

// An Error is the failure of a shard request.
type Error struct {
	Cause       Cause
	NotExecuted bool  // the upstream has certainly not executed the request; a retry is safe
	Broken      bool  // the connection can't be used any more
	Reply       Reply // what the upstream reported, such as its versions; zero if nothing
	Err         error // underlying error; may be nil
}

// Error returns the cause and the underlying error.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Cause)
	}
	return fmt.Sprintf("%s: %v", e.Cause, e.Err)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error {
	return e.Err
}

// CauseOf returns the cause of the Error that err wraps, or "failed" if there
// is none.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return "failed"
}

// errRedial is the error of a second dial by the transport. It keeps the
// transport from reconnecting on its own, and so from sending a request twice.
var errRedial = errors.New("connection is closed and is not reopened")

// A Dialer opens a network connection to an upstream.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// A Conn is one connection to one process of an upstream. It carries one
// request at a time and never reconnects. Use Open to make one.
type Conn struct {
	Info Info // as reported at Open or at the last successful Refresh

	address   string
	transport *http.Transport
	dialed    atomic.Bool // the transport has dialed once
	broken    atomic.Bool
}

// Open connects to an upstream and fetches its Info, which does not load the
// upstream. An error wraps an *Error with CauseDial.
func Open(ctx context.Context, address string, dial Dialer) (*Conn, error) {
	c := &Conn{address: address}
	c.transport = &http.Transport{
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
	if err := c.fetchInfo(ctx); err != nil {
		c.Close()
		return nil, fault.Wrap(&Error{Cause: CauseDial, NotExecuted: true, Broken: true, Err: err}, "dial", address)
	}
	return c, nil
}

// Refresh fetches Info again, which does not load the upstream. After an error
// the connection is closed.
func (c *Conn) Refresh(ctx context.Context) error {
	err := c.fetchInfo(ctx)
	if err != nil {
		c.Close()
	}
	return fault.Wrap(err, "ask", c.address)
}

func (c *Conn) fetchInfo(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+PathStart, nil)
	if err != nil {
		return err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("unexpected status %s", resp.Status)
	}
	return json.Unmarshal(b, &c.Info)
}

// Close marks the connection as broken and closes it as soon as it is idle.
func (c *Conn) Close() {
	c.broken.Store(true)
	c.transport.CloseIdleConnections()
}

// Broken reports whether the connection can't be used any more.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// Do sends a shard request and returns its reply after checking that it
// matches the request. Every error wraps an *Error. The time left until the
// context's deadline is sent with the request.
func (c *Conn) Do(ctx context.Context, path string, sr *ShardRequest) (Reply, error) {
	re, err := c.do(ctx, path, sr)
	if err == nil {
		return re, nil
	}
	if err.Broken {
		c.Close()
	}
	return Reply{}, fault.Wrap(err, "part", c.address)
}

func (c *Conn) do(ctx context.Context, path string, sr *ShardRequest) (Reply, *Error) {
	b, err := json.Marshal(sr)
	if err != nil {
		return Reply{}, &Error{Cause: CauseRefused, NotExecuted: true, Err: err}
	}
	if ctx.Err() != nil {
		return Reply{}, &Error{Cause: CauseDeadline, NotExecuted: true, Err: ctx.Err()}
	}
	// The transport never resends a body that has no GetBody.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return Reply{}, &Error{Cause: CauseRefused, NotExecuted: true, Err: err}
	}
	req.ContentLength = int64(len(b))
	if deadline, ok := ctx.Deadline(); ok {
		ms := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(HeaderRemaining, strconv.FormatInt(ms, 10))
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Reply{}, connError(ctx, err)
	}
	defer resp.Body.Close()
	return readReply(ctx, resp, sr)
}

// connError returns the Error for a failure of the connection.
func connError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(err, errRedial):
		return &Error{Cause: CauseReset, NotExecuted: true, Broken: true, Err: err}
	case ctx.Err() != nil:
		return &Error{Cause: CauseDeadline, Broken: true, Err: ctx.Err()}
	}
	return &Error{Cause: CauseReset, Broken: true, Err: err}
}

func readReply(ctx context.Context, resp *http.Response, sr *ShardRequest) (Reply, *Error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		e := connError(ctx, err)
		if e.Cause == CauseReset {
			e.Cause = CauseTruncated
		}
		return Reply{}, e
	}
	var re Reply
	if err := json.Unmarshal(b, &re); err != nil {
		return Reply{}, &Error{Cause: CauseTruncated, Broken: true, Err: err}
	}
	if e := checkIdentity(&re, sr); e != nil {
		return Reply{}, e
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{}, refusalError(&re, resp.StatusCode)
	}
	return checkSuccess(&re, sr)
}

// checkIdentity checks that a reply belongs to the request.
func checkIdentity(re *Reply, sr *ShardRequest) *Error {
	if re.Request != sr.Request || re.Shard != sr.Shard {
		err := fmt.Errorf("reply is to request %q of shard %d, want request %q of shard %d", re.Request, re.Shard, sr.Request, sr.Shard)
		return &Error{Cause: CauseMismatch, Broken: true, Err: err}
	}
	return nil
}

// checkSuccess checks that a reply with a status of success covers the whole
// shard at the requested snapshot.
func checkSuccess(re *Reply, sr *ShardRequest) (Reply, *Error) {
	if sr.Snapshot.Layout != 0 && re.Snapshot.Layout != sr.Snapshot.Layout ||
		sr.Snapshot.Version != 0 && re.Snapshot.Version != sr.Snapshot.Version {
		err := fmt.Errorf("reply is from snapshot %+v, want %+v", re.Snapshot, sr.Snapshot)
		return Reply{}, &Error{Cause: CauseVersion, Reply: *re, Err: err}
	}
	if re.Partial {
		return Reply{}, &Error{Cause: CausePartial, Reply: *re}
	}
	return *re, nil
}

func refusalError(re *Reply, status int) *Error {
	e := &Error{Cause: CauseRefused, Reply: *re, Err: fmt.Errorf("rejected with status %d, reason %q", status, re.Reason)}
	switch re.Reason {
	case ReasonShed:
		e.Cause, e.NotExecuted = CauseShed, true
	case ReasonDrain:
		e.Cause, e.NotExecuted = CauseDrain, true
	case ReasonVersion:
		e.Cause = CauseVersion
	case ReasonDeadline:
		e.Cause = CauseDeadline
	}
	return e
}
