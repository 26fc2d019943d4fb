package node_test

import (
	"fmt"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/policy"
	"carawaycross.example/carawaycross/core/route"
)

// loadDuration is how long runLoads generates requests.
const loadDuration = 30 * time.Second

func (sim *routedSimulation) reportFailures(t *testing.T) {
	t.Helper()
	for _, f := range sim.failures {
		t.Error(f)
	}
}

// checkQuota checks that the extra attempts to each service over the whole run stay within
// the quotas of all its windows. The VM must be the only one.
func (sim *routedSimulation) checkQuota(t *testing.T) {
	t.Helper()
	for id, n := range sim.extraAttempts {
		firsts := 0
		for key := range sim.firstSent {
			if len(key) > len(id) && key[len(key)-len(id):] == string(id) {
				firsts++
			}
		}
		windows := float64(loadDuration/(10*time.Second)) + 1
		if maxExtra := 0.2*float64(firsts) + 52*windows; float64(n) > maxExtra {
			t.Errorf("%s got %d extra and %d first attempts, allowed are %.0f extra ones", id, n, firsts, maxExtra)
		}
	}
}

// urgent returns the urgent searches that one of four VMs receives.
func (sim *routedSimulation) urgent() *workload {
	return &workload{
		route:         sim.gatherRoute("urgent", 60*time.Millisecond, 600*time.Millisecond, 0.75, 2),
		ratePerSecond: 11, serviceTime: 7 * time.Millisecond, deadline: 600 * time.Millisecond,
	}
}

// sweep returns the longer searches that one of four VMs receives.
func (sim *routedSimulation) sweep() *workload {
	return &workload{
		route:         sim.gatherRoute("sweep", 150*time.Millisecond, 1500*time.Millisecond, 0.89, 1),
		ratePerSecond: 34, serviceTime: 20 * time.Millisecond, deadline: 1500 * time.Millisecond,
	}
}

// runLoads runs the workloads together for loadDuration.
func (sim *routedSimulation) runLoads(workloads ...*workload) {
	until := sim.now.Add(loadDuration)
	for _, load := range workloads {
		sim.scheduleArrivals(load, until)
	}
	sim.run()
}

// TestSearchesDuringReplicaPauses checks that hedges hide pauses of replicas. Each replica
// is paused for 200 ms every 4.5 s, and an urgent search over ten shards has a goal of
// 60 ms.
func TestSearchesDuringReplicaPauses(t *testing.T) {
	urgentValue := func(p node.Policies) float64 {
		sim := newRoutedSimulation(1, p, 10, 3, 4)
		sim.setPauses(4500*time.Millisecond, 200*time.Millisecond)
		sim.runLoads(sim.urgent(), sim.sweep())
		sim.reportFailures(t)
		sim.checkQuota(t)
		return sim.outcomes["urgent"].meanValue()
	}
	withoutHedges := node.Routed()
	withoutHedges.HedgeDelay = policy.Func[node.HedgeInput, time.Duration](func(node.HedgeInput) time.Duration { return 0 })
	hedged, unhedged := urgentValue(node.Routed()), urgentValue(withoutHedges)
	t.Logf("mean value: %.3f with hedges, %.3f without", hedged, unhedged)
	if hedged < 0.98 {
		t.Errorf("mean value %.3f of the urgent searches, expected 0.98", hedged)
	}
	if unhedged > hedged {
		t.Errorf("hedges lower the mean value, which is %.3f without", unhedged)
	}
}

// TestManyReplicasSlow checks that searches avoid slow replicas. One replica in six, over
// all shards, takes eight times as long during the whole run, but not all of a shard: no
// choice of replica could then be in time.
func TestManyReplicasSlow(t *testing.T) {
	for seed := range uint64(10) {
		sim := newRoutedSimulation(seed, node.Routed(), 10, 3, 4)
		sim.setPauses(4500*time.Millisecond, 200*time.Millisecond)
		slow := map[int]int{}
		// The order is fixed, so that a seed always gives the same run.
		for _, n := range sim.random.Perm(30) {
			if slow[n/3] < 2 && len(slow) < 5 {
				slow[n/3]++
				sim.services[ident.ServiceID(fmt.Sprintf("s%d", n/3))][n%3].slowdown = 8
			}
		}
		sim.runLoads(sim.urgent(), sim.sweep())
		sim.reportFailures(t)
		sim.checkQuota(t)
		for name, o := range sim.outcomes {
			if o.meanValue() < 0.95 {
				t.Errorf("seed %d, %s: mean value %.3f, expected 0.95 (%d partial, %d late, %d failed)", seed, name, o.meanValue(), o.partial, o.late, o.failed)
			}
		}
	}
}

// TestSilentShard checks that searches are answered with the other shards at the goal, and
// not at the deadline, when no replica of one shard replies.
func TestSilentShard(t *testing.T) {
	sim := newRoutedSimulation(3, node.Routed(), 10, 3, 4)
	for _, r := range sim.services["s4"] {
		r.silent = true
	}
	sim.runLoads(sim.urgent(), sim.sweep())
	sim.reportFailures(t)
	sim.checkQuota(t)
	// The answers lack one of ten shards, so meanValue cannot be used.
	for name, o := range sim.outcomes {
		if o.inGoal < o.arrived*95/100 {
			t.Errorf("%s: %d of %d within the goal", name, o.inGoal, o.arrived)
		}
	}
}

// TestLostRepliesRunOnce checks that requests that are not repeatable run at most once
// when replies are lost. Half of the replicas lose a third of their replies after they ran
// the request, and the others shed 0.2 of the requests.
func TestLostRepliesRunOnce(t *testing.T) {
	sim := newRoutedSimulation(4, node.Routed(), 1, 12, 3)
	for i, r := range sim.services["s0"] {
		if i%2 == 0 {
			r.lossShare = 0.33
		} else {
			r.shedShare = 0.2
		}
	}
	load := &workload{
		route: &route.Route{
			Name: "order", Goal: 600 * time.Millisecond, Timeout: 6 * time.Second, Attempts: 2, Rank: 2,
			Targets: []route.Target{{Services: []ident.ServiceID{"s0"}, Weight: 1}},
		},
		ratePerSecond: 20, serviceTime: 160 * time.Millisecond, deadline: 6 * time.Second,
	}
	sim.runLoads(load)
	sim.reportFailures(t)
	o := sim.outcomes["order"]
	if o.arrived < 400 || o.inGoal+o.late+o.failed+o.refused != o.arrived {
		t.Fatalf("of %d requests %d served, %d late, %d failed, %d refused", o.arrived, o.inGoal, o.late, o.failed, o.refused)
	}
	if served := float64(o.inGoal+o.late) / float64(o.arrived); served < 0.85 {
		t.Errorf("%.3f served, expected 0.85: replicas that lose replies are to be avoided", served)
	}
}

// TestOverload checks that under three times the replicas' capacity the route with the
// higher priority is served at least as well as the other, most of the capacity is used,
// and refusals are sent early.
func TestOverload(t *testing.T) {
	sim := newRoutedSimulation(5, node.Routed(), 1, 3, 4)
	newWorkload := func(name ident.RouteID, rank int) *workload {
		return &workload{
			route: &route.Route{
				Name: name, Goal: 150 * time.Millisecond, Timeout: 1500 * time.Millisecond, Attempts: 2, Rank: rank,
				Repeatable: true, Targets: []route.Target{{Services: []ident.ServiceID{"s0"}, Weight: 1}},
			},
			ratePerSecond: 900, serviceTime: 20 * time.Millisecond, deadline: 1500 * time.Millisecond,
		}
	}
	until := sim.now.Add(5 * time.Second)
	sim.scheduleArrivals(newWorkload("high", 0), until)
	sim.scheduleArrivals(newWorkload("low", 2), until)
	sim.run()
	sim.reportFailures(t)
	high, low := sim.outcomes["high"], sim.outcomes["low"]
	t.Logf("high: %d of %d within the goal, %d late, %d refused, %d failed; low: %d of %d within the goal, %d late, %d refused, %d failed",
		high.inGoal, high.arrived, high.late, high.refused, high.failed, low.inGoal, low.arrived, low.late, low.refused, low.failed)
	if high.meanValue() < low.meanValue() {
		t.Errorf("the route of higher priority has a lower mean value: %.2f against %.2f", high.meanValue(), low.meanValue())
	}
	// Twelve slots at 20 ms a request serve 600 requests a second, a third of the load.
	if got := float64(high.inGoal+low.inGoal) / 5; got < 400 {
		t.Errorf("%.0f answers a second within the goal, the capacity is 600", got)
	}
	if n := high.refused + low.refused; n > 0 {
		if meanTime := (high.refusalTime + low.refusalTime) / time.Duration(n); meanTime > 40*time.Millisecond {
			t.Errorf("requests were refused after %v on average", meanTime)
		}
	}
}

// TestTwoShardsShedLoad checks that the few extra attempts of the quota go to parts that
// decide whether a search can be answered. Every replica of two of ten shards sheds six in
// ten requests at random, and a search may lack one shard.
func TestTwoShardsShedLoad(t *testing.T) {
	sim := newRoutedSimulation(6, node.Routed(), 10, 3, 4)
	for _, s := range []ident.ServiceID{"s3", "s7"} {
		for _, r := range sim.services[s] {
			r.shedShare = 0.6
		}
	}
	sim.runLoads(sim.urgent(), sim.sweep())
	sim.reportFailures(t)
	sim.checkQuota(t)
	for name, o := range sim.outcomes {
		t.Logf("%s: %d arrived, %d within the goal, %d late, %d refused, %d failed, mean value %.3f", name, o.arrived, o.inGoal, o.late, o.refused, o.failed, o.meanValue())
	}
	// Without retries, 0.64 of the sweeps cover nine shards. With one retry of one of the
	// two parts in the others, 0.78 do.
	if o := sim.outcomes["sweep"]; float64(o.inGoal) < 0.78*float64(o.arrived) {
		t.Errorf("%d of %d sweeps were answered within their goal", o.inGoal, o.arrived)
	}
}

// TestTwoOverloadedShards checks that the queues of two overloaded shards do not make every
// search late. Two of ten shards have one replica each with less capacity than the load, and
// a search may lack one shard. Free slots must go to parts that decide whether a search can
// be answered, and to searches that can still meet their goal.
func TestTwoOverloadedShards(t *testing.T) {
	sim := newRoutedSimulation(7, node.Routed(), 10, 3, 4)
	for i := range sim.view.Services {
		if s := &sim.view.Services[i]; s.ID == "s3" || s.ID == "s7" {
			s.Replicas = s.Replicas[:1]
		}
	}
	sim.core.Install(sim.now, sim.view)
	urgent, sweep := sim.urgent(), sim.sweep()
	urgent.ratePerSecond, sweep.ratePerSecond = 66, 204
	sim.runLoads(urgent, sweep)
	sim.reportFailures(t)
	for name, o := range sim.outcomes {
		t.Logf("%s: %d arrived, %d within the goal, %d late, %d refused, %d failed", name, o.arrived, o.inGoal, o.late, o.refused, o.failed)
		if float64(o.inGoal) < 0.9*float64(o.arrived) {
			t.Errorf("%s: %d of %d within the goal", name, o.inGoal, o.arrived)
		}
	}
}

// TestCutOffZone checks MostlyUnserved and Retry-After in a zone that has no replicas and is
// cut off, so that requests find no upstream. MostlyUnserved must be false while requests
// are served, and when none arrive.
func TestCutOffZone(t *testing.T) {
	sim := newRoutedSimulation(8, node.Routed(), 4, 3, 4)
	load := sim.urgent()
	sim.outcomes["urgent"] = &outcomeCounts{}
	for range 10 {
		sim.arrive(load)
	}
	sim.run()
	if sim.core.MostlyUnserved(sim.now) {
		t.Fatal("mostly unserved while every request is served")
	}
	for i := range sim.view.Services {
		sim.view.Services[i].Replicas = nil
	}
	sim.core.Install(sim.now, sim.view)
	sim.now = sim.now.Add(2 * time.Second)
	for range 5 {
		sim.arrive(load)
	}
	sim.run()
	if !sim.core.MostlyUnserved(sim.now) {
		t.Fatal("not mostly unserved although no request found an upstream")
	}
	if retryAfter := sim.outcomes["urgent"].minRetryAfter; retryAfter >= time.Second {
		t.Errorf("Retry-After of a VM that is not set to cut off is %v", retryAfter)
	}
	// Once the VM is set to cut off, Retry-After must last until the load balancer has seen
	// two refusals, one second apart.
	sim.core.SetCutOff(true)
	sim.outcomes["urgent"] = &outcomeCounts{}
	for range 5 {
		sim.arrive(load)
	}
	sim.run()
	if retryAfter := sim.outcomes["urgent"].minRetryAfter; retryAfter < 2*time.Second || retryAfter > 3*time.Second {
		t.Errorf("Retry-After of a VM that is set to cut off is %v", retryAfter)
	}
	if sim.core.MostlyUnserved(sim.now.Add(2 * time.Second)) {
		t.Fatal("mostly unserved without requests")
	}
}

// TestHalfOfReplicasShedLoad checks that attempts go to replicas that do not shed load, also
// in other zones, so that the quota remains for shards without such replicas. Of 36 shards,
// half of the replicas shed four in ten requests at random, among them all replicas of four
// shards. A search may lack one shard, and one of 25 VMs uses each replica only once in 2 s.
func TestHalfOfReplicasShedLoad(t *testing.T) {
	var urgent, sweep outcomeCounts
	for seed := range uint64(30) {
		sim := newRoutedSimulation(seed, node.Routed(), 36, 3, 4)
		sim.setPauses(4500*time.Millisecond, 200*time.Millisecond)
		sim.shareLimits(25, 166)
		for i := range 36 {
			for j, r := range sim.services[ident.ServiceID(fmt.Sprintf("s%d", i))] {
				if i < 4 || j == i%3 || (i%4 == 0 && j == (i+1)%3) {
					r.shedShare = 0.4
				}
			}
		}
		urgentLoad, sweepLoad := sim.urgent(), sim.sweep()
		urgentLoad.ratePerSecond, sweepLoad.ratePerSecond = 1.1, 3.4
		urgentLoad.route.LeastCoverage, sweepLoad.route.LeastCoverage = 0.85, 0.95
		until := sim.now.Add(10 * time.Second)
		sim.scheduleArrivals(urgentLoad, until)
		sim.scheduleArrivals(sweepLoad, until)
		sim.run()
		sim.reportFailures(t)
		urgent.add(sim.outcomes["urgent"])
		sweep.add(sim.outcomes["sweep"])
	}
	t.Logf("urgent: %+v, mean value %.3f", urgent, urgent.meanValue())
	t.Logf("sweep: %+v, mean value %.3f", sweep, sweep.meanValue())
	// If 0.35 of the parts of the four shards are retried once, 0.81 of these parts are
	// covered, and at least three of the four in 0.83 of the searches.
	if float64(sweep.inGoal) < 0.83*float64(sweep.arrived) {
		t.Errorf("%d of %d sweeps were answered within their goal", sweep.inGoal, sweep.arrived)
	}
}

// TestCutOffZoneWithoutCapacity checks that MostlyUnserved is true in a zone that is cut off
// and whose own replicas have little capacity. Most requests are then refused because they
// would wait too long, and not for lack of an upstream.
func TestCutOffZoneWithoutCapacity(t *testing.T) {
	sim := newRoutedSimulation(10, node.Routed(), 4, 3, 4)
	load := sim.urgent()
	sim.scheduleArrivals(load, sim.now.Add(5*time.Second))
	sim.run()
	if sim.core.MostlyUnserved(sim.now) {
		t.Fatal("mostly unserved while every request is served")
	}
	for _, list := range sim.services {
		for _, r := range list {
			if r.zone == "z0" {
				r.slowdown = 100
			} else {
				r.silent = true
			}
		}
	}
	sim.outcomes["urgent"] = &outcomeCounts{}
	load.ratePerSecond = 60
	sim.scheduleArrivals(load, sim.now.Add(5*time.Second))
	sim.run()
	if o := sim.outcomes["urgent"]; o.refused+o.failed < o.arrived/2 {
		t.Fatalf("%d of %d requests were refused or failed, the test needs half of them", o.refused+o.failed, o.arrived)
	}
	if !sim.core.MostlyUnserved(sim.now) {
		t.Fatal("not mostly unserved although most requests were not served")
	}
}

// checkRecovery sends requests for 20 s and checks that 0.98 of those that arrive after the
// given instant are answered within their goal.
func (sim *routedSimulation) checkRecovery(t *testing.T, from ident.Instant) {
	t.Helper()
	urgent, sweep := sim.urgent(), sim.sweep()
	until := sim.now.Add(20 * time.Second)
	sim.schedule(from, func() { sim.outcomes["urgent"], sim.outcomes["sweep"] = &outcomeCounts{}, &outcomeCounts{} })
	sim.scheduleArrivals(urgent, until)
	sim.scheduleArrivals(sweep, until)
	sim.run()
	sim.reportFailures(t)
	for name, o := range sim.outcomes {
		t.Logf("%s: %d arrived, %d within the goal, %d late, %d refused, %d failed", name, o.arrived, o.inGoal, o.late, o.refused, o.failed)
		if float64(o.inGoal) < 0.98*float64(o.arrived) {
			t.Errorf("%s: %d of %d within the goal", name, o.inGoal, o.arrived)
		}
	}
}

// TestRecoveryAfterReplicaPause checks that latencies measured while all replicas are paused
// for 3 s, longer than callers wait, do not last. Requests refused because of them yield no
// new measurements: a VM refused all requests of a route for 25 s.
func TestRecoveryAfterReplicaPause(t *testing.T) {
	sim := newRoutedSimulation(11, node.Routed(), 10, 3, 4)
	stall := sim.now.Add(3 * time.Second)
	for _, r := range sim.byID {
		r.pauseEvery, r.pauseFor = 24*time.Hour, 3*time.Second
		r.phase = r.pauseEvery - time.Duration(stall)%r.pauseEvery
	}
	sim.checkRecovery(t, stall.Add(5*time.Second))
}

// TestRecoveryAfterVMStall checks that a stall of the VM does not distort its latency
// measurements. It lasts 3 s, and all attempts in flight seem to have taken that long.
func TestRecoveryAfterVMStall(t *testing.T) {
	sim := newRoutedSimulation(11, node.Routed(), 10, 3, 4)
	sim.stallStart = sim.now.Add(5100 * time.Millisecond)
	sim.stallEnd = sim.stallStart.Add(3 * time.Second)
	sim.checkRecovery(t, sim.stallEnd.Add(200*time.Millisecond))
}

// TestSlowWorkIsNotRefusedAtIdleReplicas guards against refusals while slots are free: twelve
// replicas with three slots each serve requests that take up to three of four seconds.
func TestSlowWorkIsNotRefusedAtIdleReplicas(t *testing.T) {
	for _, work := range []time.Duration{160 * time.Millisecond, 1200 * time.Millisecond, 1700 * time.Millisecond, 2400 * time.Millisecond} {
		sim := newRoutedSimulation(1, node.Routed(), 1, 12, 3)
		sim.shareLimits(5, 52)
		load := &workload{
			route: &route.Route{
				Name: "order", Goal: 600 * time.Millisecond, Timeout: 4 * time.Second, Rank: 2, Attempts: 1, Targets: []route.Target{sim.allServices()},
			},
			ratePerSecond: 2, serviceTime: work, deadline: 4 * time.Second,
		}
		sim.runLoads(load)
		sim.reportFailures(t)
		if o := sim.outcomes["order"]; o.refused > 0 {
			t.Errorf("work of %v: %d of %d requests were refused", work, o.refused, o.arrived)
		}
	}
}
