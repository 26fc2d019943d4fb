// Package route decides which route a request takes, and to which services a
// route sends it.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Route is one rule of the operators' configuration.
type Route struct {
	Name ident.RouteID
	// Host is matched without its port, Prefix against the path; a prefix
	// begins and ends with a slash.
	Host, Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Gather is true for a search over every service of its one target; else
	// a target holds exactly one service.
	Gather bool
	// Top is the number of records of a gathered answer; 0 for all.
	Top int
	// LeastCoverage is the least share of the shards that an answer holds.
	LeastCoverage ident.Share
	// Timeout bounds the time that a request is kept waiting; 0 for no bound.
	Timeout time.Duration
	// Goal is the latency objective; 0 for none.
	Goal time.Duration
	// Rank is the priority, 0 the highest.
	Rank int
	// Attempts bounds the replicas that one request may run on, for each shard.
	Attempts int
	// Targets are where requests go; weights are above 0.
	Targets []Target
}

// A Target is one part of a split.
type Target struct {
	Services []ident.ServiceID
	Weight   float64
}

// Limits bound what a caller may send. A zero field sets no bound.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// A Table holds the routes of one version of the configuration. It is never
// written after it is made. The zero value has no routes.
type Table struct {
	// hosts holds each host's routes, the longest prefix first.
	hosts map[string][]*Route
	size  int
}

// NewTable returns the Table of the routes.
func NewTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}, size: len(routes)}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.size }

// Match returns the route of the longest prefix that begins the path, or nil.
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

// hostname cuts the port off a host.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
