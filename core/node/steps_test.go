package node_test

import (
	"fmt"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/replica"
)

// drainingReportValidity is how long a VM must not send attempts to an upstream after a
// reply reported it as draining.
const drainingReportValidity = 5 * time.Second

// steps holds the random events of a simulation. An event is listed as often as its
// relative frequency.
var steps = []func(*simulation){
	(*simulation).stepSearch, (*simulation).stepSearch, (*simulation).stepSearch,
	(*simulation).stepNewBooking, (*simulation).stepNewBooking, (*simulation).stepResend,
	(*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver,
	(*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver,
	(*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver,
	(*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver, (*simulation).stepDeliver,
	(*simulation).stepLateReply, (*simulation).stepLateReply,
	(*simulation).stepBreakConnection, (*simulation).stepClaim, (*simulation).stepClaim,
	(*simulation).stepTime, (*simulation).stepTime,
	(*simulation).stepUpstream, (*simulation).stepSnapshot, (*simulation).stepReplicaOut, (*simulation).stepCancel,
	(*simulation).stepVM,
}

func (sim *simulation) step() { steps[sim.random.IntN(len(steps))](sim) }

func (sim *simulation) randomVM() *fakeVM { return sim.vms[sim.random.IntN(len(sim.vms))] }

// running reports whether the VM is neither stopped nor paused.
func (sim *simulation) running(vm *fakeVM) bool { return vm.alive && vm.pausedUntil <= sim.now }

// arrive passes a caller's request to a VM, unless the VM is stopped or paused.
func (sim *simulation) arrive(vm *fakeVM, a node.Arrival) {
	if !sim.running(vm) {
		return
	}
	s := &send{arrival: a}
	if a.Key != "" {
		sim.sends[a.Key] = append(sim.sends[a.Key], s)
	}
	id := vm.core.Arrive(sim.now, a)
	vm.sends[id] = s
	sim.executeActions(vm)
}

func (sim *simulation) stepSearch() {
	sim.bodyCount++
	sim.arrive(sim.randomVM(), node.Arrival{
		Service: testService, Class: []ident.ClassID{"urgent", "report"}[sim.random.IntN(2)],
		Body: fmt.Appendf(nil, "query %d", sim.bodyCount), Deadline: time.Duration(20+sim.random.IntN(400)) * time.Millisecond,
	})
}

// stepNewBooking sends a booking with a new key, which a VM issues or the caller chooses.
func (sim *simulation) stepNewBooking() {
	vm := sim.randomVM()
	if !sim.running(vm) {
		return
	}
	var key ident.RequestKey
	if sim.random.IntN(2) == 0 {
		key, _ = vm.core.Issue(sim.now)
	} else {
		sim.bodyCount++
		key = ident.RequestKey(fmt.Sprintf("%d-order-%d", int64(sim.now)/int64(time.Millisecond), sim.bodyCount))
	}
	sim.keys = append(sim.keys, key)
	sim.sendBooking(vm, key)
}

// stepResend sends one of the last eight bookings again, to any VM.
func (sim *simulation) stepResend() {
	if len(sim.keys) == 0 {
		return
	}
	recent := sim.keys[max(0, len(sim.keys)-8):]
	sim.sendBooking(sim.randomVM(), recent[sim.random.IntN(len(recent))])
}

func (sim *simulation) sendBooking(vm *fakeVM, key ident.RequestKey) {
	sim.arrive(vm, node.Arrival{
		Service: testService, Class: "urgent", Body: []byte("book " + key), Key: key,
		Deadline: time.Duration(50+sim.random.IntN(300)) * time.Millisecond,
	})
}

// takeRandom removes and returns one of the six oldest elements.
func takeRandom[T any](sim *simulation, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := sim.random.IntN(min(len(*from), 6))
	v := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return v, true
}

// deliverReply passes a reply to the VM that sent the attempt, unless the VM is stopped or
// paused.
func (sim *simulation) deliverReply(m *message, r node.Reply) {
	if sim.running(m.vm) {
		// The core ignores the reply to an aborted attempt, also its draining flag.
		if m.vm.pendingAttempts[r.Attempt] && (r.Draining || r.Outcome == replica.Draining) {
			sim.upstreams[m.action.Replica].drainingUntil[m.vm] = sim.now.Add(drainingReportValidity)
		}
		delete(m.vm.pendingAttempts, r.Attempt)
		m.vm.core.Reply(sim.now, r)
		sim.executeActions(m.vm)
	}
}

// stepDeliver delivers an attempt and its reply. The reply may be delivered twice, or
// delayed until stepLateReply.
func (sim *simulation) stepDeliver() {
	m, ok := takeRandom(sim, &sim.inFlight)
	if !ok {
		return
	}
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(1000)) * time.Microsecond)
	r := sim.runAttempt(&m)
	switch sim.random.IntN(10) {
	case 0:
		sim.delayedReplies = append(sim.delayedReplies, m)
	case 1:
		sim.deliverReply(&m, r)
		sim.deliverReply(&m, r)
	default:
		sim.deliverReply(&m, r)
	}
}

// stepLateReply delivers a delayed reply.
func (sim *simulation) stepLateReply() {
	m, ok := takeRandom(sim, &sim.delayedReplies)
	if !ok {
		return
	}
	u := sim.upstreams[m.action.Replica]
	r := node.Reply{Attempt: m.action.Attempt, Shard: m.action.Shard, Held: u.held}
	if !m.ran {
		r.Outcome = replica.Shed
	} else if m.action.Key == "" {
		r.Snapshot = max(m.action.Snapshot, 1)
		r.Result = resultOf(r.Shard, r.Snapshot, m.action.Body)
	}
	sim.deliverReply(&m, r)
}

// stepBreakConnection breaks the connection of an attempt in flight, before or after the
// upstream ran it.
func (sim *simulation) stepBreakConnection() {
	m, ok := takeRandom(sim, &sim.inFlight)
	if !ok {
		return
	}
	if sim.random.IntN(2) == 0 && sim.upstreams[m.action.Replica].up {
		sim.recordRun(&m)
	}
	sim.deliverReply(&m, node.Reply{Attempt: m.action.Attempt, Outcome: replica.Broken})
}

// stepClaim delivers a claim to the fake platform. The claim or its result may be lost.
func (sim *simulation) stepClaim() {
	call, ok := takeRandom(sim, &sim.claims)
	if !ok {
		return
	}
	issuedAt, _ := booking.IssuedAt(call.action.Key)
	result := booking.Unavailable
	if sim.random.IntN(5) > 0 {
		var results []booking.ClaimResult
		sim.claimBook, results = booking.Merge(sim.now, sim.claimBook, []booking.Entry{{
			Key: call.action.Key, VM: call.vm.id, Incarnation: call.vm.incarnation, IssuedAt: issuedAt,
		}})
		if sim.random.IntN(5) > 0 {
			result = results[0]
		}
	}
	if sim.running(call.vm) && call.vm.sends[call.action.Query] != nil {
		call.vm.core.Claimed(sim.now, call.action.Query, call.action.Key, result)
		sim.executeActions(call.vm)
	}
}

// stepTime advances the time, rarely by minutes, and runs the cores' timers.
func (sim *simulation) stepTime() {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(60)) * time.Millisecond)
	if sim.random.IntN(200) == 0 {
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(600)) * time.Second)
	}
	for _, vm := range sim.vms {
		if sim.running(vm) && vm.core.Wake() <= sim.now {
			vm.core.Tick(sim.now)
			sim.executeActions(vm)
		}
	}
}

// stepUpstream stops, drains or restarts an upstream.
func (sim *simulation) stepUpstream() {
	u := sim.upstreams[sim.replicaIDs[sim.random.IntN(len(sim.replicaIDs))]]
	switch sim.random.IntN(8) {
	case 0:
		u.up = false
	case 1:
		u.draining = true
	default:
		u.up, u.draining = true, false
	}
	sim.distributeView()
}

// distributeView installs the current view on about half of the running VMs; the others
// keep an outdated one.
func (sim *simulation) distributeView() {
	for _, vm := range sim.vms {
		if sim.running(vm) && sim.random.IntN(2) == 0 {
			sim.installView(vm)
		}
	}
}

// stepSnapshot makes one replica load the newest snapshot and drop old ones. It may first
// publish a new snapshot.
func (sim *simulation) stepSnapshot() {
	if sim.random.IntN(6) == 0 && sim.newestSnapshot < 9 {
		sim.newestSnapshot++
	}
	u := sim.upstreams[sim.replicaIDs[sim.random.IntN(len(sim.replicaIDs))]]
	u.held.Newest = sim.newestSnapshot
	u.held.Oldest = max(u.held.Oldest, sim.newestSnapshot-2)
}

// stepReplicaOut takes a replica out of service or returns it to service.
func (sim *simulation) stepReplicaOut() {
	u := sim.upstreams[sim.replicaIDs[sim.random.IntN(len(sim.replicaIDs))]]
	u.out = !u.out && sim.random.IntN(4) == 0
	sim.distributeView()
}

// stepCancel cancels the unanswered search of a VM with the lowest ID.
func (sim *simulation) stepCancel() {
	vm := sim.randomVM()
	if !sim.running(vm) {
		return
	}
	var lowest ident.QueryID
	for id, s := range vm.sends {
		if !s.answered && s.arrival.Key == "" && (lowest == 0 || id < lowest) {
			lowest = id
		}
	}
	if lowest != 0 {
		vm.core.Cancel(sim.now, lowest)
		sim.executeActions(vm)
	}
}

// stepVM kills and restarts a VM, or pauses it.
func (sim *simulation) stepVM() {
	vm := sim.randomVM()
	switch sim.random.IntN(12) {
	case 0:
		vm.alive = false
		sim.dropState(vm)
		sim.startVM(vm)
	case 1:
		vm.pausedUntil = sim.now.Add(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
	}
}

// dropState drops the state that a killed VM had in memory. Attempts and claims that it
// sent may still be delivered, but their replies and results are lost.
func (sim *simulation) dropState(vm *fakeVM) {
	for i := range sim.inFlight {
		if sim.inFlight[i].vm == vm {
			sim.inFlight[i].vm = &fakeVM{id: vm.id}
		}
	}
	for i := range sim.delayedReplies {
		if sim.delayedReplies[i].vm == vm {
			sim.delayedReplies[i].vm = &fakeVM{id: vm.id}
		}
	}
	for i := range sim.claims {
		if sim.claims[i].vm == vm {
			sim.claims[i].vm = &fakeVM{id: vm.id, incarnation: vm.incarnation}
		}
	}
	sim.forwards = slices.DeleteFunc(sim.forwards, func(f forwardCall) bool { return f.to == vm || f.from == vm })
	for _, s := range vm.sends {
		s.answered = s.answered || s.arrival.Relayed
	}
}

// checkCompletion ends all pauses, delivers the attempts in flight and runs the timers. It
// then checks that every query was answered and that no core counts any in flight.
func (sim *simulation) checkCompletion() {
	for _, vm := range sim.vms {
		vm.pausedUntil = 0
	}
	for range 10_000 {
		m, ok := takeRandom(sim, &sim.inFlight)
		if !ok {
			break
		}
		sim.deliverReply(&m, sim.runAttempt(&m))
	}
	for range 3 {
		sim.now = sim.now.Add(time.Minute)
		for _, vm := range sim.vms {
			vm.core.Tick(sim.now)
			sim.executeActions(vm)
		}
	}
	for _, vm := range sim.vms {
		for id, s := range vm.sends {
			if !s.answered {
				sim.failf("%s never answered query %d (key %q)", vm.id, id, s.arrival.Key)
			}
		}
		r := vm.core.Report(sim.now)
		if r.InFlight != 0 {
			sim.failf("%s counts %d queries in flight after all were answered", vm.id, r.InFlight)
		}
		for _, u := range r.Replicas {
			if u.InFlight != 0 {
				sim.failf("%s counts %d attempts in flight to %s after all ended", vm.id, u.InFlight, u.ID)
			}
		}
	}
}
