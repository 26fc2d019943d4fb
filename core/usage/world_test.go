package usage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/tenant"
)

const (
	// step is the resolution of virtual time.
	step = 2 * time.Millisecond
	// exchangeTimeout is the time after which a question without an answer has failed.
	exchangeTimeout = 150 * time.Millisecond
	listInterval    = 10 * time.Second
)

// A testVM is one VM of a world. A frozen VM does nothing until thawsAt.
type testVM struct {
	id      ident.VMID
	ledger  *Ledger
	thawsAt ident.Instant
	started ident.Instant
	// listAt is when the VM next reads the list of VMs.
	listAt ident.Instant
	// side numbers the part of the network that the VM reaches.
	side     int
	admitted int
	refused  int
	// waits is false for the requests that were cancelled.
	waits map[ident.QueryID]bool
}

// A transfer is a question or an answer on its way.
type transfer struct {
	at   ident.Instant
	from int
	// process is the sender, which may have restarted meanwhile.
	process  *Ledger
	exchange Exchange
	answer   *Message
	failed   bool
	// late is a question that arrives after its sender has given up.
	late bool
}

// A world runs the ledgers of several VMs under virtual time with one tenant.
type world struct {
	random    *rand.Rand
	now       ident.Instant
	cap       tenant.Tenant
	bounds    Bounds
	vms       []*testVM
	transfers []transfer
	loss      float64
	slowest   time.Duration
	// refunds is the part of the admitted requests that no replica runs, and cancels the
	// part of the waiting ones whose callers leave.
	refunds, cancels float64
	returns          []refund
	// The rate that all processes accrue together was once mostRate.
	mostRate ident.Rate
	queries  ident.QueryID
	times    []ident.Instant
	offered  int
	messages int
}

// A refund gives back the token of a request that was taken at taken.
type refund struct {
	at, taken ident.Instant
	process   *Ledger
}

func newWorld(seed uint64, n int, limit tenant.Tenant) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: ident.Instant(time.Hour), cap: limit, slowest: 4 * time.Millisecond,
		bounds: Bounds{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20},
	}
	for i := range n {
		w.vms = append(w.vms, &testVM{id: ident.VMID(fmt.Sprintf("vm-%d", i)), started: w.now, waits: map[ident.QueryID]bool{}})
	}
	for i := range w.vms {
		w.start(i, true)
	}
	return w
}

// start starts a new process of a VM.
func (w *world) start(i int, first bool) {
	vm := w.vms[i]
	vm.started, vm.listAt = w.now, w.now.Add(time.Duration(w.random.Float64()*float64(listInterval)))
	vm.ledger = New(Config{VM: vm.id, Incarnation: ident.Incarnation(w.now), Started: w.now, FirstStart: first})
	clear(vm.waits)
	w.install(i, len(w.vms))
}

// install lets a VM know the first n VMs.
func (w *world) install(i, n int) {
	var peers []Peer
	for j, other := range w.vms[:n] {
		if j != i {
			peers = append(peers, Peer{VM: other.id, Started: other.started})
		}
	}
	w.vms[i].ledger.Install(w.now, []tenant.Tenant{w.cap}, peers, n, w.bounds)
}

func (w *world) arrive(i int) {
	vm := w.vms[i]
	if vm.thawsAt > w.now {
		return
	}
	w.queries++
	w.offered++
	switch verdict, _ := vm.ledger.Admit(w.now, w.cap.ID, w.queries); verdict {
	case Admitted:
		w.admit(vm)
	case Waiting:
		vm.waits[w.queries] = true
		if w.cancels > 0 && w.random.Float64() < w.cancels {
			vm.ledger.Forget(w.cap.ID, w.queries)
			vm.waits[w.queries] = false
		}
	case Refused:
		vm.refused++
	}
}

func (w *world) admit(vm *testVM) {
	if w.refunds > 0 && w.random.Float64() < w.refunds {
		w.refund(vm)
		return
	}
	vm.admitted++
	w.times = append(w.times, w.now)
}

// refund gives the token of a request back at once, or when its replica has failed.
func (w *world) refund(vm *testVM) {
	if w.random.IntN(2) == 0 {
		vm.ledger.Return(w.now, w.now, w.cap.ID)
		return
	}
	after := time.Duration(w.random.Float64() * float64(3*time.Second))
	w.returns = append(w.returns, refund{at: w.now.Add(after), taken: w.now, process: vm.ledger})
}

// accruing returns the rate that the shares of all VMs and their pools accrue together.
func (w *world) accruing() ident.Rate {
	var sum ident.Rate
	for _, vm := range w.vms {
		a := vm.ledger.accounts[w.cap.ID]
		if w.now >= a.lentUntil && w.now >= vm.ledger.withheldUntil {
			sum += a.rate / ident.Rate(vm.ledger.count)
		}
		if a.pool == nil {
			continue
		}
		for _, s := range a.pool.shares {
			if w.now < s.until {
				sum += s.rate
			}
		}
	}
	return sum
}

// advance runs the world for a time in which callers send to the first k VMs perSecond
// requests each. A perSecond of 0 sends none.
func (w *world) advance(d time.Duration, k int, perSecond float64) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(step) {
		w.deliver()
		w.returns = slices.DeleteFunc(w.returns, func(r refund) bool {
			if w.now >= r.at {
				r.process.Return(w.now, r.taken, w.cap.ID)
			}
			return w.now >= r.at
		})
		for i, vm := range w.vms {
			if vm.thawsAt > w.now {
				continue
			}
			if i < k && w.random.Float64() < perSecond*step.Seconds() {
				w.arrive(i)
			}
			if w.now >= vm.listAt {
				vm.listAt = w.now.Add(listInterval)
				w.install(i, len(w.vms))
			}
			vm.ledger.Tick(w.now)
			for _, d := range vm.ledger.Decisions(nil) {
				waits, known := vm.waits[d.Query]
				switch {
				case !known:
					panic("a decision on a request that does not wait")
				case waits && d.Admitted:
					w.admit(vm)
				case waits:
					vm.refused++
				}
				delete(vm.waits, d.Query)
			}
			for _, e := range vm.ledger.Exchanges(w.now, nil) {
				w.messages++
				w.transfers = append(w.transfers, transfer{at: w.delay(), from: i, process: vm.ledger, exchange: e})
			}
		}
		w.mostRate = max(w.mostRate, w.accruing())
	}
}

func (w *world) delay() ident.Instant {
	return w.now.Add(time.Duration(w.random.Float64() * float64(w.slowest)))
}

// deliver passes the transfers that are due to their receivers. Those that are lost, or
// pass between sides of a cut, fail at the timeout.
func (w *world) deliver() {
	due := w.transfers
	w.transfers = nil
	for _, t := range due {
		to := w.index(t.exchange.To)
		sender := w.vms[t.from]
		receiver := t.from
		if t.answer == nil && !t.failed {
			receiver = to
		}
		if t.at > w.now || w.vms[receiver].thawsAt > w.now {
			w.transfers = append(w.transfers, t)
			continue
		}
		if t.late {
			if sender.side == w.vms[to].side {
				w.vms[to].ledger.Receive(w.now, sender.id, t.exchange.Message)
			}
			continue
		}
		late := w.now.Sub(t.exchange.Sent) >= exchangeTimeout
		switch {
		case t.failed || (t.answer != nil && late):
			t.process.Complete(w.now, t.exchange, Message{}, false)
		case t.answer != nil:
			t.process.Complete(w.now, t.exchange, *t.answer, true)
		case w.random.Float64() < w.loss/2 || sender.side != w.vms[to].side:
			t.at, t.failed = t.exchange.Sent.Add(exchangeTimeout), true
			w.transfers = append(w.transfers, t)
			if w.random.IntN(2) == 0 {
				t.at, t.failed, t.late = w.now.Add(time.Duration(w.random.Float64()*float64(3*time.Second))), false, true
				w.transfers = append(w.transfers, t)
			}
		default:
			answer := w.vms[to].ledger.Receive(w.now, sender.id, t.exchange.Message)
			t.at, t.answer = w.delay(), &answer
			if w.random.Float64() < w.loss/2 {
				t.at, t.answer, t.failed = t.exchange.Sent.Add(exchangeTimeout), nil, true
			}
			w.transfers = append(w.transfers, t)
		}
	}
}

func (w *world) index(id ident.VMID) int {
	for i, vm := range w.vms {
		if vm.id == id {
			return i
		}
	}
	panic("unknown VM")
}

// mostInWindow returns the most requests admitted in one window.
func (w *world) mostInWindow() int {
	most, first := 0, 0
	for i, at := range w.times {
		for at.Sub(w.times[first]) > w.bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed returns the bound on the requests in one window. The VMs of a world count the
// same VMs, so that the margin for other counts is not used.
func (w *world) allowed() int {
	rate, burst := w.bounds.enforced(&w.cap)
	return int(float64(rate)*w.bounds.Window.Seconds() + float64(burst) + 1e-6)
}
