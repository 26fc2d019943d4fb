package audit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/route"
)

func routePlace(rt *route.Route) string { return fmt.Sprintf("route %q", rt.Name) }

func (r *report) checkRoutes() {
	routes := r.configuration.Routes
	if len(routes) == 0 {
		r.add(Error, "routes", "there are none: every request is refused")
	}
	names := map[ident.RouteID]bool{}
	places := map[[2]string]ident.RouteID{}
	for i := range routes {
		rt := &routes[i]
		place := routePlace(rt)
		if rt.Name == "" || names[rt.Name] {
			r.add(Error, place, "the name is empty or used twice")
		}
		names[rt.Name] = true
		r.checkMatch(place, rt, places)
		r.checkTargets(place, rt)
		r.checkTimes(place, rt)
	}
}

// checkMatch reports a route that no request can match, or only few.
func (r *report) checkMatch(place string, rt *route.Route, places map[[2]string]ident.RouteID) {
	if rt.Host == "" {
		r.add(Error, place, "the host is empty")
	}
	if strings.ContainsAny(rt.Host, ":/ ") && !strings.HasPrefix(rt.Host, "[") {
		r.add(Error, place, "never matches: the host %q is compared without a port or path", rt.Host)
	}
	if rt.Host != strings.ToLower(rt.Host) {
		r.add(Warning, place, "the host %q only matches requests in the same case", rt.Host)
	}
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		r.add(Error, place, "the prefix %q does not begin and end with a slash", rt.Prefix)
	}
	if strings.ContainsAny(rt.Prefix, "?# ") {
		r.add(Error, place, "never matches: the prefix %q holds a character that no path holds", rt.Prefix)
	}
	key := [2]string{rt.Host, rt.Prefix}
	if first, taken := places[key]; taken {
		r.add(Error, place, "never matches: route %q has the same host and prefix", first)
		return
	}
	places[key] = rt.Name
}

func (r *report) checkTargets(place string, rt *route.Route) {
	if len(rt.Targets) == 0 {
		r.add(Error, place, "no target has a weight above 0")
	}
	for _, t := range rt.Targets {
		seen := map[ident.ServiceID]bool{}
		for _, id := range t.Services {
			switch {
			case id == "":
				r.add(Error, place, "a target names no service")
			case seen[id]:
				r.add(Error, place, "the service %q is listed twice", id)
			}
			seen[id] = true
			r.checkReplicas(place, rt, id)
		}
		if math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) {
			r.add(Error, place, "the weight %v is not a finite number", t.Weight)
		}
	}
	if rt.Gather {
		r.checkGather(place, rt)
	}
	if rt.Attempts > preset.MaxAttempts {
		r.add(Warning, place, "%d attempts: VMs make at most %d", rt.Attempts, preset.MaxAttempts)
	}
	if !rt.Repeatable && rt.Attempts > 1 {
		r.add(Warning, place, "%d attempts: a request that may not be repeated has one", rt.Attempts)
	}
}

func (r *report) checkReplicas(place string, rt *route.Route, id ident.ServiceID) {
	replicas := r.environment.Replicas
	if replicas == nil || id == "" {
		return
	}
	switch n := replicas[id]; {
	case n == 0:
		r.add(Error, place, "the service %q has no replica", id)
	case rt.Attempts > n && rt.Attempts <= preset.MaxAttempts:
		r.add(Warning, place, "%d attempts, but the service %q has %d replicas", rt.Attempts, id, n)
	}
}

func (r *report) checkGather(place string, rt *route.Route) {
	c := float64(rt.LeastCoverage)
	switch {
	case math.IsNaN(c) || c < 0 || c > 1:
		r.add(Error, place, "the least coverage is %v, allowed: 0 to 1", c)
	case c == 0:
		r.add(Warning, place, "the least coverage is 0: one shard makes an answer")
	}
	if rt.Top <= 0 {
		r.add(Warning, place, "an answer holds all records of all shards: there is no limit")
	}
}

func (r *report) checkTimes(place string, rt *route.Route) {
	if rt.Timeout <= 0 {
		r.add(Warning, place, "there is no time-out")
	}
	if rt.Goal <= 0 {
		r.add(Warning, place, "there is no latency goal: answers wait for all shards")
	}
	if rt.Timeout > 0 && rt.Goal > rt.Timeout {
		r.add(Error, place, "the goal %v is longer than the time-out %v", rt.Goal, rt.Timeout)
	}
	if rt.Rank < 0 {
		r.add(Warning, place, "the priority %d counts as 0", rt.Rank)
	}
}

func (r *report) checkServices() {
	used := r.usedServices()
	listed := map[ident.ServiceID]bool{}
	for _, s := range r.configuration.Services {
		place := fmt.Sprintf("service %q", s.ID)
		if listed[s.ID] {
			r.add(Error, place, "is listed twice")
		}
		listed[s.ID] = true
		if _, ok := used[s.ID]; !ok {
			r.add(Warning, place, "no route sends requests to it")
		}
		r.checkCapacity(place, &s)
	}
	for _, id := range slices.Sorted(maps.Keys(used)) {
		if id != "" && !listed[id] {
			r.add(Warning, routePlace(used[id]), "the service %q is not listed: VMs assume few connections", id)
		}
	}
}

// usedServices returns the first route to each service.
func (r *report) usedServices() map[ident.ServiceID]*route.Route {
	used := map[ident.ServiceID]*route.Route{}
	for i := range r.configuration.Routes {
		rt := &r.configuration.Routes[i]
		for _, t := range rt.Targets {
			for _, id := range t.Services {
				if used[id] == nil {
					used[id] = rt
				}
			}
		}
	}
	return used
}

func (r *report) checkCapacity(place string, s *catalogue.Service) {
	if s.Connections <= 0 {
		r.add(Error, place, "%d connections to a replica, at least 1 is required", s.Connections)
	}
	if s.ColdRate < 0 {
		r.add(Error, place, "the rate of a cold replica is %v, at least 0 is required", s.ColdRate)
	}
	if vms := r.environment.VMs; vms > 0 && s.Connections > 0 && s.Connections <= vms {
		r.add(Warning, place, "%d connections to a replica for %d VMs: only some VMs use each replica", s.Connections, vms)
	}
}
