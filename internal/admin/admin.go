// Package admin is the operators' side: it changes objects in the object API
// and waits until the fleet has them in force.
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
	"bronzedoor.dev/bronzedoor/internal/fault"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/pace"
	"bronzedoor.dev/bronzedoor/internal/peer"
	"bronzedoor.dev/bronzedoor/internal/store"
	"bronzedoor.dev/bronzedoor/pkg/query"
)

// An Editor changes objects.
type Editor struct {
	Store *store.Client
}

// An Invalid error holds all that is wrong with an object. It was not written.
type Invalid struct {
	Kind   object.Kind
	Name   string
	Faults []object.Problem
}

// Error returns the faults, one a line.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s %s: %s", e.Kind, e.Name, f))
	}
	return strings.Join(lines, "\n")
}

// Edit reads an object, lets change edit it and writes it if nobody else has
// written it in between; else the error is store.ErrConflict. It returns the
// revision of the write, or of the object if change made no difference.
func Edit[T any](ctx context.Context, e *Editor, kind object.Kind, name string, change func(*T)) (uint64, error) {
	now, err := e.get(ctx, kind, name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	var v T
	if err == nil {
		if err := object.Decode(now.Body, &v); err != nil {
			return 0, fault.Wrap(err, "edit", e.Store.ObjectsAddr)
		}
	}
	change(&v)
	return Put(ctx, e, kind, name, now, &v)
}

// get reads an object. An object API that accepts no connections, as while it
// starts, is tried again until ctx ends.
func (e *Editor) get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	for {
		o, err := e.Store.Get(ctx, kind, name)
		if !unreached(err) || !pace.Sleep(ctx, pollEvery) {
			return o, err
		}
	}
}

// unreached reports whether an error is that of a connection that could not be
// opened, so that nothing was asked.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Put writes v over the state of an object that was read before.
func Put[T any](ctx context.Context, e *Editor, kind object.Kind, name string, now object.Object, v *T) (uint64, error) {
	next, err := object.Encode(kind, name, v)
	if err != nil {
		return 0, err
	}
	if f := object.Validate(next); len(f) > 0 {
		return 0, &Invalid{Kind: kind, Name: name, Faults: f}
	}
	if string(next.Body) == string(now.Body) {
		return now.Revision, nil
	}
	next.Revision = now.Revision
	return e.Store.PutConfirmed(ctx, next)
}

// Remove deletes an object.
func (e *Editor) Remove(ctx context.Context, kind object.Kind, name string) (uint64, error) {
	now, err := e.get(ctx, kind, name)
	if err != nil {
		return 0, err
	}
	now.Deleted = true
	now.Body = nil
	return e.Store.Put(ctx, now)
}

// listPage is the number of objects that are read at a time.
const listPage = 1000

// List returns the objects of a kind by name.
func (e *Editor) List(ctx context.Context, kind object.Kind) ([]object.Object, error) {
	var out []object.Object
	var since uint64
	for {
		l, err := e.Store.Changes(ctx, []object.Kind{kind}, since, listPage, 0)
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

// pollEvery is the time between two looks at a daemon, or two tries to reach
// the object API.
const pollEvery = 50 * time.Millisecond

// A Watcher asks daemons for their status.
type Watcher struct {
	HTTP   *http.Client
	Scheme string // "http" when empty
}

// Status returns the status of the daemon at an address.
func (w *Watcher) Status(ctx context.Context, address string) (daemon.Status, error) {
	var s daemon.Status
	scheme := w.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+address+query.PathStatus, nil)
	if err != nil {
		return s, fault.Wrap(err, "status", address)
	}
	resp, err := w.HTTP.Do(req)
	if err != nil {
		return s, fault.Wrap(err, "status", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fault.New("status", address, "answered %s", resp.Status)
	}
	return s, fault.Wrap(json.NewDecoder(resp.Body).Decode(&s), "status", address)
}

// A Lag is a daemon that is not where an operator wants it.
type Lag struct {
	Identity string `json:"identity"`
	Reason   string `json:"reason"`
}

// Wait asks the daemon at address for the fleet, and then every live daemon,
// until each of them has the revision in force and, if ready is set, serves
// every service. When ctx ends first it returns those that lag.
func (w *Watcher) Wait(ctx context.Context, address string, rev uint64, ready bool) ([]Lag, error) {
	for {
		lags, err := w.lags(ctx, address, rev, ready)
		if err == nil && len(lags) == 0 {
			return nil, nil
		}
		t := time.NewTimer(pollEvery)
		select {
		case <-ctx.Done():
			t.Stop()
			return lags, err
		case <-t.C:
		}
	}
}

func (w *Watcher) lags(ctx context.Context, address string, rev uint64, ready bool) ([]Lag, error) {
	first, err := w.Status(ctx, address)
	if err != nil {
		return nil, err
	}
	var out []Lag
	for _, m := range first.Members {
		if m.State == "down" {
			continue
		}
		s, err := w.Status(ctx, peer.Address(m.Identity))
		switch {
		case err != nil:
			out = append(out, Lag{Identity: m.Identity, Reason: err.Error()})
		case s.Revision < rev:
			out = append(out, Lag{Identity: m.Identity, Reason: fmt.Sprintf("revision %d is in force", s.Revision)})
		case ready && len(s.Unserved) > 0:
			out = append(out, Lag{Identity: m.Identity, Reason: "does not yet serve " + strings.Join(s.Unserved, ", ")})
		}
	}
	return out, nil
}
