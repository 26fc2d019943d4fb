package node_test

import (
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/rollout"
)

// rolloutSimulation returns a simulation in which two of four replicas run the target.
func rolloutSimulation(step rollout.Step) *routedSimulation {
	sim := newRoutedSimulation(1, node.Routed(), 1, 4, 4)
	sim.view.Services[0].Rollout = &rollout.Plan{Order: rollout.OrderID{Number: 1, Target: "v2"}, Step: step, Share: 0.1, Allowance: 10}
	for i := range 2 {
		sim.view.Services[0].Replicas[i].Software = "v2"
	}
	sim.core.Install(sim.now, sim.view)
	return sim
}

// TestAttemptsFollowThePlan answers a steady load with replicas that pause: hedges and
// retries included, the target gets at most its share and the allowance, all at Takeover,
// and nothing while it is held.
func TestAttemptsFollowThePlan(t *testing.T) {
	for step, check := range map[rollout.Step]func(target, all int) bool{
		rollout.Held:     func(target, _ int) bool { return target == 0 },
		rollout.Canary:   func(target, all int) bool { return target > all/40 && float64(target) <= 0.1*float64(all)+10 },
		rollout.Half:     func(target, all int) bool { return target > all/15 && float64(target) <= 0.1*float64(all)+10 },
		rollout.Takeover: func(target, all int) bool { return target == all },
	} {
		sim := rolloutSimulation(step)
		sim.setPauses(4*time.Second, 150*time.Millisecond)
		r := sim.gatherRoute("sweep", 150*time.Millisecond, time.Second, 1, 0)
		sim.scheduleArrivals(&workload{route: r, ratePerSecond: 100, serviceTime: 10 * time.Millisecond, deadline: time.Second}, sim.now.Add(20*time.Second))
		// The timer of the reports never ends, so that run would not return.
		sim.schedule(sim.now.Add(25*time.Second), func() {
			sim.view.Services[0].Rollout = nil
			sim.core.Install(sim.now, sim.view)
		})
		sim.run()
		target, all := 0, 0
		for i, replica := range sim.services["s0"] {
			all += replica.arrivals
			if i < 2 {
				target += replica.arrivals
			}
		}
		if all < 1500 || !check(target, all) {
			t.Errorf("%v: the target got %d of %d attempts", step, target, all)
		}
		if len(sim.failures) > 0 {
			t.Errorf("%v: %v", step, sim.failures)
		}
	}
}

// TestReportsSurviveANewOrder checks that a new order leaves one chain of reports, and that
// a service that is removed leaves none.
func TestReportsSurviveANewOrder(t *testing.T) {
	sim := rolloutSimulation(rollout.Canary)
	for n := range 5 {
		plan := *sim.view.Services[0].Rollout
		plan.Order.Number = rollout.OrderNumber(2 + n)
		sim.view.Services[0].Rollout = &plan
		sim.core.Install(sim.now, sim.view)
	}
	reports := 0
	for end := sim.now.Add(2 * time.Second); sim.core.Wake() < end; {
		sim.now = sim.core.Wake()
		sim.core.Tick(sim.now)
		reports += len(sim.core.Drain(nil))
	}
	if reports < 8 || reports > 10 {
		t.Errorf("%d reports in 2 s", reports)
	}
	sim.view.Services = nil
	sim.core.Install(sim.now, sim.view)
	sim.core.Tick(sim.now.Add(time.Second))
	if sim.core.Wake() != ident.Never {
		t.Error("a removed service is still reported")
	}
}
