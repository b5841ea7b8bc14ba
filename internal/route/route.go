// Package route holds the routing table: which requests exist, which services
// may answer them, and within what limits. A table is one version of the
// configuration and is never changed once it is made.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// A Weight is a service's part of the requests of a route.
type Weight struct {
	Service string
	Weight  float64 // above 0; parts are weighed against their sum
}

// A Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash

	Service string   // the only service; empty if Split or Shards is set
	Split   []Weight // services that share the requests
	Shards  []string // services of which each gives a part of the answer

	Top   int     // records in a merged answer
	Least float64 // least share of the shards in an answer, from 0 to 1

	Repeatable bool          // the request may run more than once
	Attempts   int           // upstreams on which a request, or its part, may run; at least 1
	Timeout    time.Duration // longest wait of a caller; 0 sets none
	Target     time.Duration // latency objective; 0 sets none
	Rank       int           // 0 is the most urgent
	Regions    []string      // where the request may be served; empty allows all
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Gathers reports whether answers are merged from the parts of many shards.
func (r *Route) Gathers() bool {
	return len(r.Shards) > 0
}

// A Service is a set of upstreams that answer alike.
type Service struct {
	Name     string
	Health   string        // path that tells an upstream's health
	Conns    int           // connections that an upstream accepts, from all daemons; 0 is unknown
	Cold     time.Duration // how long an upstream is cold after its start
	ColdRate float64       // requests a second that a cold upstream bears; 0 sets no bound
}

// Limits bound what a caller may send.
type Limits struct {
	Header     int           // bytes of a request's header
	Body       int           // bytes of a request's body
	HeaderWait time.Duration // for the whole header
	IdleWait   time.Duration // between two requests on a connection
}

// A Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string][]*Route // by host, longest prefix first
	services map[string]*Service
}

// New returns a table with its indexes made.
func New(t Table) *Table {
	t.hosts = make(map[string][]*Route)
	t.services = make(map[string]*Service)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return &t
}

// Match returns the route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns what is configured for a service, or an empty one.
func (t *Table) Service(name string) Service {
	if s := t.services[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}
