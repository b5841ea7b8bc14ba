package route

import (
	"math/rand/v2"
	"sync"
)

// A Splitter deals the requests of each route to its services by weight. Each
// route's requests are dealt evenly, so that the shares hold over short spans
// too. The zero value is ready to use; it is safe for concurrent use.
type Splitter struct {
	mu    sync.Mutex
	turns map[string]*turn // by route name
}

// A turn is how far each service of a route is ahead of its share.
type turn struct {
	version uint64
	credit  []float64
}

// Next returns the service of the next request on r.
func (s *Splitter) Next(t *Table, r *Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.turn(t, r)
	sum, best := 0.0, 0
	for i, w := range r.Split {
		u.credit[i] += w.Weight
		sum += w.Weight
		if u.credit[i] > u.credit[best] {
			best = i
		}
	}
	u.credit[best] -= sum
	return r.Split[best].Service
}

// turn returns the state of a route, made anew for each version. It starts at
// a random point, so that the daemons are not in step.
func (s *Splitter) turn(t *Table, r *Route) *turn {
	if s.turns == nil {
		s.turns = make(map[string]*turn)
	}
	u := s.turns[r.Name]
	if u != nil && u.version == t.Version && len(u.credit) == len(r.Split) {
		return u
	}
	s.forget(t)
	u = &turn{version: t.Version, credit: make([]float64, len(r.Split))}
	for i, w := range r.Split {
		u.credit[i] = rand.Float64() * w.Weight
	}
	s.turns[r.Name] = u
	return u
}

// forget drops the state of older versions, so that routes that are gone leave
// nothing behind.
func (s *Splitter) forget(t *Table) {
	for name, u := range s.turns {
		if u.version != t.Version {
			delete(s.turns, name)
		}
	}
}
