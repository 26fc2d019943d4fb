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

// modelReplica is a replica with slots, pauses and faults.
type modelReplica struct {
	id   ident.ReplicaID
	zone ident.ZoneID
	// Free holds when each slot is free.
	free []ident.Instant
	// Every pauseEvery the replica stands still for pauseFor, from phase on.
	phase, pauseEvery, pauseFor time.Duration
	slow                        float64
	dark                        bool
	// LoseShare of the answers are lost with their connection, failShare of the
	// requests fail, shedShare are refused.
	loseShare, failShare, shedShare float64
	arrivals                        int
}

// modelEvent is something that happens at an instant.
type modelEvent struct {
	at ident.Instant
	do func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A kindOfRequest is one route with its load.
type kindOfRequest struct {
	route  *route.Route
	perS   float64
	work   time.Duration
	within time.Duration
}

// outcome counts how the requests of a kind ended.
type outcome struct {
	asked, inGoal, partial, late, refused, failed int
	// Worth sums the square of the coverage of the answers within the goal.
	worth float64
	// RefusedAfter sums the time that refused requests were held.
	refusedAfter time.Duration
	// LeastReturn is the least time after which a refused caller may return.
	leastReturn time.Duration
}

// served is the share of requests that were answered within their goal, each
// taken times the square of its coverage.
func (o *outcome) served() float64 { return o.worth / float64(max(o.asked, 1)) }

func (o *outcome) add(other *outcome) {
	o.asked += other.asked
	o.inGoal += other.inGoal
	o.partial += other.partial
	o.late += other.late
	o.refused += other.refused
	o.failed += other.failed
	o.worth += other.worth
}

// model runs one core against model replicas under virtual time.
type model struct {
	core     *node.Core
	now      ident.Instant
	random   *rand.Rand
	events   modelEvents
	services map[ident.ServiceID][]*modelReplica
	byID     map[ident.ReplicaID]*modelReplica
	view     *view.View
	asked    map[ident.QueryID]*question
	ended    map[ident.AttemptID]bool
	outcomes map[ident.RouteID]*outcome
	// Ran counts the runs of each request at each service.
	ran    map[string]int
	extra  map[ident.ServiceID]int
	first  map[string]bool
	faults []string
	next   int
	// The VM stands still from freezes until thaws.
	freezes, thaws ident.Instant
	buf            []node.Action
}

type question struct {
	kind    *kindOfRequest
	at      ident.Instant
	id      string
	answers int
}

const modelNet = 500 * time.Microsecond

var modelZones = []ident.ZoneID{"z0", "z1", "z2"}

func newModel(seed uint64, policies node.Policies, services, replicas, slots int) *model {
	m := &model{
		now: ident.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 7)),
		services: map[ident.ServiceID][]*modelReplica{}, byID: map[ident.ReplicaID]*modelReplica{},
		asked: map[ident.QueryID]*question{}, ended: map[ident.AttemptID]bool{},
		outcomes: map[ident.RouteID]*outcome{}, ran: map[string]int{}, extra: map[ident.ServiceID]int{}, first: map[string]bool{},
	}
	m.core = node.New(node.Config{VM: "entry-0", Random: rand.New(rand.NewPCG(seed, 8)), Policies: policies})
	p := preset.BuiltinDiscovery()[0]
	m.view = &view.View{Self: "entry-0", Zone: "z0", Ready: true, Preset: p, VMs: 1}
	for i := range services {
		id := ident.ServiceID(fmt.Sprintf("s%d", i))
		vs := view.Service{
			ID: id, Slots: slots, Connections: 100, RampStep: time.Millisecond, MinInFlight: 3,
			Terms: retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second},
		}
		for j := range replicas {
			r := &modelReplica{
				id: ident.ReplicaID(fmt.Sprintf("%s-%d", id, j)), zone: modelZones[j%len(modelZones)],
				free: make([]ident.Instant, slots), slow: 1,
			}
			m.services[id] = append(m.services[id], r)
			m.byID[r.id] = r
			vs.Replicas = append(vs.Replicas, view.Replica{ID: r.id, Zone: r.zone, Address: "x", Slots: slots})
		}
		m.view.Services = append(m.view.Services, vs)
	}
	m.core.Install(m.now, m.view)
	return m
}

// shareTerms makes the VM one of several that share the terms of each service.
func (m *model) shareTerms(vms, allowance int) {
	m.view.VMs = vms
	for i := range m.view.Services {
		m.view.Services[i].Terms.Allowance = allowance
	}
	m.core.Install(m.now, m.view)
}

// pauses lets every replica stand still from time to time.
func (m *model) pauses(every, length time.Duration) {
	// In a fixed order, so that a seed gives the same run each time.
	for i := range len(m.services) {
		for _, r := range m.services[ident.ServiceID(fmt.Sprintf("s%d", i))] {
			r.pauseEvery, r.pauseFor = every, length
			r.phase = time.Duration(m.random.Int64N(int64(every)))
		}
	}
}

func (m *model) at(at ident.Instant, do func()) { heap.Push(&m.events, modelEvent{at, do}) }

// allServices returns a target of every service.
func (m *model) allServices() route.Target {
	t := route.Target{Weight: 1}
	for i := range len(m.services) {
		t.Services = append(t.Services, ident.ServiceID(fmt.Sprintf("s%d", i)))
	}
	return t
}

func (m *model) gather(name ident.RouteID, goal, timeout time.Duration, least ident.Share, rank int) *route.Route {
	return &route.Route{
		Name: name, Gather: true, Repeatable: true, Goal: goal, Timeout: timeout, LeastCoverage: least,
		Attempts: 2, Rank: rank, Targets: []route.Target{m.allServices()},
	}
}

// load asks requests of a kind at random times until an instant.
func (m *model) load(k *kindOfRequest, until ident.Instant) {
	if m.outcomes[k.route.Name] == nil {
		m.outcomes[k.route.Name] = &outcome{}
	}
	at := m.now
	for {
		at = at.Add(time.Duration(m.random.ExpFloat64() / k.perS * float64(time.Second)))
		if at >= until {
			return
		}
		m.at(at, func() { m.ask(k) })
	}
}

func (m *model) ask(k *kindOfRequest) {
	m.next++
	q := &question{kind: k, at: m.now, id: fmt.Sprint("r", m.next)}
	o := m.outcomes[k.route.Name]
	o.asked++
	id := m.core.Arrive(m.now, node.Arrival{
		Route: k.route, Deadline: k.within, Message: &passage.Request{ID: q.id, Method: "GET"},
	})
	m.asked[id] = q
	m.carryOut()
}

// awake returns when the VM takes what happens at an instant.
func (m *model) awake(at ident.Instant) ident.Instant {
	if at >= m.freezes && at < m.thaws {
		return m.thaws
	}
	return at
}

// run lets the model run until nothing is left to happen.
func (m *model) run() {
	for len(m.events) > 0 || m.core.Wake() != ident.Never {
		next := m.core.Wake()
		if len(m.events) > 0 && m.events[0].at <= next {
			e := heap.Pop(&m.events).(modelEvent)
			m.now = max(m.now, m.awake(e.at))
			e.do()
		} else {
			m.now = max(m.now, m.awake(next))
			m.core.Tick(m.now)
		}
		m.carryOut()
	}
	for id, q := range m.asked {
		if q.answers != 1 {
			m.faults = append(m.faults, fmt.Sprintf("query %d has %d answers", id, q.answers))
		}
	}
}

func (m *model) carryOut() {
	for {
		m.buf = m.core.Drain(m.buf[:0])
		if len(m.buf) == 0 {
			return
		}
		for _, a := range append([]node.Action(nil), m.buf...) {
			switch a.Kind {
			case node.Send:
				m.send(a)
			case node.Abort:
				m.ended[a.Attempt] = true
			case node.Finish:
				m.finish(a)
			case node.Claim, node.Forward, node.Notify:
			}
		}
	}
}

// send carries one attempt to its replica.
func (m *model) send(a node.Action) {
	r := m.byID[a.Replica]
	r.arrivals++
	key := a.Message.ID + " " + string(a.Service)
	if m.first[key] {
		m.extra[a.Service]++
	}
	m.first[key] = true
	if r.dark {
		return
	}
	if m.random.Float64() < r.shedShare {
		m.reply(a, m.now.Add(2*modelNet), node.Reply{Outcome: replica.Shed})
		return
	}
	m.ran[key]++
	done := m.serve(r, a)
	reply := node.Reply{Outcome: replica.OK, Message: &passage.Reply{Status: 200, Digest: "d"}}
	switch x := m.random.Float64(); {
	case x < r.loseShare:
		reply = node.Reply{Outcome: replica.Broken}
	case x < r.loseShare+r.failShare:
		reply = node.Reply{Outcome: replica.Failed, Message: &passage.Reply{Status: 500, Digest: "d"}}
	}
	m.reply(a, done.Add(modelNet), reply)
}

// serve returns when the replica has done the work.
func (m *model) serve(r *modelReplica, a node.Action) ident.Instant {
	best := 0
	for i := range r.free {
		if r.free[i] < r.free[best] {
			best = i
		}
	}
	work := m.workOf(a)
	start := r.awake(max(m.now.Add(modelNet), r.free[best]))
	done := start.Add(time.Duration(float64(work) * r.slow * (0.6 + 0.8*m.random.Float64())))
	if again := r.awake(done); again != done {
		done = again
	}
	r.free[best] = done
	return done
}

func (m *model) workOf(a node.Action) time.Duration {
	return m.asked[a.Query].kind.work
}

// awake returns the first instant from at on at which the replica works.
func (r *modelReplica) awake(at ident.Instant) ident.Instant {
	if r.pauseEvery == 0 {
		return at
	}
	in := (time.Duration(at) + r.phase) % r.pauseEvery
	if in < r.pauseFor {
		return at.Add(r.pauseFor - in)
	}
	return at
}

func (m *model) reply(a node.Action, at ident.Instant, reply node.Reply) {
	reply.Attempt = a.Attempt
	m.at(at, func() {
		if !m.ended[a.Attempt] {
			m.core.Reply(m.now, reply)
		}
	})
}

func (m *model) finish(a node.Action) {
	q := m.asked[a.Query]
	m.count(q, a.Answer)
}

func (m *model) count(q *question, a *node.Answer) {
	q.answers++
	o := m.outcomes[q.kind.route.Name]
	took := m.now.Sub(q.at)
	switch {
	case a.Refusal == nil:
		if took <= q.kind.route.Goal {
			o.inGoal++
			share := float64(a.Coverage.Share())
			o.worth += share * share
		} else {
			o.late++
		}
		if len(a.Coverage.Missing) > 0 {
			o.partial++
		}
	case a.Refusal.Outcome == booking.NotRun:
		o.refused++
		if o.leastReturn == 0 || a.Refusal.RetryAfter < o.leastReturn {
			o.leastReturn = a.Refusal.RetryAfter
		}
		o.refusedAfter += took
		for key, n := range m.ran {
			if n > 0 && len(key) > len(q.id) && key[:len(q.id)+1] == q.id+" " {
				m.faults = append(m.faults, q.id+" ran, but was refused as not run")
			}
		}
	default:
		o.failed++
	}
	if !q.kind.route.Repeatable {
		for _, t := range q.kind.route.Targets {
			if n := m.ran[q.id+" "+string(t.Services[0])]; n > 1 {
				m.faults = append(m.faults, fmt.Sprintf("%s ran %d times", q.id, n))
			}
		}
	}
}
