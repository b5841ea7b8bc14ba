package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in one page of a list.
const pageSize = 50

// An event is one change of an object in the store.
type event struct {
	kind    string
	name    string
	rev     uint64
	deleted bool
	body    map[string]any
}

// A store is a stand-in for the platform's metadata store.
type store struct {
	rec     *record
	address string
	server  *http.Server

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]event // by kind and name
	history []event
	changed chan struct{}
	listed  map[string]time.Time // when the searchers were last listed, by the address of the store that was called
}

// newStore starts a store at a free port of ip.
func newStore(rec *record, ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, address: l.Addr().String(), rev: 100, objects: make(map[string]map[string]event), changed: make(chan struct{}), listed: make(map[string]time.Time)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// alias serves the store at one more port of ip, so that calls of one daemon can be told
// from those of others, and returns its address.
func (s *store) alias(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// lastListed returns when the searchers were last listed at an address of the store.
func (s *store) lastListed(address string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[address]
}

func (s *store) stop() {
	_ = s.server.Close()
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any, extra map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec, extra)
}

// register writes the entry of a searcher. It changes when more than Sequence changes.
func (s *store) register(name string, spec map[string]any, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.objects["servers"][name]; ok {
		old := maps.Clone(e.body["spec"].(map[string]any))
		old["Sequence"] = spec["Sequence"]
		if maps.Equal(old, spec) && e.body["born"] == born {
			return
		}
	}
	s.set("servers", name, spec, map[string]any{"born": born})
}

// set writes an object. The mutex is held.
func (s *store) set(kind, name string, spec any, extra map[string]any) event {
	s.rev++
	body := map[string]any{
		"meta": map[string]any{"Name": name, "Revision": s.rev, "Created": 1, "Finalizers": []string{}, "Deleting": false},
		"spec": spec, "status": nil,
	}
	for k, v := range extra {
		body[k] = v
	}
	e := event{kind: kind, name: name, rev: s.rev, body: body}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]event)
	}
	s.objects[kind][name] = e
	s.note(e)
	return e
}

// note adds an event to the history and wakes the watches. The mutex is held.
func (s *store) note(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes objects of a kind in one go.
func (s *store) remove(kind string, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		e, ok := s.objects[kind][name]
		if !ok {
			continue
		}
		delete(s.objects[kind], name)
		s.rev++
		e.rev = s.rev
		e.deleted = true
		s.note(e)
	}
}

// ServeHTTP serves the calls below /-/objects/.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveOne(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]any, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name].body)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "CurrentRev": s.rev})
	if a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && kind == "servers" {
		s.listed[a.String()] = time.Now()
	}
}

func (s *store) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.objects[kind][name]; ok {
		reply(w, http.StatusOK, e.body)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(ms, 30000))*time.Millisecond)
	defer cancel()
	for {
		events, rev, changed := s.since(kind, since)
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the events of a kind after a revision.
func (s *store) since(kind string, since uint64) ([]any, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []any{}
	for _, e := range s.history {
		if e.kind == kind && e.rev > since {
			events = append(events, map[string]any{"Deleted": e.deleted, "Object": e.body})
		}
	}
	return events, s.rev, s.changed
}

// serveWrite serves the writes of daemons.
func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Meta struct{ Name string } `json:"meta"`
		Spec any                   `json:"spec"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	if name == "" {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch r.Method {
	case http.MethodPost:
		if exists {
			reply(w, http.StatusConflict, old.body)
			return
		}
		reply(w, http.StatusOK, s.set(kind, name, in.Spec, nil).body)
	case http.MethodPut:
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if fmt.Sprint(old.body["spec"]) == fmt.Sprint(in.Spec) {
			reply(w, http.StatusOK, old.body)
			return
		}
		reply(w, http.StatusOK, s.set(kind, name, in.Spec, nil).body)
	default:
		// The cases need no deletion by daemons.
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
