package node_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/tenant"
	"carawaycross.example/carawaycross/core/view"
)

// A fakeReplica is a replica with slots, pauses and faults.
type fakeReplica struct {
	id   ident.ReplicaID
	zone ident.ZoneID
	// slotFreeAt holds the instant at which each slot becomes free.
	slotFreeAt []ident.Instant
	// In each interval of pauseEvery the replica is paused for pauseFor. The phase shifts
	// these intervals.
	phase, pauseEvery, pauseFor time.Duration
	// slowdown multiplies the service time.
	slowdown float64
	// A silent replica never replies.
	silent bool
	// Of the requests, lossShare run but lose their reply with the connection, failureShare
	// fail, and shedShare are shed.
	lossShare, failureShare, shedShare float64
	arrivals                           int
}

// An event is a function to call at an instant.
type event struct {
	due ident.Instant
	run func()
}

// An eventHeap orders events by their due instants.
type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].due < e[j].due }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A workload is the load of one route.
type workload struct {
	route         *route.Route
	ratePerSecond float64
	serviceTime   time.Duration
	deadline      time.Duration
	// account is the tenant that sends the requests; nil without tenants.
	account *tenant.Tenant
	// failureShare of its attempts fail, besides those that the replica fails.
	failureShare float64
}

// outcomeCounts counts the requests of a route or tenant by their outcome.
type outcomeCounts struct {
	arrived, inGoal, partial, late, refused, failed int
	// value sums the squared coverage of the answers within the goal.
	value float64
	// refusalTime sums the times from arrival to refusal.
	refusalTime time.Duration
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter time.Duration
	// detail is that of the last refusal.
	detail string
}

// meanValue returns the mean value of a request: the squared coverage of its answer, or 0
// without an answer within the goal.
func (o *outcomeCounts) meanValue() float64 { return o.value / float64(max(o.arrived, 1)) }

func (o *outcomeCounts) add(other *outcomeCounts) {
	o.arrived += other.arrived
	o.inGoal += other.inGoal
	o.partial += other.partial
	o.late += other.late
	o.refused += other.refused
	o.failed += other.failed
	o.value += other.value
}

// A routedSimulation runs the core of one VM with routed requests and fake replicas in
// virtual time.
type routedSimulation struct {
	core            *node.Core
	now             ident.Instant
	random          *rand.Rand
	events          eventHeap
	services        map[ident.ServiceID][]*fakeReplica
	byID            map[ident.ReplicaID]*fakeReplica
	view            *view.View
	requests        map[ident.QueryID]*request
	abortedAttempts map[ident.AttemptID]bool
	outcomes        map[ident.RouteID]*outcomeCounts
	// ofTenants has the outcomes by tenant and route.
	ofTenants map[tenantRoute]*outcomeCounts
	// runs counts how often each request ran on each service, and ran has the requests that
	// ran on any.
	runs map[string]int
	ran  map[string]bool
	// extraAttempts counts the retries and hedges per service.
	extraAttempts map[ident.ServiceID]int
	// firstSent holds each request and service for which an attempt was sent.
	firstSent   map[string]bool
	failures    []string
	lastRequest int
	// The VM is stalled from stallStart until stallEnd.
	stallStart, stallEnd ident.Instant
	buf                  []node.Action
}

// A request is a caller's request and the number of answers to it.
type request struct {
	workload  *workload
	arrivedAt ident.Instant
	messageID string
	answers   int
}

// networkDelay is the one-way delay between the VM and a replica.
const networkDelay = 500 * time.Microsecond

var routedZones = []ident.ZoneID{"z0", "z1", "z2"}

func newRoutedSimulation(seed uint64, policies node.Policies, services, replicas, slots int) *routedSimulation {
	sim := &routedSimulation{
		now: ident.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 7)),
		services: map[ident.ServiceID][]*fakeReplica{}, byID: map[ident.ReplicaID]*fakeReplica{},
		requests: map[ident.QueryID]*request{}, abortedAttempts: map[ident.AttemptID]bool{},
		outcomes: map[ident.RouteID]*outcomeCounts{}, ofTenants: map[tenantRoute]*outcomeCounts{}, runs: map[string]int{}, ran: map[string]bool{}, extraAttempts: map[ident.ServiceID]int{}, firstSent: map[string]bool{},
	}
	sim.core = node.New(node.Config{VM: "entry-0", Random: rand.New(rand.NewPCG(seed, 8)), Policies: policies})
	p := preset.BuiltinDiscovery()[0]
	sim.view = &view.View{Self: "entry-0", Zone: "z0", Ready: true, Preset: p, VMs: 1}
	for i := range services {
		id := ident.ServiceID(fmt.Sprintf("s%d", i))
		vs := view.Service{
			ID: id, Slots: slots, Connections: 100, Paced: true, MinInFlight: 3,
			QuotaLimits: retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second},
		}
		for j := range replicas {
			r := &fakeReplica{
				id: ident.ReplicaID(fmt.Sprintf("%s-%d", id, j)), zone: routedZones[j%len(routedZones)],
				slotFreeAt: make([]ident.Instant, slots), slowdown: 1,
			}
			sim.services[id] = append(sim.services[id], r)
			sim.byID[r.id] = r
			vs.Replicas = append(vs.Replicas, view.Replica{ID: r.id, Zone: r.zone, Address: "x", Slots: slots})
		}
		sim.view.Services = append(sim.view.Services, vs)
	}
	sim.core.Install(sim.now, sim.view)
	return sim
}

// shareLimits makes the VM one of several VMs that share the quota of each service.
func (sim *routedSimulation) shareLimits(vms, allowance int) {
	sim.view.VMs = vms
	for i := range sim.view.Services {
		sim.view.Services[i].QuotaLimits.Allowance = allowance
	}
	sim.core.Install(sim.now, sim.view)
}

// setPauses pauses every replica at regular intervals with a random phase.
func (sim *routedSimulation) setPauses(every, length time.Duration) {
	// The order is fixed, so that a seed always gives the same run.
	for i := range len(sim.services) {
		for _, r := range sim.services[ident.ServiceID(fmt.Sprintf("s%d", i))] {
			r.pauseEvery, r.pauseFor = every, length
			r.phase = time.Duration(sim.random.Int64N(int64(every)))
		}
	}
}

func (sim *routedSimulation) schedule(at ident.Instant, do func()) {
	heap.Push(&sim.events, event{at, do})
}

// allServices returns a target that contains every service.
func (sim *routedSimulation) allServices() route.Target {
	t := route.Target{Weight: 1}
	for i := range len(sim.services) {
		t.Services = append(t.Services, ident.ServiceID(fmt.Sprintf("s%d", i)))
	}
	return t
}

func (sim *routedSimulation) gatherRoute(name ident.RouteID, goal, timeout time.Duration, least ident.Share, rank int) *route.Route {
	return &route.Route{
		Name: name, Gather: true, Repeatable: true, Goal: goal, Timeout: timeout, LeastCoverage: least,
		Attempts: 2, Rank: rank, Targets: []route.Target{sim.allServices()},
	}
}

// scheduleArrivals schedules the requests of a workload until an instant, as a Poisson
// process.
func (sim *routedSimulation) scheduleArrivals(load *workload, until ident.Instant) {
	if sim.outcomes[load.route.Name] == nil {
		sim.outcomes[load.route.Name] = &outcomeCounts{}
	}
	at := sim.now
	for {
		at = at.Add(time.Duration(sim.random.ExpFloat64() / load.ratePerSecond * float64(time.Second)))
		if at >= until {
			return
		}
		sim.schedule(at, func() { sim.arrive(load) })
	}
}

func (sim *routedSimulation) arrive(load *workload) {
	sim.lastRequest++
	req := &request{workload: load, arrivedAt: sim.now, messageID: fmt.Sprint("r", sim.lastRequest)}
	for _, o := range sim.countersOf(load) {
		o.arrived++
	}
	id := sim.core.Arrive(sim.now, node.Arrival{
		Route: load.route, Account: load.account, Deadline: load.deadline, Message: &passage.Request{ID: req.messageID, Method: "GET"},
	})
	sim.requests[id] = req
	sim.executeActions()
}

// afterStall returns the instant at which the VM processes an event that is due at at.
func (sim *routedSimulation) afterStall(at ident.Instant) ident.Instant {
	if at >= sim.stallStart && at < sim.stallEnd {
		return sim.stallEnd
	}
	return at
}

// run processes events and timers until none is left. It then checks that each request
// got exactly one answer.
func (sim *routedSimulation) run() {
	for len(sim.events) > 0 || sim.core.Wake() != ident.Never {
		next := sim.core.Wake()
		if len(sim.events) > 0 && sim.events[0].due <= next {
			e := heap.Pop(&sim.events).(event)
			sim.now = max(sim.now, sim.afterStall(e.due))
			e.run()
		} else {
			sim.now = max(sim.now, sim.afterStall(next))
			sim.core.Tick(sim.now)
		}
		sim.executeActions()
	}
	for id, req := range sim.requests {
		if req.answers != 1 {
			sim.failures = append(sim.failures, fmt.Sprintf("query %d got %d answers", id, req.answers))
		}
	}
}

func (sim *routedSimulation) executeActions() {
	for {
		sim.buf = sim.core.Drain(sim.buf[:0])
		if len(sim.buf) == 0 {
			return
		}
		for _, a := range append([]node.Action(nil), sim.buf...) {
			switch a.Kind {
			case node.Send:
				sim.send(a)
			case node.Abort:
				sim.abortedAttempts[a.Attempt] = true
			case node.Finish:
				sim.finish(a)
			case node.Claim, node.Forward, node.Notify:
			}
		}
	}
}

// send delivers an attempt to its replica and schedules the reply.
func (sim *routedSimulation) send(a node.Action) {
	r := sim.byID[a.Replica]
	r.arrivals++
	key := a.Message.ID + " " + string(a.Service)
	if sim.firstSent[key] {
		sim.extraAttempts[a.Service]++
	}
	sim.firstSent[key] = true
	if r.silent {
		return
	}
	if sim.random.Float64() < r.shedShare {
		sim.scheduleReply(a, sim.now.Add(2*networkDelay), node.Reply{Outcome: replica.Shed})
		return
	}
	sim.runs[key]++
	sim.ran[a.Message.ID] = true
	done := sim.serve(r, a)
	reply := node.Reply{Outcome: replica.OK, Message: &passage.Reply{Status: 200, Digest: "d"}}
	switch draw := sim.random.Float64(); {
	case draw < r.lossShare:
		reply = node.Reply{Outcome: replica.Broken}
	case draw < r.lossShare+r.failureShare+sim.requests[a.Query].workload.failureShare:
		reply = node.Reply{Outcome: replica.Failed, Message: &passage.Reply{Status: 500, Digest: "d"}}
	}
	sim.scheduleReply(a, done.Add(networkDelay), reply)
}

// serve occupies the first slot to become free and returns when the replica completes the
// attempt.
func (sim *routedSimulation) serve(r *fakeReplica, a node.Action) ident.Instant {
	earliest := 0
	for i := range r.slotFreeAt {
		if r.slotFreeAt[i] < r.slotFreeAt[earliest] {
			earliest = i
		}
	}
	serviceTime := sim.serviceTimeOf(a)
	start := r.afterPause(max(sim.now.Add(networkDelay), r.slotFreeAt[earliest]))
	done := start.Add(time.Duration(float64(serviceTime) * r.slowdown * (0.6 + 0.8*sim.random.Float64())))
	if resumed := r.afterPause(done); resumed != done {
		done = resumed
	}
	r.slotFreeAt[earliest] = done
	return done
}

func (sim *routedSimulation) serviceTimeOf(a node.Action) time.Duration {
	return sim.requests[a.Query].workload.serviceTime
}

// afterPause returns the first instant, not before at, at which the replica is not paused.
func (r *fakeReplica) afterPause(at ident.Instant) ident.Instant {
	if r.pauseEvery == 0 {
		return at
	}
	elapsed := (time.Duration(at) + r.phase) % r.pauseEvery
	if elapsed < r.pauseFor {
		return at.Add(r.pauseFor - elapsed)
	}
	return at
}

func (sim *routedSimulation) scheduleReply(a node.Action, at ident.Instant, reply node.Reply) {
	reply.Attempt = a.Attempt
	sim.schedule(at, func() {
		if !sim.abortedAttempts[a.Attempt] {
			sim.core.Reply(sim.now, reply)
		}
	})
}

func (sim *routedSimulation) finish(a node.Action) {
	req := sim.requests[a.Query]
	req.answers++
	for _, o := range sim.countersOf(req.workload) {
		sim.count(o, req, a.Answer)
	}
}

// A tenantRoute is the load of one tenant on one route.
type tenantRoute struct {
	tenant ident.TenantID
	route  ident.RouteID
}

// countersOf returns the counts to which the outcomes of a workload are added.
func (sim *routedSimulation) countersOf(load *workload) []*outcomeCounts {
	counters := []*outcomeCounts{sim.outcomes[load.route.Name]}
	if load.account != nil {
		key := tenantRoute{load.account.ID, load.route.Name}
		if sim.ofTenants[key] == nil {
			sim.ofTenants[key] = &outcomeCounts{}
		}
		counters = append(counters, sim.ofTenants[key])
	}
	return counters
}

// count records the outcome of a request. It checks that a request refused as not run did
// not run, and that a request that is not repeatable ran at most once.
func (sim *routedSimulation) count(o *outcomeCounts, req *request, a *node.Answer) {
	took := sim.now.Sub(req.arrivedAt)
	switch {
	case a.Refusal == nil:
		if took <= req.workload.route.Goal {
			o.inGoal++
			share := float64(a.Coverage.Share())
			o.value += share * share
		} else {
			o.late++
		}
		if len(a.Coverage.Missing) > 0 {
			o.partial++
		}
	case a.Refusal.Outcome == booking.NotRun:
		o.refused++
		if o.minRetryAfter == 0 || a.Refusal.RetryAfter < o.minRetryAfter {
			o.minRetryAfter = a.Refusal.RetryAfter
		}
		o.refusalTime += took
		o.detail = a.Refusal.Detail
		if sim.ran[req.messageID] {
			sim.failures = append(sim.failures, req.messageID+" ran but was refused as not run")
		}
	default:
		o.failed++
	}
	if !req.workload.route.Repeatable {
		for _, t := range req.workload.route.Targets {
			if n := sim.runs[req.messageID+" "+string(t.Services[0])]; n > 1 {
				sim.failures = append(sim.failures, fmt.Sprintf("%s ran %d times", req.messageID, n))
			}
		}
	}
}
