// Package route has the routing table: it maps requests to services and sets
// their limits. A table holds one version of the configuration and is immutable
// once it is made.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// A WeightedService is a service and its share of the requests of a route.
type WeightedService struct {
	Service string
	Weight  float64 // above 0; the share is Weight divided by the sum of weights
}

// A Route says how requests for one host and path prefix are served.
type Route struct {
	Name   string
	Host   string // lower case, without a port
	Prefix string // begins and ends with a slash

	Service string            // the only service; empty if Split or Shards is set
	Split   []WeightedService // services among which requests are split
	Shards  []string          // services that are all queried; each holds one shard

	TopK        int     // maximum number of records in a merged response
	MinCoverage float64 // minimum fraction of the shards in a merged response, from 0 to 1

	Idempotent    bool          // a request may be executed more than once
	MaxAttempts   int           // upstreams on which a request, or each shard request, may be executed; at least 1
	Timeout       time.Duration // maximum time until the caller gets a response; 0 sets none
	LatencyTarget time.Duration // latency objective; 0 sets none
	Priority      int           // 0 is the most urgent
	Regions       []string      // regions whose upstreams may serve requests; empty allows all
}

// AllowsRegion reports whether upstreams in region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Sharded reports whether requests fan out to shards and the responses are merged.
func (r *Route) Sharded() bool {
	return len(r.Shards) > 0
}

// A Service is a set of interchangeable upstreams.
type Service struct {
	Name         string
	HealthPath   string        // path of the health check
	MaxConns     int           // connections that an upstream accepts from all daemons together; 0 if unknown
	ColdDuration time.Duration // an upstream is cold for this long after its start
	ColdRate     float64       // requests per second that a cold upstream can take; 0 sets no limit
}

// Limits apply to the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int           // size of a request's header
	MaxBodyBytes   int           // size of a request's body
	HeaderTimeout  time.Duration // time to receive the whole header
	IdleTimeout    time.Duration // time between two requests on a connection
}

// A Table is one version of the routing configuration. Use New to make one.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	hosts    map[string][]*Route // by host, longest prefix first
	services map[string]*Service
}

// New returns a copy of t with the indexes that Match and Service need.
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

// Match returns the route of host whose prefix is the longest one that path begins
// with, or nil. host may have a port, and its case is ignored.
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

// Service returns the configuration of a service, or one with only the name set if
// there is none.
func (t *Table) Service(name string) Service {
	if s := t.services[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}
