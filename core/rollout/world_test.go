package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

const (
	oldSoftware = ident.Software("v1")
	newSoftware = ident.Software("v2")
	service     = ident.ServiceID("planner")
	tick        = 50 * time.Millisecond
	// loadWindow is the time over which the load of a replica is measured.
	loadWindow = 200 * time.Millisecond
	// reportInterval is that of serve/vm for a bound of 5 s.
	reportInterval = 400 * time.Millisecond
)

var (
	zones  = []ident.ZoneID{"z0", "z1", "z2"}
	routes = []ident.RouteID{"sweep", "check"}
	bounds = rollout.Bounds{Share: 0.1, Allowance: 50, Within: 5 * time.Second}
)

// A version says how the new version's answers differ from the old one's.
type version struct {
	// share of the answers is bad from this part of the duration on, on one route if set, and only while
	// the replica gets at least the part underLoad of what it gets under the whole traffic.
	share     float64
	slow      bool
	from      float64
	route     ident.RouteID
	underLoad float64
}

// A fakeReplica pauses at its own times; its zone may be slow.
type fakeReplica struct {
	id       ident.ReplicaID
	zone     ident.ZoneID
	software ident.Software
	phase    time.Duration
	cold     ident.Instant
	lost     bool
	// grey replicas fail half of their requests.
	grey bool
	// load counts the requests of the current loadWindow, lastLoad those of the last one.
	load, lastLoad int
}

// A fakeVM is the state of one VM: what control and traffic hold.
type fakeVM struct {
	id       ident.VMID
	manager  *rollout.Manager
	plan     *rollout.Plan
	withheld func(ident.Software) bool
	exposure rollout.Exposure
	tally    rollout.Tally
	order    rollout.OrderID
	// cutUntil is the end of a cut from the other VMs; traffic goes on.
	cutUntil ident.Instant
	inFlight map[ident.Software][]ident.Instant
	messages []func()
}

// A world is a deployment under virtual time: each second, its VMs send perSecond requests
// in all.
type world struct {
	now, ordered ident.Instant
	random       *rand.Rand
	vms          []*fakeVM
	replicas     []*fakeReplica
	version      version
	order        rollout.Order
	perSecond    float64
	lossShare    float64
	pauses       bool
	// rareShare of the requests are on the route "rare".
	rareShare           float64
	slowZone            ident.ZoneID
	slowFrom, slowUntil time.Duration
	noise               float64
	total, exposed, bad int
	// fiftieth is when the 50th bad answer came; lastSent when the target got its last
	// request.
	fiftieth, lastSent ident.Instant
	// stored is the status in the store; completedInFlight counts the requests in flight
	// at old replicas when it became Completed.
	stored            rollout.Stage
	storedAt          ident.Instant
	completedInFlight int
	storeDown         bool
	// restarts counts the VMs that were restarted.
	restarts int
}

func newWorld(seed uint64, vms int, v version) *world {
	w := &world{now: ident.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 31)), version: v, perSecond: 200, noise: 0.01, pauses: true}
	for i := range 2 * 6 {
		r := &fakeReplica{id: ident.ReplicaID(fmt.Sprint("r", i)), zone: zones[i%3], software: oldSoftware, phase: time.Duration(w.random.Int64N(int64(4500 * time.Millisecond)))}
		if i >= 6 {
			r.software = newSoftware
		}
		w.replicas = append(w.replicas, r)
	}
	for i := range vms {
		w.vms = append(w.vms, w.newVM(ident.VMID(fmt.Sprint("vm", i)), 1))
	}
	w.ordered = w.now
	w.order = rollout.Order{Service: service, ID: rollout.OrderID{Number: 7, Target: newSoftware}, Duration: 60 * time.Second}
	return w
}

func (w *world) newVM(id ident.VMID, incarnation ident.Incarnation) *fakeVM {
	return &fakeVM{
		id: id, manager: &rollout.Manager{Self: id, Incarnation: incarnation, Bounds: bounds},
		inFlight: map[ident.Software][]ident.Instant{},
	}
}

// restart replaces the process of a VM.
func (w *world) restart(i int) {
	w.restarts++
	w.vms[i] = w.newVM(w.vms[i].id, ident.Incarnation(1+w.restarts))
	w.vms[i].manager.SetOrders(w.now, []rollout.Order{w.storedOrder()}, len(w.vms))
}

func (w *world) storedOrder() rollout.Order {
	o := w.order
	o.Stored = w.stored
	return o
}

// ranking orders the VMs by their number.
type ranking struct {
	w    *world
	self ident.VMID
}

func (r ranking) First(_ ident.ServiceID, n int, skip func(ident.VMID) bool) []ident.VMID {
	var out []ident.VMID
	for _, v := range r.w.vms {
		if len(out) < n && !skip(v.id) {
			out = append(out, v.id)
		}
	}
	return out
}

func (r ranking) Rank(ident.ServiceID) int {
	return slices.IndexFunc(r.w.vms, func(v *fakeVM) bool { return v.id == r.self })
}

func (r ranking) Len() int { return len(r.w.vms) }

// run plays the deployment for a time after the order.
func (w *world) run(d time.Duration, each func(age time.Duration)) {
	for _, v := range w.vms {
		v.manager.SetOrders(w.now, nil, len(w.vms))
		v.manager.SetOrders(w.now, []rollout.Order{w.order}, len(w.vms))
	}
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(tick) {
		age := w.now.Sub(w.ordered)
		if each != nil {
			each(age)
		}
		if age%loadWindow == 0 {
			for _, r := range w.replicas {
				r.lastLoad, r.load = r.load, 0
			}
		}
		for i, v := range w.vms {
			w.install(v)
			for range w.arrivals() {
				w.send(v, age)
			}
			if (age+time.Duration(i)*tick)%reportInterval == 0 {
				w.report(v)
			}
		}
		for _, v := range w.vms {
			due := v.messages
			v.messages = nil
			for _, deliver := range due {
				deliver()
			}
		}
	}
}

// arrivals draws the number of requests of one VM in a tick.
func (w *world) arrivals() int {
	mean := w.perSecond * tick.Seconds() / float64(len(w.vms))
	n := int(mean)
	if w.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (w *world) install(v *fakeVM) {
	var list []rollout.Listed
	for _, r := range w.replicas {
		if !r.lost {
			list = append(list, rollout.Listed{Software: r.software, Slots: 4, ColdUntil: r.cold})
		}
	}
	v.plan, v.withheld, _ = v.manager.Apply(w.now, service, list)
	if v.plan != nil && v.order != v.plan.Order {
		v.order, v.exposure, v.tally = v.plan.Order, rollout.NewExposure(v.plan), rollout.Tally{}
	}
}

// send sends one request and, with a probability, a hedge.
func (w *world) send(v *fakeVM, age time.Duration) {
	w.total++
	for attempt := range 2 {
		if attempt == 1 && w.random.Float64() > 0.05 {
			return
		}
		software := oldSoftware
		switch {
		case v.plan != nil && v.exposure.Prefers(v.plan):
			software = newSoftware
		case v.plan == nil && !v.withheld(newSoftware) && v.withheld(oldSoftware):
			software = newSoftware
		}
		r := w.pick(software)
		if r == nil {
			software = oldSoftware
			r = w.pick(software)
		}
		if v.plan != nil && attempt == 0 {
			v.exposure.CountFirst(v.plan)
		}
		w.answer(v, r, age)
	}
}

func (w *world) pick(s ident.Software) *fakeReplica {
	var usable []*fakeReplica
	for _, r := range w.replicas {
		if r.software == s && !r.lost {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[w.random.IntN(len(usable))]
}

func (w *world) answer(v *fakeVM, r *fakeReplica, age time.Duration) {
	r.load++
	target := r.software == newSoftware
	if target {
		w.exposed++
		w.lastSent = w.now
		if v.plan != nil {
			v.exposure.CountTarget()
		}
	}
	result := rollout.Result{
		Cell: rollout.Cell{Route: routes[w.random.IntN(len(routes))], Replica: r.id}, Zone: r.zone, Target: target,
		Took: time.Duration((0.6 + 0.8*w.random.Float64()) * float64(20*time.Millisecond)), Settling: w.now < r.cold,
	}
	if w.random.Float64() < w.rareShare {
		result.Route = "rare"
	}
	if w.now < r.cold {
		result.Took *= 3
	}
	if at := (time.Duration(w.now) + r.phase) % (4500 * time.Millisecond); w.pauses && at < 200*time.Millisecond {
		result.Took += 200*time.Millisecond - at
	}
	if r.zone == w.slowZone && age >= w.slowFrom && age < w.slowUntil {
		result.Took *= 6
	}
	result.Failed = w.random.Float64() < w.noise || (r.grey && w.random.Float64() < 0.5)
	if x := w.version; target && x.share > 0 && age.Seconds() >= x.from*w.order.Duration.Seconds() && (x.route == "" || x.route == result.Route) &&
		float64(r.lastLoad) >= x.underLoad*loadWindow.Seconds()*w.perSecond/6 && w.random.Float64() < x.share {
		if w.bad++; w.bad == 50 {
			w.fiftieth = w.now
		}
		if x.slow {
			result.Took *= 5
		} else {
			result.Failed = true
		}
	}
	v.inFlight[r.software] = append(v.inFlight[r.software], w.now.Add(result.Took))
	if v.plan != nil {
		v.tally.Record(result)
	}
}

func (w *world) countInFlight(v *fakeVM, s ident.Software) int {
	v.inFlight[s] = slices.DeleteFunc(v.inFlight[s], func(end ident.Instant) bool { return end <= w.now })
	return len(v.inFlight[s])
}

// report exchanges reports with the judges. Messages are lost, doubled or late.
func (w *world) report(v *fakeVM) {
	r := ranking{w, v.id}
	if v.plan != nil {
		first, sent := v.exposure.Sent()
		v.manager.AddEvidence(rollout.Evidence{
			Service: service, Order: v.plan.Order, Step: v.plan.Step, Cells: v.tally.Cells(),
			OthersInFlight: w.countInFlight(v, oldSoftware), First: first, Sent: sent,
		})
	}
	for _, o := range v.manager.Reports(w.now, r) {
		judge := w.vms[slices.IndexFunc(w.vms, func(x *fakeVM) bool { return x.id == o.To })]
		deliver := func() {
			if w.now < v.cutUntil || w.now < judge.cutUntil || w.random.Float64() < w.lossShare {
				v.manager.Failed(w.now, judge.id)
				return
			}
			for range 1 + w.random.IntN(2) {
				var answers []rollout.Guidance
				for i := range o.Reports {
					answers = append(answers, judge.manager.Receive(w.now, &o.Reports[i], ranking{w, judge.id}))
				}
				v.manager.Guide(w.now, judge.id, answers, r)
			}
		}
		if late := w.random.Float64() < w.lossShare; late {
			w.vms[0].messages = append(w.vms[0].messages, deliver)
			continue
		}
		deliver()
	}
	w.write(v, r)
}

// write lets the VM write to the store, which holds one final status for the order. All
// VMs read it at once.
func (w *world) write(v *fakeVM, r ranking) {
	if w.storeDown || w.now < v.cutUntil {
		return
	}
	for _, x := range v.manager.Writes(w.now, r) {
		if w.stored.Final() {
			continue
		}
		w.stored, w.storedAt = x.Stage, w.now
		if x.Stage == rollout.Completed {
			for _, vm := range w.vms {
				w.completedInFlight += w.countInFlight(vm, oldSoftware)
			}
		}
		for _, vm := range w.vms {
			if w.now >= vm.cutUntil {
				vm.manager.SetOrders(w.now, []rollout.Order{w.storedOrder()}, len(w.vms))
			}
		}
	}
}

// exposureBound returns the most requests that a bad version may have received.
func (w *world) exposureBound() float64 {
	return float64(bounds.Share)*float64(w.total) + float64(bounds.Allowance)
}
