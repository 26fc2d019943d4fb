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

// A chooser draws the world's random choices: a seeded generator in long runs,
// a rapid generator where a failure should shrink.
type chooser interface{ IntN(n int) int }

type fakeUpstream struct {
	shard    ident.ShardID
	zone     ident.ZoneID
	held     snapshot.Range
	up       bool
	draining bool
	out      bool
	// Told is the set of VM lives whose view says that it leaves or is out;
	// heard is until when a life must heed the upstream's own word.
	told  map[*fakeVM]bool
	heard map[*fakeVM]ident.Instant
}

type fakeVM struct {
	core        *node.Core
	id          ident.VMID
	incarnation ident.Incarnation
	alive       bool
	pausedTill  ident.Instant
	view        *view.View
	sends       map[ident.QueryID]*send
	// Live are the attempts that the core has not aborted and has no reply of.
	live map[ident.AttemptID]bool
}

// A send is one request of a caller to one VM.
type send struct {
	arrival  node.Arrival
	answered bool
	refused  booking.Outcome
}

type message struct {
	vm     *fakeVM
	action node.Action
	ran    bool
}

type claimCall struct {
	vm     *fakeVM
	action node.Action
}

type forwardCall struct {
	from   *fakeVM
	query  ident.QueryID
	to     *fakeVM
	remote ident.QueryID
}

// A world is several VMs with fake upstreams and a fake platform under virtual
// time. It checks every answer against what the fakes really did.
type world struct {
	choose    chooser
	now       ident.Instant
	vms       []*fakeVM
	upstreams map[ident.ReplicaID]*fakeUpstream
	order     []ident.ReplicaID
	maps      snapshot.Maps
	newest    ident.SnapshotID
	flying    []message
	replies   []message
	claims    []claimCall
	forwards  []forwardCall
	book      []booking.Entry
	runs      map[ident.RequestKey]int
	keys      []ident.RequestKey
	sends     map[ident.RequestKey][]*send
	crashes   map[string]int
	lives     int
	bodies    int
	faults    []string
	answers   int
	covered   int
	// Trace holds every action, when it is not nil.
	trace []string
}

const (
	worldService ident.ServiceID = "route-planner"
	worldVMs     int             = 3
)

var worldZones = []ident.ZoneID{"windhoek-north", "windhoek-south", "okahandja"}

func newWorld(choose chooser) *world {
	w := &world{
		choose: choose, now: ident.Instant(time.Hour), newest: 3,
		upstreams: map[ident.ReplicaID]*fakeUpstream{}, runs: map[ident.RequestKey]int{},
		sends: map[ident.RequestKey][]*send{}, crashes: map[string]int{},
		maps: snapshot.Maps{
			{Version: 1, Since: 1, Shards: []ident.ShardID{0, 1, 2, 3}},
			// From snapshot 6 on shard 3 is split into 4 and 5.
			{Version: 2, Since: 6, Shards: []ident.ShardID{0, 1, 2, 4, 5}},
		},
	}
	for shard := range ident.ShardID(6) {
		for i, zone := range worldZones {
			id := ident.ReplicaID(fmt.Sprintf("r-%d-%d", shard, i))
			w.upstreams[id] = &fakeUpstream{
				shard: shard, zone: zone, up: true, told: map[*fakeVM]bool{}, heard: map[*fakeVM]ident.Instant{},
				held: snapshot.Range{Oldest: 1, Newest: 3},
			}
			w.order = append(w.order, id)
		}
	}
	for i := range worldVMs {
		w.vms = append(w.vms, &fakeVM{id: ident.VMID(fmt.Sprintf("entry-%d", i))})
		w.startVM(w.vms[i])
	}
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// startVM gives the VM a new life with an empty core.
func (w *world) startVM(vm *fakeVM) {
	w.lives++
	vm.incarnation, vm.alive = ident.Incarnation(w.lives), true
	vm.sends, vm.live = map[ident.QueryID]*send{}, map[ident.AttemptID]bool{}
	vm.core = node.New(node.Config{
		VM: vm.id, Incarnation: vm.incarnation, Random: rand.New(rand.NewPCG(uint64(w.lives), 7)),
	})
	for _, u := range w.upstreams {
		delete(u.told, vm)
		delete(u.heard, vm)
	}
	w.install(vm)
}

// install gives the VM the view of the current state.
func (w *world) install(vm *fakeVM) {
	p := preset.Ordinary()
	p.QueriesInFlight = 50
	v := &view.View{
		Self: vm.id, Incarnation: vm.incarnation, Zone: worldZones[slices.Index(w.vms, vm)%len(worldZones)],
		Version: 1, Ready: true, Preset: p, VMs: worldVMs,
	}
	members := map[ident.VMID]view.Member{}
	for _, other := range w.vms {
		if other != vm {
			members[other.id] = view.Member{}
		}
	}
	v.Members = container.NewCOW(members)
	s := view.Service{ID: worldService, Slots: 4, Connections: 35, Maps: w.maps}
	for i, id := range w.order {
		u := w.upstreams[id]
		s.Replicas = append(s.Replicas, view.Replica{
			ID: id, Shard: u.shard, Zone: u.zone, Address: string(id), Out: u.out, Leaving: u.draining,
			Rank: (i + slices.Index(w.vms, vm)) % worldVMs,
		})
		u.told[vm] = u.out || u.draining
	}
	v.Services = []view.Service{s}
	vm.view = v
	vm.core.Install(w.now, v)
	w.carryOut(vm)
}

// carryOut takes the core's actions and checks them.
func (w *world) carryOut(vm *fakeVM) {
	for _, a := range vm.core.Drain(nil) {
		if w.trace != nil {
			w.trace = append(w.trace, fmt.Sprint(vm.id, w.now, a.Kind, a.Query, a.Attempt, a.Replica, a.News))
		}
		switch a.Kind {
		case node.Send:
			u := w.upstreams[a.Replica]
			if u.told[vm] || w.now < u.heard[vm] {
				w.fault("%s sent new work to %s after it was told that it leaves or is out", vm.id, a.Replica)
			}
			w.flying = append(w.flying, message{vm: vm, action: a})
			vm.live[a.Attempt] = true
		case node.Finish:
			w.answered(vm, a)
		case node.Claim:
			w.claims = append(w.claims, claimCall{vm, a})
		case node.Forward:
			w.forward(vm, a)
		case node.Abort:
			delete(vm.live, a.Attempt)
		case node.Notify:
		}
	}
}

func (w *world) forward(vm *fakeVM, a node.Action) {
	i := slices.IndexFunc(w.vms, func(o *fakeVM) bool { return o.id == a.VM })
	to := w.vms[i]
	s := vm.sends[a.Query]
	if !to.alive || w.choose.IntN(4) == 0 {
		vm.core.Forwarded(w.now, a.Query, nil)
		w.carryOut(vm)
		return
	}
	arrival := s.arrival
	arrival.Relayed = true
	remote := to.core.Arrive(w.now, arrival)
	to.sends[remote] = &send{arrival: arrival}
	w.forwards = append(w.forwards, forwardCall{vm, a.Query, to, remote})
	w.carryOut(to)
}

func (w *world) answered(vm *fakeVM, a node.Action) {
	s := vm.sends[a.Query]
	if s == nil || s.answered {
		w.fault("%s answered query %d twice or unasked", vm.id, a.Query)
		return
	}
	s.answered = true
	w.answers++
	if s.arrival.Key == "" {
		w.checkSearch(s, a.Answer)
		return
	}
	w.checkBooking(s, a.Answer)
	i := slices.IndexFunc(w.forwards, func(f forwardCall) bool { return f.to == vm && f.remote == a.Query })
	if i < 0 {
		return
	}
	f := w.forwards[i]
	w.forwards = slices.Delete(w.forwards, i, i+1)
	if f.from.alive && w.choose.IntN(5) > 0 {
		f.from.core.Forwarded(w.now, f.query, a.Answer)
		w.carryOut(f.from)
	}
}

// checkBooking compares an answer with the runs that the fakes counted.
func (w *world) checkBooking(s *send, answer *node.Answer) {
	runs := w.runs[s.arrival.Key]
	switch {
	case answer.Refusal == nil && runs != 1:
		w.fault("booking %s was answered as run, it ran %d times", s.arrival.Key, runs)
	case answer.Refusal != nil && answer.Refusal.Outcome == booking.NotRun && runs != 0:
		w.fault("booking %s was refused as not run (%s), it ran %d times", s.arrival.Key, answer.Refusal.Reason, runs)
	}
	if answer.Refusal != nil {
		s.refused = answer.Refusal.Outcome
	}
}

// checkSearch compares an answer with the shard map of its snapshot and with
// what the fakes return for that snapshot and body.
func (w *world) checkSearch(s *send, answer *node.Answer) {
	if answer.Refusal != nil {
		return
	}
	if len(answer.Parts) == 0 {
		return
	}
	m := w.maps.At(answer.Snapshot)
	if m == nil || m.Version != answer.Map {
		w.fault("answer of snapshot %d names shard map %d", answer.Snapshot, answer.Map)
		return
	}
	var shards []ident.ShardID
	for i, p := range answer.Parts {
		if want := resultOf(p.Shard, answer.Snapshot, s.arrival.Body); !bytes.Equal(p.Result, want) {
			w.fault("shard %d: found %q, expected %q", p.Shard, p.Result, want)
		}
		if answer.Coverage.Covered[i] != p.Shard {
			w.fault("coverage names shard %d for the part of %d", answer.Coverage.Covered[i], p.Shard)
		}
		shards = append(shards, p.Shard)
	}
	w.covered += len(shards)
	for _, missing := range answer.Coverage.Missing {
		shards = append(shards, missing.Shard)
		if missing.Reason == "" {
			w.fault("shard %d is missing without a reason", missing.Shard)
		}
	}
	slices.Sort(shards)
	if !slices.Equal(shards, m.Shards) {
		w.fault("covered and missing are %v, the map of snapshot %d has %v", shards, answer.Snapshot, m.Shards)
	}
}

func resultOf(shard ident.ShardID, at ident.SnapshotID, body []byte) []byte {
	return fmt.Appendf(nil, "%d@%d:%s", shard, at, body)
}

// run lets an upstream take a message and returns its reply.
func (w *world) run(m *message) node.Reply {
	a := &m.action
	u := w.upstreams[a.Replica]
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
	case w.choose.IntN(12) == 0:
		r.Outcome = replica.Shed
	case w.choose.IntN(20) == 0:
		r.Outcome = replica.RefusedCold
	default:
		w.ran(m)
		r.Snapshot, r.Result = at, resultOf(a.Shard, at, a.Body)
		if a.Key != "" {
			r.Snapshot = 0
		}
	}
	return r
}

func (w *world) ran(m *message) {
	m.ran = true
	key := m.action.Key
	if key == "" {
		return
	}
	w.runs[key]++
	if w.runs[key] > 1 {
		w.fault("booking %s ran %d times", key, w.runs[key])
	}
	for _, s := range w.sends[key] {
		if !s.answered || s.refused != booking.NotRun {
			return
		}
	}
	w.fault("booking %s ran after every send of it was refused as not run", key)
}
