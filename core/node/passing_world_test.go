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
	"carawaycross.example/carawaycross/core/view"
)

// fakeReplica is a replica with slots, pauses and faults.
type fakeReplica struct {
	id   ident.ReplicaID
	zone ident.ZoneID
	// Free holds when each slot is slotFreeAt.
	slotFreeAt []ident.Instant
	// Every pauseEvery the replica stands still for pauseFor, from phase on.
	phase, pauseEvery, pauseFor time.Duration
	slowdown                    float64
	silent                      bool
	// LoseShare of the answers are lost with their connection, failureShare of the
	// requests fail, shedShare are refused.
	lossShare, failureShare, shedShare float64
	arrivals                           int
}

// event is something that happens at an instant.
type event struct {
	due ident.Instant
	run func()
}

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

// A workload is one route with its load.
type workload struct {
	route         *route.Route
	ratePerSecond float64
	serviceTime   time.Duration
	deadline      time.Duration
}

// outcomeCounts counts how the requests of a kind ended.
type outcomeCounts struct {
	arrived, inGoal, partial, late, refused, failed int
	// Worth sums the square of the coverage of the answers within the goal.
	value float64
	// RefusedAfter sums the time that refused requests were held.
	refusalTime time.Duration
	// LeastReturn is the least time after which a refused caller may return.
	minRetryAfter time.Duration
}

// meanValue is the share of requests that were answered within their goal, each
// taken times the square of its coverage.
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

// routedSimulation runs one core against routedSimulation replicas under virtual time.
type routedSimulation struct {
	core          *node.Core
	now           ident.Instant
	random        *rand.Rand
	events        eventHeap
	services      map[ident.ServiceID][]*fakeReplica
	byID          map[ident.ReplicaID]*fakeReplica
	view          *view.View
	requests      map[ident.QueryID]*request
	endedAttempts map[ident.AttemptID]bool
	outcomes      map[ident.RouteID]*outcomeCounts
	// Ran counts the runs of each request at each service.
	runs          map[string]int
	extraAttempts map[ident.ServiceID]int
	firstSent     map[string]bool
	failures      []string
	lastRequest   int
	// The VM stands still from stallStart until stallEnd.
	stallStart, stallEnd ident.Instant
	buf                  []node.Action
}

type request struct {
	workload  *workload
	arrivedAt ident.Instant
	messageID string
	answers   int
}

const networkDelay = 500 * time.Microsecond

var routedZones = []ident.ZoneID{"z0", "z1", "z2"}

func newRoutedSimulation(seed uint64, policies node.Policies, services, replicas, slots int) *routedSimulation {
	sim := &routedSimulation{
		now: ident.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 7)),
		services: map[ident.ServiceID][]*fakeReplica{}, byID: map[ident.ReplicaID]*fakeReplica{},
		requests: map[ident.QueryID]*request{}, endedAttempts: map[ident.AttemptID]bool{},
		outcomes: map[ident.RouteID]*outcomeCounts{}, runs: map[string]int{}, extraAttempts: map[ident.ServiceID]int{}, firstSent: map[string]bool{},
	}
	sim.core = node.New(node.Config{VM: "entry-0", Random: rand.New(rand.NewPCG(seed, 8)), Policies: policies})
	p := preset.BuiltinDiscovery()[0]
	sim.view = &view.View{Self: "entry-0", Zone: "z0", Ready: true, Preset: p, VMs: 1}
	for i := range services {
		id := ident.ServiceID(fmt.Sprintf("s%d", i))
		vs := view.Service{
			ID: id, Slots: slots, Connections: 100, RampStep: time.Millisecond, MinInFlight: 3,
			Terms: retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second},
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

// shareLimits makes the VM one of several that share the terms of each service.
func (sim *routedSimulation) shareLimits(vms, allowance int) {
	sim.view.VMs = vms
	for i := range sim.view.Services {
		sim.view.Services[i].Terms.Allowance = allowance
	}
	sim.core.Install(sim.now, sim.view)
}

// setPauses lets every replica stand still from time to time.
func (sim *routedSimulation) setPauses(every, length time.Duration) {
	// In a fixed order, so that a seed gives the same run each time.
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

// allServices returns a target of every service.
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

// scheduleArrivals asks requests of a kind at random times until an instant.
func (sim *routedSimulation) scheduleArrivals(k *workload, until ident.Instant) {
	if sim.outcomes[k.route.Name] == nil {
		sim.outcomes[k.route.Name] = &outcomeCounts{}
	}
	at := sim.now
	for {
		at = at.Add(time.Duration(sim.random.ExpFloat64() / k.ratePerSecond * float64(time.Second)))
		if at >= until {
			return
		}
		sim.schedule(at, func() { sim.arrive(k) })
	}
}

func (sim *routedSimulation) arrive(k *workload) {
	sim.lastRequest++
	q := &request{workload: k, arrivedAt: sim.now, messageID: fmt.Sprint("r", sim.lastRequest)}
	o := sim.outcomes[k.route.Name]
	o.arrived++
	id := sim.core.Arrive(sim.now, node.Arrival{
		Route: k.route, Deadline: k.deadline, Message: &passage.Request{ID: q.messageID, Method: "GET"},
	})
	sim.requests[id] = q
	sim.executeActions()
}

// afterStall returns when the VM takes what happens at an instant.
func (sim *routedSimulation) afterStall(at ident.Instant) ident.Instant {
	if at >= sim.stallStart && at < sim.stallEnd {
		return sim.stallEnd
	}
	return at
}

// run lets the model run until nothing is left to happen.
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
	for id, q := range sim.requests {
		if q.answers != 1 {
			sim.failures = append(sim.failures, fmt.Sprintf("query %d has %d answers", id, q.answers))
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
				sim.endedAttempts[a.Attempt] = true
			case node.Finish:
				sim.finish(a)
			case node.Claim, node.Forward, node.Notify:
			}
		}
	}
}

// send carries one attempt to its replica.
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
	done := sim.serve(r, a)
	reply := node.Reply{Outcome: replica.OK, Message: &passage.Reply{Status: 200, Digest: "d"}}
	switch x := sim.random.Float64(); {
	case x < r.lossShare:
		reply = node.Reply{Outcome: replica.Broken}
	case x < r.lossShare+r.failureShare:
		reply = node.Reply{Outcome: replica.Failed, Message: &passage.Reply{Status: 500, Digest: "d"}}
	}
	sim.scheduleReply(a, done.Add(networkDelay), reply)
}

// serve returns when the replica has done the work.
func (sim *routedSimulation) serve(r *fakeReplica, a node.Action) ident.Instant {
	earliest := 0
	for i := range r.slotFreeAt {
		if r.slotFreeAt[i] < r.slotFreeAt[earliest] {
			earliest = i
		}
	}
	work := sim.serviceTimeOf(a)
	start := r.afterPause(max(sim.now.Add(networkDelay), r.slotFreeAt[earliest]))
	done := start.Add(time.Duration(float64(work) * r.slowdown * (0.6 + 0.8*sim.random.Float64())))
	if resumed := r.afterPause(done); resumed != done {
		done = resumed
	}
	r.slotFreeAt[earliest] = done
	return done
}

func (sim *routedSimulation) serviceTimeOf(a node.Action) time.Duration {
	return sim.requests[a.Query].workload.serviceTime
}

// afterPause returns the first instant from at on at which the replica works.
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
		if !sim.endedAttempts[a.Attempt] {
			sim.core.Reply(sim.now, reply)
		}
	})
}

func (sim *routedSimulation) finish(a node.Action) {
	q := sim.requests[a.Query]
	sim.count(q, a.Answer)
}

func (sim *routedSimulation) count(q *request, a *node.Answer) {
	q.answers++
	o := sim.outcomes[q.workload.route.Name]
	took := sim.now.Sub(q.arrivedAt)
	switch {
	case a.Refusal == nil:
		if took <= q.workload.route.Goal {
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
		for key, n := range sim.runs {
			if n > 0 && len(key) > len(q.messageID) && key[:len(q.messageID)+1] == q.messageID+" " {
				sim.failures = append(sim.failures, q.messageID+" ran, but was refused as not run")
			}
		}
	default:
		o.failed++
	}
	if !q.workload.route.Repeatable {
		for _, t := range q.workload.route.Targets {
			if n := sim.runs[q.messageID+" "+string(t.Services[0])]; n > 1 {
				sim.failures = append(sim.failures, fmt.Sprintf("%s ran %d times", q.messageID, n))
			}
		}
	}
}
