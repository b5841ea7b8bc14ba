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

// upstream is a server whose replies a test chooses.
type upstream struct {
	parts atomic.Int32 // received
	reply func(w http.ResponseWriter, p *Part)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathStart {
		_, _ = io.WriteString(w, `{"start":"a","oldest":1,"newest":2}`)
		return
	}
	u.parts.Add(1)
	var p Part
	_ = json.NewDecoder(r.Body).Decode(&p)
	u.reply(w, &p)
}

func open(t *testing.T, u *upstream) *Conn {
	t.Helper()
	s := httptest.NewServer(u)
	t.Cleanup(s.Close)
	var d net.Dialer
	c, err := Open(t.Context(), strings.TrimPrefix(s.URL, "http://"), d.DialContext)
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}

var part = Part{Request: "r1", Shard: 3, Snapshot: query.Snapshot{Layout: 1, Version: 2}}

// good returns the right reply to a part.
func good(p *Part) Reply {
	return Reply{Request: p.Request, Shard: p.Shard, Snapshot: p.Snapshot, Start: "a", Oldest: 1, Newest: 2}
}

func write(w http.ResponseWriter, status int, re Reply) {
	b, _ := json.Marshal(re)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func TestReplies(t *testing.T) {
	tests := []struct {
		name   string
		status int
		change func(re *Reply)
		cause  Cause
		unrun  bool
		broken bool
	}{
		{name: "good", status: 200, change: func(*Reply) {}},
		{name: "another request's", status: 200, change: func(re *Reply) { re.Request = "r2" }, cause: CauseCross, broken: true},
		{name: "another shard's", status: 200, change: func(re *Reply) { re.Shard = 4 }, cause: CauseCross, broken: true},
		{name: "another version's", status: 200, change: func(re *Reply) { re.Snapshot.Version = 1 }, cause: CauseVersion},
		{name: "another layout's", status: 200, change: func(re *Reply) { re.Snapshot.Layout = 2 }, cause: CauseVersion},
		{name: "partial", status: 200, change: func(re *Reply) { re.Partial = true }, cause: CausePartial},
		{name: "shed", status: 503, change: func(re *Reply) { re.Reason = ReasonShed }, cause: CauseShed, unrun: true},
		{name: "draining", status: 503, change: func(re *Reply) { re.Reason = ReasonDrain }, cause: CauseDrain, unrun: true},
		{name: "crossed shed is no sign that it was not run", status: 503, change: func(re *Reply) { re.Reason, re.Request = ReasonShed, "r2" }, cause: CauseCross, broken: true},
		{name: "version not held", status: 409, change: func(re *Reply) { re.Reason = ReasonVersion }, cause: CauseVersion},
		{name: "unknown refusal", status: 500, change: func(*Reply) {}, cause: CauseRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := open(t, &upstream{reply: func(w http.ResponseWriter, p *Part) {
				re := good(p)
				tt.change(&re)
				write(w, tt.status, re)
			}})
			_, err := c.Do(t.Context(), PathPart, &part)
			if tt.cause == "" {
				is.NoErr(err)
				return
			}
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Cause, tt.cause)
			is.Equal(e.Unrun, tt.unrun)
			is.Equal(c.Broken(), tt.broken)
		})
	}
}

// TestCutAtEachByte cuts the reply off after every number of bytes.
func TestCutAtEachByte(t *testing.T) {
	is := is.New(t)
	whole, err := json.Marshal(good(&part))
	is.NoErr(err)
	for n := range whole {
		c := open(t, &upstream{reply: func(w http.ResponseWriter, _ *Part) {
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			_, _ = w.Write(whole[:n])
			panic(http.ErrAbortHandler)
		}})
		_, err := c.Do(t.Context(), PathPart, &part)
		is.True(err != nil) // a reply that is cut off is never taken
		is.True(c.Broken())
	}
}

// TestNothingIsSentTwice closes connections in ways after which the standard
// transport sends some requests again, and counts what arrives.
func TestNothingIsSentTwice(t *testing.T) {
	tests := []struct {
		name  string
		reply func(w http.ResponseWriter, p *Part)
		parts int32
		unrun bool
	}{
		{name: "reset after the request was read", reply: func(http.ResponseWriter, *Part) { panic(http.ErrAbortHandler) }, parts: 1},
		{name: "reset after some of the reply", reply: func(w http.ResponseWriter, _ *Part) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
			panic(http.ErrAbortHandler)
		}, parts: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &upstream{reply: tt.reply}
			c := open(t, u)
			booking := part
			booking.Key = "k"
			_, err := c.Do(t.Context(), PathBook, &booking)
			var e *Error
			is.True(errors.As(err, &e))
			is.True(!e.Unrun) // it may have run
			is.Equal(u.parts.Load(), tt.parts)
			_, err = c.Do(t.Context(), PathBook, &booking)
			is.True(errors.As(err, &e))
			is.True(e.Unrun) // the connection is used up: certainly not sent
			is.Equal(u.parts.Load(), tt.parts)
		})
	}
}

// TestDeadIdleConnection sends over a connection that the upstream closed
// while it was idle: the transport's own trap for a second send.
func TestDeadIdleConnection(t *testing.T) {
	is := is.New(t)
	u := &upstream{reply: func(w http.ResponseWriter, p *Part) { write(w, 200, good(p)) }}
	s := httptest.NewServer(u)
	defer s.Close()
	var d net.Dialer
	c, err := Open(t.Context(), strings.TrimPrefix(s.URL, "http://"), d.DialContext)
	is.NoErr(err)
	s.CloseClientConnections()
	_, err = c.Do(t.Context(), PathBook, &part)
	is.True(err != nil)
	is.Equal(u.parts.Load(), int32(0))
	is.True(c.Broken())
}

func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	c := open(t, &upstream{reply: func(http.ResponseWriter, *Part) { <-release }})
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, PathPart, &part)
	is.Equal(CauseOf(err), CauseLate)
	is.True(c.Broken()) // a late reply can't meet the next request
}

func FuzzReply(f *testing.F) {
	b, _ := json.Marshal(good(&part))
	f.Add(200, b)
	f.Add(503, []byte(`{"request":"r1","shard":3,"reason":"shed"}`))
	f.Add(200, []byte(`{"request":"r1","shard":3,"hits":null}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		resp := &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(string(body)))}
		re, err := read(t.Context(), resp, &part)
		if err == nil && (re.Request != part.Request || re.Shard != part.Shard || re.Snapshot != part.Snapshot) {
			t.Fatalf("took %+v", re)
		}
	})
}
