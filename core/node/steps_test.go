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

// heedsDraining is how long an upstream's own word that it leaves must hold.
const heedsDraining = 5 * time.Second

// steps are the world's random events, the frequent ones listed more often.
var steps = []func(*world){
	(*world).stepSearch, (*world).stepSearch, (*world).stepSearch,
	(*world).stepBook, (*world).stepBook, (*world).stepResend,
	(*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver,
	(*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver,
	(*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver,
	(*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver, (*world).stepDeliver,
	(*world).stepLateReply, (*world).stepLateReply,
	(*world).stepBreak, (*world).stepClaim, (*world).stepClaim,
	(*world).stepTime, (*world).stepTime,
	(*world).stepUpstream, (*world).stepSnapshot, (*world).stepOut, (*world).stepCancel,
	(*world).stepVM,
}

func (w *world) step() { steps[w.choose.IntN(len(steps))](w) }

func (w *world) vm() *fakeVM { return w.vms[w.choose.IntN(len(w.vms))] }

// running reports whether the VM's process gets to run now.
func (w *world) running(vm *fakeVM) bool { return vm.alive && vm.pausedTill <= w.now }

func (w *world) arrive(vm *fakeVM, a node.Arrival) {
	if !w.running(vm) {
		return
	}
	s := &send{arrival: a}
	if a.Key != "" {
		w.sends[a.Key] = append(w.sends[a.Key], s)
	}
	id := vm.core.Arrive(w.now, a)
	vm.sends[id] = s
	w.carryOut(vm)
}

func (w *world) stepSearch() {
	w.bodies++
	w.arrive(w.vm(), node.Arrival{
		Service: worldService, Class: []ident.ClassID{"urgent", "report"}[w.choose.IntN(2)],
		Body: fmt.Appendf(nil, "query %d", w.bodies), Deadline: time.Duration(20+w.choose.IntN(400)) * time.Millisecond,
	})
}

func (w *world) stepBook() {
	vm := w.vm()
	if !w.running(vm) {
		return
	}
	var key ident.RequestKey
	if w.choose.IntN(2) == 0 {
		key, _ = vm.core.Issue(w.now)
	} else {
		w.bodies++
		key = ident.RequestKey(fmt.Sprintf("%d-order-%d", int64(w.now)/int64(time.Millisecond), w.bodies))
	}
	w.keys = append(w.keys, key)
	w.send(vm, key)
}

func (w *world) stepResend() {
	if len(w.keys) == 0 {
		return
	}
	recent := w.keys[max(0, len(w.keys)-8):]
	w.send(w.vm(), recent[w.choose.IntN(len(recent))])
}

func (w *world) send(vm *fakeVM, key ident.RequestKey) {
	w.arrive(vm, node.Arrival{
		Service: worldService, Class: "urgent", Body: []byte("book " + key), Key: key,
		Deadline: time.Duration(50+w.choose.IntN(300)) * time.Millisecond,
	})
}

// take removes a random message, oldest ones more often.
func take[T any](w *world, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := w.choose.IntN(min(len(*from), 6))
	v := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	return v, true
}

func (w *world) reply(m *message, r node.Reply) {
	if w.running(m.vm) {
		// The reply of an aborted attempt is not read, so it tells nothing.
		if m.vm.live[r.Attempt] && (r.Draining || r.Outcome == replica.Draining) {
			w.upstreams[m.action.Replica].heard[m.vm] = w.now.Add(heedsDraining)
		}
		delete(m.vm.live, r.Attempt)
		m.vm.core.Reply(w.now, r)
		w.carryOut(m.vm)
	}
}

// stepDeliver lets an upstream take a message and reply; the reply may be kept
// to come late or twice.
func (w *world) stepDeliver() {
	m, ok := take(w, &w.flying)
	if !ok {
		return
	}
	w.now = w.now.Add(time.Duration(w.choose.IntN(1000)) * time.Microsecond)
	r := w.run(&m)
	switch w.choose.IntN(10) {
	case 0:
		w.replies = append(w.replies, m)
	case 1:
		w.reply(&m, r)
		w.reply(&m, r)
	default:
		w.reply(&m, r)
	}
}

// stepLateReply delivers a reply that was kept back.
func (w *world) stepLateReply() {
	m, ok := take(w, &w.replies)
	if !ok {
		return
	}
	u := w.upstreams[m.action.Replica]
	r := node.Reply{Attempt: m.action.Attempt, Shard: m.action.Shard, Held: u.held}
	if !m.ran {
		r.Outcome = replica.Shed
	} else if m.action.Key == "" {
		r.Snapshot = max(m.action.Snapshot, 1)
		r.Result = resultOf(r.Shard, r.Snapshot, m.action.Body)
	}
	w.reply(&m, r)
}

// stepBreak loses an upstream with a message on it, run or not.
func (w *world) stepBreak() {
	m, ok := take(w, &w.flying)
	if !ok {
		return
	}
	if w.choose.IntN(2) == 0 && w.upstreams[m.action.Replica].up {
		w.ran(&m)
	}
	w.reply(&m, node.Reply{Attempt: m.action.Attempt, Outcome: replica.Broken})
}

// stepClaim lets the fake platform take a claim; its answer may be lost.
func (w *world) stepClaim() {
	call, ok := take(w, &w.claims)
	if !ok {
		return
	}
	issuedAt, _ := booking.IssuedAt(call.action.Key)
	result := booking.Unavailable
	if w.choose.IntN(5) > 0 {
		var results []booking.ClaimResult
		w.book, results = booking.Merge(w.now, w.book, []booking.Entry{{
			Key: call.action.Key, VM: call.vm.id, Incarnation: call.vm.incarnation, IssuedAt: issuedAt,
		}})
		if w.choose.IntN(5) > 0 {
			result = results[0]
		}
	}
	if w.running(call.vm) && call.vm.sends[call.action.Query] != nil {
		call.vm.core.Claimed(w.now, call.action.Query, call.action.Key, result)
		w.carryOut(call.vm)
	}
}

func (w *world) stepTime() {
	w.now = w.now.Add(time.Duration(w.choose.IntN(60)) * time.Millisecond)
	if w.choose.IntN(200) == 0 {
		w.now = w.now.Add(time.Duration(w.choose.IntN(600)) * time.Second)
	}
	for _, vm := range w.vms {
		if w.running(vm) && vm.core.Wake() <= w.now {
			vm.core.Tick(w.now)
			w.carryOut(vm)
		}
	}
}

func (w *world) stepUpstream() {
	u := w.upstreams[w.order[w.choose.IntN(len(w.order))]]
	switch w.choose.IntN(8) {
	case 0:
		u.up = false
	case 1:
		u.draining = true
	default:
		u.up, u.draining = true, false
	}
	w.tell()
}

// tell gives some VMs the current view, at once or not.
func (w *world) tell() {
	for _, vm := range w.vms {
		if w.running(vm) && w.choose.IntN(2) == 0 {
			w.install(vm)
		}
	}
}

// stepSnapshot moves the snapshots that one replica holds.
func (w *world) stepSnapshot() {
	if w.choose.IntN(6) == 0 && w.newest < 9 {
		w.newest++
	}
	u := w.upstreams[w.order[w.choose.IntN(len(w.order))]]
	u.held.Newest = w.newest
	u.held.Oldest = max(u.held.Oldest, w.newest-2)
}

func (w *world) stepOut() {
	u := w.upstreams[w.order[w.choose.IntN(len(w.order))]]
	u.out = !u.out && w.choose.IntN(4) == 0
	w.tell()
}

func (w *world) stepCancel() {
	vm := w.vm()
	if !w.running(vm) {
		return
	}
	var oldest ident.QueryID
	for id, s := range vm.sends {
		if !s.answered && s.arrival.Key == "" && (oldest == 0 || id < oldest) {
			oldest = id
		}
	}
	if oldest != 0 {
		vm.core.Cancel(w.now, oldest)
		w.carryOut(vm)
	}
}

// stepVM kills, restarts or pauses a VM.
func (w *world) stepVM() {
	vm := w.vm()
	switch w.choose.IntN(12) {
	case 0:
		vm.alive = false
		w.forget(vm)
		w.startVM(vm)
	case 1:
		vm.pausedTill = w.now.Add(time.Duration(w.choose.IntN(2000)) * time.Millisecond)
	}
}

// forget drops what a killed VM had in memory. Messages that it sent may still
// arrive at upstreams.
func (w *world) forget(vm *fakeVM) {
	for i := range w.flying {
		if w.flying[i].vm == vm {
			w.flying[i].vm = &fakeVM{id: vm.id}
		}
	}
	for i := range w.replies {
		if w.replies[i].vm == vm {
			w.replies[i].vm = &fakeVM{id: vm.id}
		}
	}
	for i := range w.claims {
		if w.claims[i].vm == vm {
			w.claims[i].vm = &fakeVM{id: vm.id, incarnation: vm.incarnation}
		}
	}
	w.forwards = slices.DeleteFunc(w.forwards, func(f forwardCall) bool { return f.to == vm || f.from == vm })
	for _, s := range vm.sends {
		s.answered = s.answered || s.arrival.Relayed
	}
}

// drain lets everything end and checks that nothing is left over.
func (w *world) drain() {
	for _, vm := range w.vms {
		vm.pausedTill = 0
	}
	for range 10_000 {
		m, ok := take(w, &w.flying)
		if !ok {
			break
		}
		w.reply(&m, w.run(&m))
	}
	for range 3 {
		w.now = w.now.Add(time.Minute)
		for _, vm := range w.vms {
			vm.core.Tick(w.now)
			w.carryOut(vm)
		}
	}
	for _, vm := range w.vms {
		for id, s := range vm.sends {
			if !s.answered {
				w.fault("%s never answered query %d (key %q)", vm.id, id, s.arrival.Key)
			}
		}
		r := vm.core.Report(w.now)
		if r.InFlight != 0 {
			w.fault("%s counts %d queries in flight after all ended", vm.id, r.InFlight)
		}
		for _, u := range r.Replicas {
			if u.InFlight != 0 {
				w.fault("%s counts %d attempts in flight at %s after all ended", vm.id, u.InFlight, u.ID)
			}
		}
	}
}
