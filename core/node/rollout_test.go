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

// TestQueueKeepsItsOrderAtTakeover answers more load at Takeover than the target can carry,
// while replicas of the old version are idle: the urgent class is served first, as it is
// without a rollout on the same replicas.
func TestQueueKeepsItsOrderAtTakeover(t *testing.T) {
	served := func(sim *routedSimulation) (urgent, rest float64) {
		share := func(name ident.RouteID) float64 {
			o := sim.outcomes[name]
			return float64(o.inGoal+o.partial+o.late) / float64(o.arrived)
		}
		first := sim.gatherRoute("urgent", 0, 300*time.Millisecond, 1, 0)
		last := sim.gatherRoute("archive", 0, 300*time.Millisecond, 1, 2)
		until := sim.now.Add(5 * time.Second)
		for _, load := range []workload{{route: first, ratePerSecond: 300}, {route: last, ratePerSecond: 1200}} {
			load.serviceTime, load.deadline = 10*time.Millisecond, 300*time.Millisecond
			sim.scheduleArrivals(&load, until)
		}
		sim.schedule(until.Add(time.Second), func() {
			sim.view.Services[0].Rollout = nil
			sim.core.Install(sim.now, sim.view)
		})
		sim.run()
		return share("urgent"), share("archive")
	}
	alone := rolloutSimulation(rollout.Takeover)
	alone.view.Services[0].Rollout = nil
	alone.view.Services[0].Replicas = alone.view.Services[0].Replicas[:2]
	alone.core.Install(alone.now, alone.view)
	urgentAlone, archiveAlone := served(alone)
	urgent, archive := served(rolloutSimulation(rollout.Takeover))
	t.Logf("urgent %.3f, archive %.3f; on the target's replicas alone %.3f, %.3f", urgent, archive, urgentAlone, archiveAlone)
	const tolerance = 0.05
	if urgent < urgentAlone-tolerance || archive < archiveAlone-tolerance {
		t.Error("the order of the queue is lost")
	}
}
