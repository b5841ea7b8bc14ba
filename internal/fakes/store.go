// Package fakes has in-process fakes of the systems around the daemons: the object
// API, the VM list, upstreams and the network. The object API and the upstreams
// keep counts of their own, which tests check against.
package fakes

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"bronzedoor.dev/bronzedoor/internal/feed"
	"bronzedoor.dev/bronzedoor/internal/object"
	"bronzedoor.dev/bronzedoor/internal/store"
)

// maxValue is the largest value in bytes that the object API accepts.
const maxValue = 1 << 20

// StoreFaults says how a Store fails. The zero value has no faults.
type StoreFaults struct {
	Down         bool          // calls are answered with 503
	LoseReplies  float64       // share of writes that take effect but get no answer, from 0 to 1
	Delay        time.Duration // delay before each answer
	StallWatches bool          // watches are never answered
	StaleReads   bool          // reads return the state of the time when StaleReads was set
}

// Calls counts the calls to a Store.
type Calls struct {
	Reads   int
	Writes  int
	Watches int
}

type key struct {
	kind object.Kind
	name string
}

// A Store is an in-memory object API over HTTP. Use NewStore to create one.
type Store struct {
	mu           sync.Mutex
	rev          uint64
	restores     uint64
	objects      map[key]object.Object
	staleObjects map[key]object.Object // what reads return while StaleReads is set
	staleRev     uint64
	changed      chan struct{}
	faults       StoreFaults
	calls        Calls
	rnd          *rand.Rand
}

// NewStore returns an empty store whose lost answers are drawn from seed.
func NewStore(seed uint64) *Store {
	return &Store{
		objects: make(map[key]object.Object),
		changed: make(chan struct{}),
		rnd:     rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults sets how the store fails from now on.
func (s *Store) SetFaults(t StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.StaleReads && !s.faults.StaleReads {
		s.staleObjects = make(map[key]object.Object, len(s.objects))
		for k, o := range s.objects {
			s.staleObjects[k] = o
		}
		s.staleRev = s.rev
	}
	s.faults = t
}

// A StoreCopy is the contents of a Store at one time.
type StoreCopy struct {
	rev     uint64
	objects map[key]object.Object
}

// Copy returns a copy of the store's contents.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{rev: s.rev, objects: maps.Clone(s.objects)}
}

// Restore replaces the contents by a copy. Later revisions are given out again.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	s.rev = c.rev
	s.objects = maps.Clone(c.objects)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the revision of the newest write.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// ServeHTTP serves the object API below /v1/objects.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := s.countCall(r)
	s.mu.Lock()
	if s.restores > 0 {
		w.Header().Set(store.HeaderRestores, strconv.FormatUint(s.restores, 10))
	}
	s.mu.Unlock()
	if t.Delay > 0 {
		sleep(r, t.Delay)
	}
	if t.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects")
	if !ok {
		http.NotFound(w, r)
		return
	}
	if rest == "" {
		s.list(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	k := key{kind: object.Kind(kind), name: name}
	if r.Method == http.MethodGet {
		s.get(w, k)
		return
	}
	s.write(w, r, k)
}

func sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
	case <-t.C:
	}
}

func (s *Store) countCall(r *http.Request) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		s.calls.Writes++
	case r.URL.Query().Get("wait") != "" && r.URL.Query().Get("wait") != "0":
		s.calls.Watches++
	default:
		s.calls.Reads++
	}
	return s.faults
}

func (s *Store) get(w http.ResponseWriter, k key) {
	s.mu.Lock()
	objects := s.objects
	if s.faults.StaleReads {
		objects = s.staleObjects
	}
	o, ok := objects[k]
	tag := s.tag(o)
	s.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(tag))
	reply(w, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, k key) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	gone := r.Method == http.MethodDelete
	if !gone && !json.Valid(body) {
		http.Error(w, "value is not JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current := s.objects[k]
	if !matches(r, current, s.tag(current)) {
		s.mu.Unlock()
		http.Error(w, "conflict", http.StatusPreconditionFailed)
		return
	}
	s.rev++
	o := object.Object{Kind: k.kind, Name: k.name, Revision: s.rev, Deleted: gone, Body: body}
	s.objects[k] = o
	close(s.changed)
	s.changed = make(chan struct{})
	lost := s.rnd.Float64() < s.faults.LoseReplies
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, o)
}

// tag returns the ETag of an object. The mutex is held.
func (s *Store) tag(o object.Object) string {
	return feed.NewRevision(s.restores, o.Revision).String()
}

func matches(r *http.Request, current object.Object, tag string) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return current.Revision == 0 || current.Deleted
	}
	want, err := strconv.Unquote(r.Header.Get("If-Match"))
	return err == nil && !current.Deleted && want == tag
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("limit"))
	wait, _ := strconv.Atoi(q.Get("wait"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	kinds := strings.Split(q.Get("kinds"), ",")
	for {
		l, changed, stall := s.page(kinds, since, limit)
		if len(l.Objects) > 0 && !stall || wait == 0 {
			reply(w, l)
			return
		}
		if stall {
			changed = nil
		}
		select {
		case <-r.Context().Done():
			return
		case <-end.C:
			if !stall {
				reply(w, l)
				return
			}
			<-r.Context().Done()
			return
		case <-changed:
		}
	}
}

// page returns the objects of the given kinds that changed after revision since, at
// most limit if that is above 0, a channel that the next write closes, and whether
// watches stall.
func (s *Store) page(kinds []string, since uint64, limit int) (store.Page, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, rev := s.objects, s.rev
	if s.faults.StaleReads {
		objects, rev = s.staleObjects, s.staleRev
	}
	l := store.Page{Revision: rev}
	for k, o := range objects {
		if o.Revision > since && slices.Contains(kinds, string(k.kind)) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b object.Object) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	if limit > 0 && len(l.Objects) > limit {
		l.Objects = l.Objects[:limit]
		l.Revision = l.Objects[limit-1].Revision
		l.More = true
	}
	return l, s.changed, s.faults.StallWatches
}

func reply(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
