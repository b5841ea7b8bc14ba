package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store is a stand-in for the platform's metadata store: kinds, lists, watches and
// writes as in PROTOCOL.md. While it is down, its calls get no response.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event                      // all changes, in order
	changed  chan struct{}                // closed and replaced at each change
	down     bool
	era      uint64 // rises with each restore from a copy
	server   *http.Server
	address  string
}

// An object is one object in the store.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

// An event is one change of an object.
type event struct {
	kind    string
	Deleted bool
	Object  object
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 10, era: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), address: l.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// A storeCopy is a copy of a store.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
	events   []event
}

// backup copies the store.
func (s *store) backup() *storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{revision: s.revision, objects: make(map[string]map[string]object), events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// restore brings the store back from a copy: what was written since is lost, and its
// revisions are given out again.
func (s *store) restore(c *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects, s.events = c.revision, c.objects, c.events
	s.wake()
}

// setDown sets whether the store is down.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// wake wakes all watches. The mutex is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets or, with a nil spec, deletes an object. It reports false while the store is
// down.
func (s *store) write(kind, name string, spec any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(kind, name, spec)
	return true
}

// put is write with the mutex held.
func (s *store) put(kind, name string, spec any) {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	old, known := s.objects[kind][name]
	if spec == nil && !known || spec != nil && known && string(old.Spec) == string(b) {
		return
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: max(old.Meta.Created, 1)}, Spec: b}
	if spec == nil {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.events = append(s.events, event{kind: kind, Deleted: spec == nil, Object: o})
	s.wake()
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if down {
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name, body)
	}
}

// pageSize is the number of objects in a page of a list.
const pageSize = 50

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "CurrentRev": s.revision})
}

// watch waits for changes of a kind after a revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	unknown, era := since > s.revision, s.era
	s.mu.Unlock()
	if unknown {
		w.WriteHeader(http.StatusGone)
		return
	}
	for {
		events, revision, changed, quiet := s.since(kind, since)
		if len(events) == 0 || quiet {
			select {
			case <-changed:
				s.endIfRestored(era)
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
			if quiet {
				<-r.Context().Done()
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
		return
	}
}

// endIfRestored ends a watch without an answer if the store has been restored since.
func (s *store) endIfRestored(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != era {
		panic(http.ErrAbortHandler)
	}
}

// since returns the changes of a kind after a revision, the store's revision, a channel
// that is closed at the next change, and whether watches hear nothing.
func (s *store) since(kind string, since uint64) (events []event, revision uint64, changed chan struct{}, quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []event{}
	for _, e := range s.events {
		if e.kind == kind && e.Object.Meta.Revision > since {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, s.down
}

// change serves POST, PUT and DELETE.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o object
	if len(body) > 0 && json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	old, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !known:
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Query().Has("Revision") && r.URL.Query().Get("Revision") != fmt.Sprint(old.Meta.Revision):
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.put(kind, name, nil)
		reply(w, http.StatusOK, old)
	default:
		s.put(kind, name, o.Spec)
		reply(w, http.StatusOK, s.objects[kind][name])
	}
}

// reply writes a response with a JSON body. An error means that the caller has gone.
func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
