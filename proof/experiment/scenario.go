package experiment

import (
	"strings"
	"time"

	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/proof/fleet"
)

// A Scenario is a load and an optional fault.
type Scenario struct {
	Name string
	// Load is a multiple of the service's capacity.
	Load float64
	// SlowShare is the share, from 0 to 1, of replies that are slow during the whole
	// run.
	SlowShare float64
	// BeforeWarmUp and AfterWarmUp inject the fault; either may be nil.
	BeforeWarmUp, AfterWarmUp func(*fleet.Fleet) error
	// Settle is the time between AfterWarmUp and the measured span.
	Settle time.Duration
}

const (
	service       = "route-planner"
	serviceTime   = 20 * time.Millisecond
	shards        = 10
	replicas      = 3
	slots         = 4
	connections   = 35
	stragglerName = "route-planner-3-1"
	slowdown      = 20
	slowShare     = 0.03
	ordinaryLoad  = 0.3
	queryDeadline = 600 * time.Millisecond
)

// capacity is the number of queries per second that the stand-ins can serve.
const capacity = slots * replicas * float64(time.Second/serviceTime)

func deployment(replySlowShare float64) fleet.Spec {
	s := fleet.Association()
	s.Services = []fleet.ServiceSpec{{
		Name: service, Shards: shards, Replicas: replicas, Slots: slots, Connections: connections,
		ConnectionCost: 6 * time.Millisecond, ServiceTime: serviceTime, SlowShare: replySlowShare,
	}}
	return s
}

// Scenarios returns all scenarios, in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Load: ordinaryLoad},
		{Name: "slow-replies", Load: ordinaryLoad, SlowShare: slowShare},
		{Name: "straggler", Load: ordinaryLoad, SlowShare: slowShare, BeforeWarmUp: slowDownStraggler},
		{Name: "upstream-crash", Load: ordinaryLoad, AfterWarmUp: closeStraggler},
		{Name: "cold-zone", Load: ordinaryLoad, AfterWarmUp: makeZoneCold},
		{Name: "zone-loss", Load: ordinaryLoad, AfterWarmUp: closeZone},
		{Name: "load-1x", Load: 1},
		{Name: "load-2x", Load: 2},
		{Name: "load-5x", Load: 5},
	}
}

func slowDownStraggler(f *fleet.Fleet) error {
	f.Upstream(stragglerName).SetSlowdown(slowdown)
	return nil
}

func closeStraggler(f *fleet.Fleet) error { return f.Upstream(stragglerName).Close() }

func makeZoneCold(f *fleet.Fleet) error {
	for _, u := range f.Upstreams {
		if f.Zone(u.Name()) == f.Spec.Zones[1] {
			u.MakeCold()
		}
	}
	return nil
}

func closeZone(f *fleet.Fleet) error {
	for _, u := range f.Upstreams {
		if f.Zone(u.Name()) == f.Spec.Zones[1] {
			if err := u.Close(); err != nil {
				return err
			}
		}
	}
	return nil
}

// A PolicySet is a named set of policies.
type PolicySet struct {
	Name     string
	Policies node.Policies
}

// PolicySets returns the sets of policies that are compared: the naive baseline,
// the product without hedging, the product without ejection, and the product.
func PolicySets() []PolicySet {
	noHedge := node.Policies{HedgeDelay: node.Baseline().HedgeDelay}
	noEjection := node.Policies{Eject: node.Baseline().Eject}
	return []PolicySet{
		{"baseline", node.Baseline()},
		{"no-hedge", noHedge},
		{"no-ejection", noEjection},
		{"product", node.Defaults()},
	}
}

// Select returns the values whose name is in the comma-separated names, or all
// values if names is empty.
func Select[T any](all []T, names string, name func(T) string) []T {
	if names == "" {
		return all
	}
	var out []T
	for _, v := range all {
		for want := range strings.SplitSeq(names, ",") {
			if name(v) == want {
				out = append(out, v)
			}
		}
	}
	return out
}
