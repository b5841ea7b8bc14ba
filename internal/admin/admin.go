// Package admin implements the operations of the command line for operators: it
// changes objects in the object API and waits until the fleet has them in force.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"bronzedoor.dev/bronzedoor/internal/daemon"
	"bronzedoor.dev/bronzedoor/internal/delay"
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// An Editor reads and changes objects in the object API.
type Editor struct {
	Store *store.Client
}

// An InvalidError holds all faults found in an object. The object was not written.
type InvalidError struct {
	Kind   object.Kind
	Name   string
	Faults []object.Problem
}

// Error returns the faults, one on each line, with the object's kind and name.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s %s: %s", e.Kind, e.Name, f))
	}
	return strings.Join(lines, "\n")
}

// Edit reads an object, calls change on it and writes the result. A missing object
// is passed to change as the zero value. It returns the revision of the write, or
// of the object if change made no difference. The error is store.ErrConflict if the
// object was written by another in between, and an *InvalidError if the result is
// invalid.
func Edit[T any](ctx context.Context, e *Editor, kind object.Kind, name string, change func(*T)) (uint64, error) {
	current, err := e.get(ctx, kind, name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	var v T
	if err == nil {
		if err := object.Decode(current.Body, &v); err != nil {
			return 0, fault.Wrap(err, "edit", e.Store.ObjectsAddr)
		}
	}
	change(&v)
	return Put(ctx, e, kind, name, current, &v)
}

// get reads an object. While the object API accepts no connections, as during its
// start, get retries until ctx ends.
func (e *Editor) get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	for {
		o, err := e.Store.Get(ctx, kind, name)
		if !isDialError(err) || !delay.Sleep(ctx, pollInterval) {
			return o, err
		}
	}
}

// isDialError reports whether err means that no connection could be opened, so that
// no request was sent and a retry is safe.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Put replaces an object by v. current is the object as read before; it is the zero
// Object if there was none. Results and errors are those of Edit.
func Put[T any](ctx context.Context, e *Editor, kind object.Kind, name string, current object.Object, v *T) (uint64, error) {
	next, err := object.Encode(kind, name, v)
	if err != nil {
		return 0, err
	}
	if f := object.Validate(next); len(f) > 0 {
		return 0, &InvalidError{Kind: kind, Name: name, Faults: f}
	}
	if string(next.Body) == string(current.Body) {
		return current.Revision, nil
	}
	next.Revision = current.Revision
	return e.Store.PutConfirmed(ctx, next)
}

// Remove deletes an object and returns the revision of the deletion. The error is
// store.ErrNotFound if there is no such object, or else that of store.Client.Put.
func (e *Editor) Remove(ctx context.Context, kind object.Kind, name string) (uint64, error) {
	current, err := e.get(ctx, kind, name)
	if err != nil {
		return 0, err
	}
	current.Deleted = true
	current.Body = nil
	return e.Store.Put(ctx, current)
}

// listPageSize is the most objects read in one call.
const listPageSize = 1000

// List returns the objects of a kind, sorted by name.
func (e *Editor) List(ctx context.Context, kind object.Kind) ([]object.Object, error) {
	var out []object.Object
	var since uint64
	for {
		l, err := e.Store.Changes(ctx, []object.Kind{kind}, since, listPageSize, 0)
		if err != nil {
			return nil, err
		}
		for _, o := range l.Objects {
			if !o.Deleted {
				out = append(out, o)
			}
		}
		if !l.More {
			break
		}
		since = l.Revision
	}
	slices.SortFunc(out, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// pollInterval is the time between two polls of the fleet's status, or two attempts
// to connect to the object API.
const pollInterval = 50 * time.Millisecond

// A StatusClient reads the status of daemons.
type StatusClient struct {
	HTTP   *http.Client
	Scheme string // "http" when empty
}

// Status returns the status of the daemon at an address, for callers or for peers.
func (c *StatusClient) Status(ctx context.Context, address string) (daemon.Status, error) {
	var s daemon.Status
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+address+query.PathStatus, nil)
	if err != nil {
		return s, fault.Wrap(err, "status", address)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return s, fault.Wrap(err, "status", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fault.New("status", address, "answered %s", resp.Status)
	}
	return s, fault.Wrap(json.NewDecoder(resp.Body).Decode(&s), "status", address)
}

// A LaggingDaemon is a live daemon that does not yet meet the condition of a Wait.
type LaggingDaemon struct {
	Identity string `json:"identity"`
	Reason   string `json:"reason"` // why not
}

// Wait reads the members of the fleet from the daemon at address and polls every
// live one until each has revision rev in force and, if ready is set, serves every
// service. It then returns no daemons and no error. If ctx ends first, it returns
// the result of the last poll: the daemons that lag, or the error if the daemon at
// address did not answer.
func (c *StatusClient) Wait(ctx context.Context, address string, rev uint64, ready bool) ([]LaggingDaemon, error) {
	for {
		lagging, err := c.laggingDaemons(ctx, address, rev, ready)
		if err == nil && len(lagging) == 0 {
			return nil, nil
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return lagging, err
		case <-t.C:
		}
	}
}

// laggingDaemons polls all live members once. A member that does not answer lags.
func (c *StatusClient) laggingDaemons(ctx context.Context, address string, rev uint64, ready bool) ([]LaggingDaemon, error) {
	first, err := c.Status(ctx, address)
	if err != nil {
		return nil, err
	}
	var out []LaggingDaemon
	for _, m := range first.Members {
		if m.State == "down" {
			continue
		}
		s, err := c.Status(ctx, peer.Address(m.Identity))
		switch {
		case err != nil:
			out = append(out, LaggingDaemon{Identity: m.Identity, Reason: err.Error()})
		case s.Revision < rev:
			out = append(out, LaggingDaemon{Identity: m.Identity, Reason: fmt.Sprintf("revision %d is in force", s.Revision)})
		case ready && len(s.Unserved) > 0:
			out = append(out, LaggingDaemon{Identity: m.Identity, Reason: "does not yet serve " + strings.Join(s.Unserved, ", ")})
		}
	}
	return out, nil
}
