package node_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/tenant"
)

// hotFactor is by how much the load of a hot tenant exceeds its usual one.
const hotFactor = 7.5

// A tenantLoad is the load of one VM with several tenants, of which tenant 0 may be hot.
type tenantLoad struct {
	tenants int
	// rate is the usual number of requests of one tenant a second: a third urgent searches,
	// the rest fuzzy ones.
	rate float64
	// archiveRate is the number of requests of one tenant a second for the archive, the
	// least urgent ones.
	archiveRate float64
	hot         bool
	// hotRanked is true if the hot tenant has the first rank on all routes.
	hotRanked bool
	// hotFailures is the share of the attempts of the hot tenant that fail.
	hotFailures float64
	// slow is the number of the three replicas of each shard that are slow.
	slow int
	// failures is the share of all attempts that fail.
	failures float64
	// places limits the queries in flight; 0 for the limit of the preset.
	places int
}

func (l tenantLoad) run(seed uint64) *routedSimulation {
	sim, loads := l.start(seed)
	sim.runLoads(loads...)
	return sim
}

// start returns the simulation and its workloads: of each tenant urgent, fuzzy and, if any,
// archive requests.
func (l tenantLoad) start(seed uint64) (*routedSimulation, []*workload) {
	sim := newRoutedSimulation(seed, node.Routed(), 6, 3, 4)
	accounts := make([]tenant.Tenant, l.tenants)
	for i := range accounts {
		accounts[i].ID = ident.TenantID(fmt.Sprint("t", i))
	}
	accounts[0].Ranked = l.hotRanked
	sim.view.Tenants = tenant.NewTable(accounts)
	if l.places > 0 {
		sim.view.Preset.QueriesInFlight = l.places
	}
	sim.core.Install(sim.now, sim.view)
	for i := range len(sim.services) {
		for j, r := range sim.services[ident.ServiceID(fmt.Sprintf("s%d", i))] {
			r.failureShare = l.failures
			if (i+j)%3 < l.slow {
				r.slowdown = 8
			}
		}
	}
	urgent := sim.gatherRoute("urgent", 80*time.Millisecond, 1200*time.Millisecond, 0.85, 0)
	fuzzy := sim.gatherRoute("fuzzy", 300*time.Millisecond, 3*time.Second, 0.95, 1)
	archive := sim.gatherRoute("archive", 1500*time.Millisecond, 5*time.Second, 0.95, 2)
	var loads []*workload
	for i := range accounts {
		factor, failures := 1.0, 0.0
		if i == 0 && l.hot {
			factor, failures = hotFactor, l.hotFailures
		}
		loads = append(loads,
			&workload{route: urgent, ratePerSecond: factor * l.rate / 3, serviceTime: 9 * time.Millisecond},
			&workload{route: fuzzy, ratePerSecond: factor * l.rate * 2 / 3, serviceTime: 28 * time.Millisecond})
		if l.archiveRate > 0 {
			loads = append(loads, &workload{route: archive, ratePerSecond: factor * l.archiveRate, serviceTime: 28 * time.Millisecond})
		}
		for _, load := range loads {
			if load.account == nil {
				load.account, load.failureShare, load.deadline = &accounts[i], failures, load.route.Timeout
			}
		}
	}
	return sim, loads
}

// served returns the share of the requests of a tenant that got an answer.
func (sim *routedSimulation) served(i int) float64 {
	var sum outcomeCounts
	for key, o := range sim.ofTenants {
		if key.tenant == ident.TenantID(fmt.Sprint("t", i)) {
			sum.add(o)
		}
	}
	return float64(sum.inGoal+sum.late) / float64(max(sum.arrived, 1))
}

// maxMove is by how much the flood of one tenant may move the served share of another.
const maxMove = 0.02

// checkModestTenants runs a load with and without its hot tenant and checks that what the
// other tenants are served hardly moves.
func checkModestTenants(t *testing.T, load tenantLoad) {
	t.Helper()
	for seed := range uint64(3) {
		load.hot = false
		calm := load.run(seed)
		load.hot = true
		hot := load.run(seed)
		calm.reportFailures(t)
		hot.reportFailures(t)
		t.Logf("seed %d: tenant 0 is served %.3f, when hot %.3f", seed, calm.served(0), hot.served(0))
		for i := 1; i < load.tenants; i++ {
			before, after := calm.served(i), hot.served(i)
			t.Logf("seed %d: tenant %d is served %.3f, beside the hot one %.3f", seed, i, before, after)
			if math.Abs(after-before) > maxMove {
				t.Errorf("seed %d: the served share of tenant %d moves from %.3f to %.3f", seed, i, before, after)
			}
		}
	}
}

// TestHotTenantWithSlowReplicas answers a tenant that sends 7.5 times its usual while a
// third of the replicas is slow: more than the slots and the queues have room for.
func TestHotTenantWithSlowReplicas(t *testing.T) {
	checkModestTenants(t, tenantLoad{tenants: 6, rate: 30, slow: 1})
}

// TestHotTenantFillsPlaces answers a hot tenant whose queries fill the places for queries
// in flight.
func TestHotTenantFillsPlaces(t *testing.T) {
	checkModestTenants(t, tenantLoad{tenants: 6, rate: 30, slow: 1, places: 48})
}

// TestHotTenantSpendsRetries answers a hot tenant whose requests mostly fail and are
// retried, while some requests of all tenants need a retry.
func TestHotTenantSpendsRetries(t *testing.T) {
	checkModestTenants(t, tenantLoad{tenants: 6, rate: 15, hotFailures: 0.7, failures: 0.02})
}

// TestRetryAfterIsTheTurnOfTheTenant answers refusals while the requests of a hot tenant
// fill the queues: each caller is asked to return when its own tenant's turn comes, and the
// log says whose turn it was.
func TestRetryAfterIsTheTurnOfTheTenant(t *testing.T) {
	sim, loads := tenantLoad{tenants: 2, rate: 10}.start(1)
	sim.runLoads(loads...)
	hot, modest := *loads[1], *loads[3]
	for range 60 {
		sim.arrive(&hot)
	}
	// No slot is free: requests without time to wait are refused.
	hot.deadline, modest.deadline = time.Millisecond, time.Millisecond
	sim.arrive(&hot)
	sim.arrive(&modest)
	ofHot, ofModest := sim.ofTenants[tenantRoute{"t0", "fuzzy"}], sim.ofTenants[tenantRoute{"t1", "fuzzy"}]
	t.Logf("hot: %v, %s", ofHot.minRetryAfter, ofHot.detail)
	t.Logf("modest: %v, %s", ofModest.minRetryAfter, ofModest.detail)
	if ofModest.refused != 1 || ofHot.refused != 1 || ofModest.minRetryAfter >= ofHot.minRetryAfter {
		t.Errorf("%d refusals with Retry-After %v of the modest tenant, %d with %v of the hot one",
			ofModest.refused, ofModest.minRetryAfter, ofHot.refused, ofHot.minRetryAfter)
	}
	for _, want := range []string{`tenant "t0"`, "rank 1 of 3", "holds 60 places", "48 queued before its turn"} {
		if !strings.Contains(ofHot.detail, want) {
			t.Errorf("the refusal's detail %q lacks %q", ofHot.detail, want)
		}
	}
	if want := " 1 queued before its turn"; !strings.Contains(ofModest.detail, want) {
		t.Errorf("the refusal's detail %q lacks %q", ofModest.detail, want)
	}
	sim.run()
	sim.reportFailures(t)
}

// TestClassesUnderContention answers more load of all tenants than the replicas can serve:
// the more urgent class is served better, and the last one does not starve.
func TestClassesUnderContention(t *testing.T) {
	sim := tenantLoad{tenants: 6, rate: 60, archiveRate: 40, slow: 1}.run(1)
	sim.reportFailures(t)
	var all outcomeCounts
	share := func(o *outcomeCounts) float64 { return float64(o.inGoal+o.late) / float64(o.arrived) }
	for _, r := range []ident.RouteID{"urgent", "fuzzy", "archive"} {
		all.add(sim.outcomes[r])
		t.Logf("%s: %+v", r, *sim.outcomes[r])
	}
	urgent, fuzzy, archive := share(sim.outcomes["urgent"]), share(sim.outcomes["fuzzy"]), share(sim.outcomes["archive"])
	t.Logf("served: urgent %.3f, fuzzy %.3f, archive %.3f, all %.3f", urgent, fuzzy, archive, share(&all))
	if urgent < fuzzy || fuzzy < archive {
		t.Errorf("a less urgent class is served better: urgent %.3f, fuzzy %.3f, archive %.3f", urgent, fuzzy, archive)
	}
	if archive < share(&all)/4 {
		t.Errorf("the archive is served %.3f, less than a quarter as often as all (%.3f)", archive, share(&all))
	}
}

// TestRetriesOfClassesUnderContention answers more failures than the quota has retries for:
// the more urgent class gets more of them, though the others have more time to wait for one.
func TestRetriesOfClassesUnderContention(t *testing.T) {
	for seed := range uint64(3) {
		sim := tenantLoad{tenants: 6, rate: 15, archiveRate: 5, failures: 0.3}.run(seed)
		sim.reportFailures(t)
		var all outcomeCounts
		share := func(r ident.RouteID) float64 {
			o := sim.outcomes[r]
			all.add(o)
			return float64(o.inGoal+o.late) / float64(o.arrived)
		}
		urgent, fuzzy, archive := share("urgent"), share("fuzzy"), share("archive")
		t.Logf("seed %d: served: urgent %.3f, fuzzy %.3f, archive %.3f", seed, urgent, fuzzy, archive)
		if archive < float64(all.inGoal+all.late)/float64(all.arrived)/4 {
			t.Errorf("seed %d: the archive is served %.3f, less than a quarter as often as all (%+v)", seed, archive, all)
		}
		if urgent < fuzzy || fuzzy < archive {
			t.Errorf("seed %d: a less urgent class is served better: urgent %.3f, fuzzy %.3f, archive %.3f", seed, urgent, fuzzy, archive)
		}
	}
}

// TestHotTenantOfTheFirstRank answers a hot tenant whose priority is above that of the
// others and that alone wants more than all slots: the others do not starve.
func TestHotTenantOfTheFirstRank(t *testing.T) {
	load := tenantLoad{tenants: 6, rate: 90, slow: 1, hot: true, hotRanked: true}
	for seed := range uint64(2) {
		sim := load.run(seed)
		sim.reportFailures(t)
		var all outcomeCounts
		for _, o := range sim.outcomes {
			all.add(o)
		}
		share := float64(all.inGoal+all.late) / float64(all.arrived)
		for key, o := range sim.ofTenants {
			served := float64(o.inGoal+o.late) / float64(o.arrived)
			t.Logf("seed %d: %s of tenant %s are served %.3f, all %.3f", seed, key.route, key.tenant, served, share)
			if served < share/4 {
				t.Errorf("seed %d: %s of tenant %s are served %.3f, less than a quarter as often as all (%.3f)", seed, key.route, key.tenant, served, share)
			}
		}
	}
}
