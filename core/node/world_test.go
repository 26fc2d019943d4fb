package node_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/snapshot"
	"carawaycross.example/carawaycross/core/view"
)

// A randomSource makes the random choices of a simulation: a seeded generator in long
// runs, a rapid generator where a failure should shrink, or the bytes of a fuzzer.
type randomSource interface{ IntN(n int) int }

// A fakeUpstream is a replica whose state the simulation changes.
type fakeUpstream struct {
	shard    ident.ShardID
	zone     ident.ZoneID
	held     snapshot.Range
	up       bool
	draining bool
	out      bool
	// withdrawn holds the VMs whose view reports the upstream as leaving or out.
	// drainingUntil holds, by VM, until when the VM must not send attempts because the
	// upstream reported itself as draining. Both are cleared when the VM restarts.
	withdrawn     map[*fakeVM]bool
	drainingUntil map[*fakeVM]ident.Instant
}

// A fakeVM is one VM of the simulation; a restart gives it a new core.
type fakeVM struct {
	core        *node.Core
	id          ident.VMID
	incarnation ident.Incarnation
	alive       bool
	pausedUntil ident.Instant
	view        *view.View
	sends       map[ident.QueryID]*send
	// pendingAttempts holds the attempts that the core sent and has neither aborted nor
	// received a reply to.
	pendingAttempts map[ident.AttemptID]bool
}

// A send is one request of a caller or of another VM to one VM.
type send struct {
	arrival        node.Arrival
	answered       bool
	refusalOutcome booking.Outcome
}

// A message is an attempt in flight to an upstream, or one whose reply is delayed.
type message struct {
	vm     *fakeVM
	action node.Action
	ran    bool
}

// A claimCall is a claim in flight to the platform.
type claimCall struct {
	vm     *fakeVM
	action node.Action
}

// A forwardCall is a request that one VM forwarded to another and that is not answered.
type forwardCall struct {
	from        *fakeVM
	query       ident.QueryID
	to          *fakeVM
	remoteQuery ident.QueryID
}

// A simulation runs the cores of several VMs with fake upstreams and a fake platform in
// virtual time. It checks every answer against what the upstreams did.
type simulation struct {
	random         randomSource
	now            ident.Instant
	vms            []*fakeVM
	upstreams      map[ident.ReplicaID]*fakeUpstream
	replicaIDs     []ident.ReplicaID
	shardMaps      snapshot.Maps
	newestSnapshot ident.SnapshotID
	inFlight       []message
	delayedReplies []message
	claims         []claimCall
	forwards       []forwardCall
	claimBook      []booking.Entry
	// runs counts how often each booking ran.
	runs         map[ident.RequestKey]int
	keys         []ident.RequestKey
	sends        map[ident.RequestKey][]*send
	crashes      map[string]int
	incarnations int
	bodyCount    int
	failures     []string
	// answers counts the answers, covered the shards that they cover.
	answers int
	covered int
	// trace records every action unless it is nil.
	trace []string
}

const (
	testService ident.ServiceID = "route-planner"
	vmCount     int             = 3
)

var testZones = []ident.ZoneID{"windhoek-north", "windhoek-south", "okahandja"}

func newSimulation(random randomSource) *simulation {
	sim := &simulation{
		random: random, now: ident.Instant(time.Hour), newestSnapshot: 3,
		upstreams: map[ident.ReplicaID]*fakeUpstream{}, runs: map[ident.RequestKey]int{},
		sends: map[ident.RequestKey][]*send{}, crashes: map[string]int{},
		shardMaps: snapshot.Maps{
			{Version: 1, Since: 1, Shards: []ident.ShardID{0, 1, 2, 3}},
			// From snapshot 6 on, shard 3 is split into shards 4 and 5.
			{Version: 2, Since: 6, Shards: []ident.ShardID{0, 1, 2, 4, 5}},
		},
	}
	for shard := range ident.ShardID(6) {
		for i, zone := range testZones {
			id := ident.ReplicaID(fmt.Sprintf("r-%d-%d", shard, i))
			sim.upstreams[id] = &fakeUpstream{
				shard: shard, zone: zone, up: true, withdrawn: map[*fakeVM]bool{}, drainingUntil: map[*fakeVM]ident.Instant{},
				held: snapshot.Range{Oldest: 1, Newest: 3},
			}
			sim.replicaIDs = append(sim.replicaIDs, id)
		}
	}
	for i := range vmCount {
		sim.vms = append(sim.vms, &fakeVM{id: ident.VMID(fmt.Sprintf("entry-%d", i))})
		sim.startVM(sim.vms[i])
	}
	return sim
}

func (sim *simulation) failf(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf(format, args...))
}

// startVM starts a new incarnation of the VM with an empty core.
func (sim *simulation) startVM(vm *fakeVM) {
	sim.incarnations++
	vm.incarnation, vm.alive = ident.Incarnation(sim.incarnations), true
	vm.sends, vm.pendingAttempts = map[ident.QueryID]*send{}, map[ident.AttemptID]bool{}
	vm.core = node.New(node.Config{
		VM: vm.id, Incarnation: vm.incarnation, Random: rand.New(rand.NewPCG(uint64(sim.incarnations), 7)),
	})
	for _, u := range sim.upstreams {
		delete(u.withdrawn, vm)
		delete(u.drainingUntil, vm)
	}
	sim.installView(vm)
}

// installView installs a view of the current state on the VM.
func (sim *simulation) installView(vm *fakeVM) {
	p := preset.Ordinary()
	p.QueriesInFlight = 50
	v := &view.View{
		Self: vm.id, Incarnation: vm.incarnation, Zone: testZones[slices.Index(sim.vms, vm)%len(testZones)],
		Version: 1, Ready: true, Preset: p, VMs: vmCount,
	}
	members := map[ident.VMID]view.Member{}
	for _, other := range sim.vms {
		if other != vm {
			members[other.id] = view.Member{}
		}
	}
	v.Members = container.NewCOW(members)
	s := view.Service{ID: testService, Slots: 4, Connections: 35, Maps: sim.shardMaps}
	for i, id := range sim.replicaIDs {
		u := sim.upstreams[id]
		s.Replicas = append(s.Replicas, view.Replica{
			ID: id, Shard: u.shard, Zone: u.zone, Address: string(id), Out: u.out, Leaving: u.draining,
			Rank: (i + slices.Index(sim.vms, vm)) % vmCount,
		})
		u.withdrawn[vm] = u.out || u.draining
	}
	v.Services = []view.Service{s}
	vm.view = v
	vm.core.Install(sim.now, v)
	sim.executeActions(vm)
}

// executeActions executes the core's actions and checks them.
func (sim *simulation) executeActions(vm *fakeVM) {
	for _, a := range vm.core.Drain(nil) {
		if sim.trace != nil {
			sim.trace = append(sim.trace, fmt.Sprint(vm.id, sim.now, a.Kind, a.Query, a.Attempt, a.Replica, a.News))
		}
		switch a.Kind {
		case node.Send:
			u := sim.upstreams[a.Replica]
			if u.withdrawn[vm] || sim.now < u.drainingUntil[vm] {
				sim.failf("%s sent an attempt to %s, which was reported to it as leaving or out", vm.id, a.Replica)
			}
			sim.inFlight = append(sim.inFlight, message{vm: vm, action: a})
			vm.pendingAttempts[a.Attempt] = true
		case node.Finish:
			sim.recordAnswer(vm, a)
		case node.Claim:
			sim.claims = append(sim.claims, claimCall{vm, a})
		case node.Forward:
			sim.forward(vm, a)
		case node.Abort:
			delete(vm.pendingAttempts, a.Attempt)
		case node.Notify:
		}
	}
}

// forward delivers a forwarded request to another VM, or fails if that VM is stopped or
// the request is lost.
func (sim *simulation) forward(vm *fakeVM, a node.Action) {
	i := slices.IndexFunc(sim.vms, func(o *fakeVM) bool { return o.id == a.VM })
	to := sim.vms[i]
	s := vm.sends[a.Query]
	if !to.alive || sim.random.IntN(4) == 0 {
		vm.core.Forwarded(sim.now, a.Query, nil)
		sim.executeActions(vm)
		return
	}
	arrival := s.arrival
	arrival.Relayed = true
	remote := to.core.Arrive(sim.now, arrival)
	to.sends[remote] = &send{arrival: arrival}
	sim.forwards = append(sim.forwards, forwardCall{vm, a.Query, to, remote})
	sim.executeActions(to)
}

// recordAnswer checks an answer and returns it to the forwarding VM, if there is one and
// the answer is not lost.
func (sim *simulation) recordAnswer(vm *fakeVM, a node.Action) {
	s := vm.sends[a.Query]
	if s == nil || s.answered {
		sim.failf("%s answered query %d twice or without a request", vm.id, a.Query)
		return
	}
	s.answered = true
	sim.answers++
	if s.arrival.Key == "" {
		sim.checkSearch(s, a.Answer)
		return
	}
	sim.checkBooking(s, a.Answer)
	i := slices.IndexFunc(sim.forwards, func(f forwardCall) bool { return f.to == vm && f.remoteQuery == a.Query })
	if i < 0 {
		return
	}
	f := sim.forwards[i]
	sim.forwards = slices.Delete(sim.forwards, i, i+1)
	if f.from.alive && sim.random.IntN(5) > 0 {
		f.from.core.Forwarded(sim.now, f.query, a.Answer)
		sim.executeActions(f.from)
	}
}

// checkBooking compares an answer with the number of times that upstreams ran the booking.
func (sim *simulation) checkBooking(s *send, answer *node.Answer) {
	runs := sim.runs[s.arrival.Key]
	switch {
	case answer.Refusal == nil && runs != 1:
		sim.failf("booking %s was answered as run but ran %d times", s.arrival.Key, runs)
	case answer.Refusal != nil && answer.Refusal.Outcome == booking.NotRun && runs != 0:
		sim.failf("booking %s was refused as not run (%s) but ran %d times", s.arrival.Key, answer.Refusal.Reason, runs)
	}
	if answer.Refusal != nil {
		s.refusalOutcome = answer.Refusal.Outcome
	}
}

// checkSearch compares an answer with the shard map of its snapshot, and its results with
// those that the upstreams return for that snapshot and body.
func (sim *simulation) checkSearch(s *send, answer *node.Answer) {
	if answer.Refusal != nil {
		return
	}
	if len(answer.Parts) == 0 {
		return
	}
	m := sim.shardMaps.At(answer.Snapshot)
	if m == nil || m.Version != answer.Map {
		sim.failf("answer of snapshot %d has shard map %d", answer.Snapshot, answer.Map)
		return
	}
	var shards []ident.ShardID
	for i, p := range answer.Parts {
		if expected := resultOf(p.Shard, answer.Snapshot, s.arrival.Body); !bytes.Equal(p.Result, expected) {
			sim.failf("shard %d: found %q, expected %q", p.Shard, p.Result, expected)
		}
		if answer.Coverage.Covered[i] != p.Shard {
			sim.failf("coverage lists shard %d for the part of shard %d", answer.Coverage.Covered[i], p.Shard)
		}
		shards = append(shards, p.Shard)
	}
	sim.covered += len(shards)
	for _, missing := range answer.Coverage.Missing {
		shards = append(shards, missing.Shard)
		if missing.Reason == "" {
			sim.failf("shard %d is missing without a reason", missing.Shard)
		}
	}
	slices.Sort(shards)
	if !slices.Equal(shards, m.Shards) {
		sim.failf("covered and missing shards are %v, the map of snapshot %d has %v", shards, answer.Snapshot, m.Shards)
	}
}

// resultOf returns the result of an upstream for a shard, a snapshot and a body.
func resultOf(shard ident.ShardID, at ident.SnapshotID, body []byte) []byte {
	return fmt.Appendf(nil, "%d@%d:%s", shard, at, body)
}

// runAttempt lets the upstream process an attempt and returns its reply.
func (sim *simulation) runAttempt(m *message) node.Reply {
	a := &m.action
	u := sim.upstreams[a.Replica]
	r := node.Reply{Attempt: a.Attempt, Shard: a.Shard, Held: u.held, Draining: u.draining}
	at := a.Snapshot
	if at == 0 {
		at = u.held.Newest
	}
	switch {
	case !u.up:
		r.Outcome = replica.Unsent
	case u.draining:
		r.Outcome = replica.Draining
	case a.Key == "" && !u.held.Holds(at):
		r.Outcome = replica.SnapshotGone
	case sim.random.IntN(12) == 0:
		r.Outcome = replica.Shed
	case sim.random.IntN(20) == 0:
		r.Outcome = replica.RefusedCold
	default:
		sim.recordRun(m)
		r.Snapshot, r.Result = at, resultOf(a.Shard, at, a.Body)
		if a.Key != "" {
			r.Snapshot = 0
		}
	}
	return r
}

// recordRun records that an upstream ran an attempt. It checks that a booking runs only
// once, and not after all its sends were refused as not run.
func (sim *simulation) recordRun(m *message) {
	m.ran = true
	key := m.action.Key
	if key == "" {
		return
	}
	sim.runs[key]++
	if sim.runs[key] > 1 {
		sim.failf("booking %s ran %d times", key, sim.runs[key])
	}
	for _, s := range sim.sends[key] {
		if !s.answered || s.refusalOutcome != booking.NotRun {
			return
		}
	}
	sim.failf("booking %s ran after all its sends were refused as not run", key)
}
