package search

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bronzedoor.dev/bronzedoor/pkg/query"
)

// A fakeUpstream is an upstream whose replies are made by the test.
type fakeUpstream struct {
	received atomic.Int32 // number of shard requests received
	reply    func(w http.ResponseWriter, sr *ShardRequest)
}

func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathStart {
		_, _ = io.WriteString(w, `{"start":"a","oldest":1,"newest":2}`)
		return
	}
	u.received.Add(1)
	var sr ShardRequest
	_ = json.NewDecoder(r.Body).Decode(&sr)
	u.reply(w, &sr)
}

func openConn(t *testing.T, u *fakeUpstream) *Conn {
	t.Helper()
	s := httptest.NewServer(u)
	t.Cleanup(s.Close)
	var d net.Dialer
	c, err := Open(t.Context(), strings.TrimPrefix(s.URL, "http://"), d.DialContext)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

var testRequest = ShardRequest{Request: "r1", Shard: 3, Snapshot: query.Snapshot{Layout: 1, Version: 2}}

// goodReply returns a valid reply to a shard request.
func goodReply(sr *ShardRequest) Reply {
	return Reply{Request: sr.Request, Shard: sr.Shard, Snapshot: sr.Snapshot, StartID: "a", Oldest: 1, Newest: 2}
}

func writeReply(w http.ResponseWriter, status int, re Reply) {
	b, _ := json.Marshal(re)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func TestReplies(t *testing.T) {
	tests := []struct {
		name        string
		status      int
		change      func(re *Reply)
		cause       Cause
		notExecuted bool
		broken      bool
	}{
		{name: "good", status: 200, change: func(*Reply) {}},
		{name: "reply to another request", status: 200, change: func(re *Reply) { re.Request = "r2" }, cause: CauseMismatch, broken: true},
		{name: "reply to another shard", status: 200, change: func(re *Reply) { re.Shard = 4 }, cause: CauseMismatch, broken: true},
		{name: "reply from another version", status: 200, change: func(re *Reply) { re.Snapshot.Version = 1 }, cause: CauseVersion},
		{name: "reply from another layout", status: 200, change: func(re *Reply) { re.Snapshot.Layout = 2 }, cause: CauseVersion},
		{name: "partial", status: 200, change: func(re *Reply) { re.Partial = true }, cause: CausePartial},
		{name: "shed", status: 503, change: func(re *Reply) { re.Reason = ReasonShed }, cause: CauseShed, notExecuted: true},
		{name: "draining", status: 503, change: func(re *Reply) { re.Reason = ReasonDrain }, cause: CauseDrain, notExecuted: true},
		{name: "a shed of another request does not prove that this one was not executed", status: 503, change: func(re *Reply) { re.Reason, re.Request = ReasonShed, "r2" }, cause: CauseMismatch, broken: true},
		{name: "version not held", status: 409, change: func(re *Reply) { re.Reason = ReasonVersion }, cause: CauseVersion},
		{name: "rejected for an unknown reason", status: 500, change: func(*Reply) {}, cause: CauseRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := openConn(t, &fakeUpstream{reply: func(w http.ResponseWriter, sr *ShardRequest) {
				re := goodReply(sr)
				tt.change(&re)
				writeReply(w, tt.status, re)
			}})
			_, err := c.Do(t.Context(), PathShard, &testRequest)
			if tt.cause == "" {
				is.NoErr(err)
				return
			}
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Cause, tt.cause)
			is.Equal(e.NotExecuted, tt.notExecuted)
			is.Equal(c.Broken(), tt.broken)
		})
	}
}

// TestTruncatedReply closes the connection after each number of bytes of the
// reply.
func TestTruncatedReply(t *testing.T) {
	is := is.New(t)
	whole, err := json.Marshal(goodReply(&testRequest))
	is.NoErr(err)
	for n := range whole {
		c := openConn(t, &fakeUpstream{reply: func(w http.ResponseWriter, _ *ShardRequest) {
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			_, _ = w.Write(whole[:n])
			panic(http.ErrAbortHandler)
		}})
		_, err := c.Do(t.Context(), PathShard, &testRequest)
		is.True(err != nil) // a truncated reply is never accepted
		is.True(c.Broken())
	}
}

// TestNoSecondSend resets connections in ways after which http.Transport
// resends some requests, and checks that each request arrives once.
func TestNoSecondSend(t *testing.T) {
	tests := []struct {
		name        string
		reply       func(w http.ResponseWriter, sr *ShardRequest)
		received    int32
		notExecuted bool
	}{
		{name: "reset after the request was read", reply: func(http.ResponseWriter, *ShardRequest) { panic(http.ErrAbortHandler) }, received: 1},
		{name: "reset after some of the reply", reply: func(w http.ResponseWriter, _ *ShardRequest) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
			panic(http.ErrAbortHandler)
		}, received: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &fakeUpstream{reply: tt.reply}
			c := openConn(t, u)
			booking := testRequest
			booking.Key = "k"
			_, err := c.Do(t.Context(), PathBook, &booking)
			var e *Error
			is.True(errors.As(err, &e))
			is.True(!e.NotExecuted) // it may have been executed
			is.Equal(u.received.Load(), tt.received)
			_, err = c.Do(t.Context(), PathBook, &booking)
			is.True(errors.As(err, &e))
			is.True(e.NotExecuted) // the connection is closed, so nothing was sent
			is.Equal(u.received.Load(), tt.received)
		})
	}
}

// TestIdleConnClosedByUpstream sends on a connection that the upstream closed
// while it was idle. This is where http.Transport by default dials again and
// resends.
func TestIdleConnClosedByUpstream(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstream{reply: func(w http.ResponseWriter, sr *ShardRequest) { writeReply(w, 200, goodReply(sr)) }}
	s := httptest.NewServer(u)
	defer s.Close()
	var d net.Dialer
	c, err := Open(t.Context(), strings.TrimPrefix(s.URL, "http://"), d.DialContext)
	is.NoErr(err)
	s.CloseClientConnections()
	_, err = c.Do(t.Context(), PathBook, &testRequest)
	is.True(err != nil)
	is.Equal(u.received.Load(), int32(0))
	is.True(c.Broken())
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	c := openConn(t, &fakeUpstream{reply: func(http.ResponseWriter, *ShardRequest) { <-release }})
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, PathShard, &testRequest)
	is.Equal(CauseOf(err), CauseDeadline)
	is.True(c.Broken()) // a late reply can't be taken for that of the next request
}

func FuzzReply(f *testing.F) {
	b, _ := json.Marshal(goodReply(&testRequest))
	f.Add(200, b)
	f.Add(503, []byte(`{"request":"r1","shard":3,"reason":"shed"}`))
	f.Add(200, []byte(`{"request":"r1","shard":3,"hits":null}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		resp := &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(string(body)))}
		re, err := readReply(t.Context(), resp, &testRequest)
		if err == nil && (re.Request != testRequest.Request || re.Shard != testRequest.Shard || re.Snapshot != testRequest.Snapshot) {
			t.Fatalf("accepted mismatched reply %+v", re)
		}
	})
}
