package route

import (
	"math/rand/v2"
	"sync"
)

// A Splitter splits the requests of each route among its services by weight. It
// uses smooth weighted round-robin, so that the shares hold over short runs of
// requests too. The zero value is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	states map[string]*splitState // by route name
}

// A splitState is the round-robin state of one route.
type splitState struct {
	version uint64
	credits []float64 // by index in Route.Split; see Next
}

// Next returns the service for the next request on r, a route of t. Each call adds
// the weights to the credits, and charges the service with the highest credit.
func (s *Splitter) Next(t *Table, r *Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(t, r)
	sum, best := 0.0, 0
	for i, w := range r.Split {
		st.credits[i] += w.Weight
		sum += w.Weight
		if st.credits[i] > st.credits[best] {
			best = i
		}
	}
	st.credits[best] -= sum
	return r.Split[best].Service
}

// state returns the state of a route. Each version of the table has a new state,
// with random initial credits, so that daemons do not choose in lockstep.
func (s *Splitter) state(t *Table, r *Route) *splitState {
	if s.states == nil {
		s.states = make(map[string]*splitState)
	}
	st := s.states[r.Name]
	if st != nil && st.version == t.Version && len(st.credits) == len(r.Split) {
		return st
	}
	s.dropStale(t)
	st = &splitState{version: t.Version, credits: make([]float64, len(r.Split))}
	for i, w := range r.Split {
		st.credits[i] = rand.Float64() * w.Weight
	}
	s.states[r.Name] = st
	return st
}

// dropStale deletes the state of other versions than t's, so that the state of
// removed routes does not accumulate.
func (s *Splitter) dropStale(t *Table) {
	for name, st := range s.states {
		if st.version != t.Version {
			delete(s.states, name)
		}
	}
}
