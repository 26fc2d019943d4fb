package experiment

import (
	"strings"
	"time"

	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/proof/fleet"
)

// A Scenario is a fault under load.
type Scenario struct {
	Name string
	// Load is a multiple of the service's capacity.
	Load float64
	// SlowShare of all replies are slow from the start.
	SlowShare float64
	// Prepare acts before the warm-up, Act after it; either may be nil.
	Prepare, Act func(*fleet.Fleet) error
	// Settle is the time between Act and the measured span.
	Settle time.Duration
}

const (
	service       = "route-planner"
	serviceTime   = 20 * time.Millisecond
	shards        = 10
	replicas      = 3
	slots         = 4
	connections   = 35
	straggler     = "route-planner-3-1"
	slowdown      = 20
	slowShare     = 0.03
	ordinaryLoad  = 0.3
	queryDeadline = 600 * time.Millisecond
)

// capacity is the number of queries a second that the stand-ins can serve.
const capacity = slots * replicas * float64(time.Second/serviceTime)

func spec(slow float64) fleet.Spec {
	s := fleet.Association()
	s.Services = []fleet.ServiceSpec{{
		Name: service, Shards: shards, Replicas: replicas, Slots: slots, Connections: connections,
		ConnectionCost: 6 * time.Millisecond, ServiceTime: serviceTime, SlowShare: slow,
	}}
	return s
}

// Scenarios returns all scenarios, in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Load: ordinaryLoad},
		{Name: "slow-replies", Load: ordinaryLoad, SlowShare: slowShare},
		{Name: "straggler", Load: ordinaryLoad, SlowShare: slowShare, Prepare: slowOne},
		{Name: "upstream-crash", Load: ordinaryLoad, Act: closeOne},
		{Name: "cold-zone", Load: ordinaryLoad, Act: chillZone},
		{Name: "zone-loss", Load: ordinaryLoad, Act: closeZone},
		{Name: "load-1x", Load: 1},
		{Name: "load-2x", Load: 2},
		{Name: "load-5x", Load: 5},
	}
}

func slowOne(f *fleet.Fleet) error {
	f.Upstream(straggler).SetSlowdown(slowdown)
	return nil
}

func closeOne(f *fleet.Fleet) error { return f.Upstream(straggler).Close() }

func chillZone(f *fleet.Fleet) error {
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

// A PolicySet is a set of policies under a name.
type PolicySet struct {
	Name     string
	Policies node.Policies
}

// PolicySets returns the policies that are compared: the naive baseline, the
// product without hedges, without ejection, and the product.
func PolicySets() []PolicySet {
	unhedged := node.Policies{HedgeDelay: node.Baseline().HedgeDelay}
	kept := node.Policies{Eject: node.Baseline().Eject}
	return []PolicySet{
		{"baseline", node.Baseline()},
		{"no-hedge", unhedged},
		{"no-ejection", kept},
		{"product", node.Defaults()},
	}
}

// Select returns the values whose name is in the comma-separated list; all for
// an empty list.
func Select[T any](all []T, list string, name func(T) string) []T {
	if list == "" {
		return all
	}
	var out []T
	for _, v := range all {
		for want := range strings.SplitSeq(list, ",") {
			if name(v) == want {
				out = append(out, v)
			}
		}
	}
	return out
}
