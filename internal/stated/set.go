package stated

import (
	"sync"
	"time"
)

// A Key identifies an upstream process: one start of an upstream.
type Key struct {
	ID      string
	StartMs int64 // start of the process, in ms since the Unix epoch; 0 if unknown
}

// goneTTL is how long a process is remembered that is no longer registered. Its
// registration may be missing for a while, and an upstream that leaves goes on serving.
const goneTTL = 2 * time.Minute

// A Set holds the processes that are known. The zero value is empty. It is safe for
// concurrent use.
type Set struct {
	mu        sync.Mutex
	processes map[Key]*member
}

// A member is a process in a Set.
type member struct {
	Process
	goneAt time.Time // when its registration was removed; zero while it is registered
}

// Get returns the process with the key, which is registered from now on. What it said
// before its registration was last removed still holds.
func (s *Set) Get(k Key) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.processes == nil {
		s.processes = make(map[Key]*member)
	}
	m := s.processes[k]
	if m == nil {
		m = &member{}
		s.processes[k] = m
	}
	m.goneAt = time.Time{}
	return &m.Process
}

// Remove records that a process is no longer registered, and forgets those for which that
// was so long ago that they have ended.
func (s *Set) Remove(k Key, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.processes[k]; m != nil {
		m.goneAt = now
	}
	for other, m := range s.processes {
		if !m.goneAt.IsZero() && now.Sub(m.goneAt) > goneTTL {
			delete(s.processes, other)
		}
	}
}
