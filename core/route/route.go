// Package route selects the route of a request and the services that a route sends
// it to.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Route is one routing rule of the operators' configuration.
type Route struct {
	Name ident.RouteID
	// Host is compared without its port, Prefix with the start of the path. A
	// prefix begins and ends with a slash.
	Host, Prefix string
	// Repeatable is true for idempotent requests, which may run more than once.
	Repeatable bool
	// Gather is true for a search over all services of the only target; otherwise
	// each target has exactly one service.
	Gather bool
	// Top limits the records of a gathered answer; 0 for all.
	Top int
	// LeastCoverage is the share of shards that an answer must at least cover.
	LeastCoverage ident.Share
	// Timeout limits how long a request waits for its answer; 0 for no limit.
	Timeout time.Duration
	// Goal is the latency objective; 0 for none.
	Goal time.Duration
	// Rank is the priority, 0 the highest.
	Rank int
	// Public is true if requests need no key although the configuration has tenants.
	Public bool
	// Attempts limits the number of replicas per shard that one request may run
	// on.
	Attempts int
	// Targets receive the requests in proportion to their weights, which are above
	// 0.
	Targets []Target
}

// A Target is one destination of a route with its weight in the traffic split.
type Target struct {
	Services []ident.ServiceID
	Weight   float64
}

// Limits restrict what a caller may send. A zero field sets no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// A Table holds the routes of one version of the configuration. It is immutable.
// The zero value has no routes.
type Table struct {
	// hosts maps each host to its routes, longest prefix first.
	hosts map[string][]*Route
	size  int
}

// NewTable returns a Table of the routes.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}, size: len(routes)}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.size }

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, r := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostname returns host without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
