package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	// drainWithin and applyWithin are the shortest bounds that the platform sets.
	drainWithin = 3 * time.Second
	applyWithin = 3 * time.Second
	shortFault  = 500 * time.Millisecond
	longFault   = 3 * time.Second
)

// A fault is one kind of trouble with its weight in the draw.
type fault struct {
	name   string
	weight int
	begin  func(r *run) string
}

func faults() []fault {
	return []fault{
		{"term", 3, (*run).term},
		{"kill", 2, (*run).kill},
		{"pause", 2, (*run).pause},
		{"hup", 1, (*run).hup},
		{"store-proxy", 3, (*run).cutStore},
		{"store", 3, (*run).troubleStore},
		{"replica-proxy", 4, (*run).cutReplica},
		{"replica", 4, (*run).troubleReplica},
		{"leave", 2, (*run).leave},
		{"configure", 3, (*run).configure},
		{"zone-out", 1, (*run).zoneOut},
	}
}

// begin begins one fault.
func (r *run) begin() {
	all := faults()
	sum := 0
	for _, f := range all {
		sum += f.weight
	}
	n := r.random.IntN(sum)
	for _, f := range all {
		if n -= f.weight; n < 0 {
			r.faults++
			r.tell("%s %s", f.name, f.begin(r))
			return
		}
	}
}

func (r *run) span() time.Duration {
	return shortFault + time.Duration(r.random.Int64N(int64(longFault-shortFault)))
}

func (r *run) vm() (int, *process) {
	i := r.random.IntN(len(r.vms))
	return i, r.vms[i]
}

func (r *run) replica() *standin.Replica {
	return r.site.Replicas[r.random.IntN(len(r.site.Replicas))]
}

// signal sends a signal; a VM that ended meanwhile needs none.
func (r *run) signal(vm *process, s syscall.Signal) {
	if err := vm.signal(s); err != nil {
		r.ledger.fault("signal %v to %s: %v", s, vm.boot.VM, err)
	}
}

// term stops a VM in order and starts it again. Nothing that it took may be cut.
func (r *run) term() string {
	_, vm := r.vm()
	calm := vm.calm(time.Second)
	at := time.Now()
	r.signal(vm, syscall.SIGTERM)
	life := vm.life()
	if calm {
		go r.judgeStop(vm, at)
	}
	r.later(fleet.GracePeriod, func() {
		if vm.life() != life {
			// Another fault has replaced the process meanwhile.
			return
		}
		undisturbed := calm && vm.untouched(at)
		switch ended := vm.ended(0); {
		case !undisturbed:
		case !ended:
			r.ledger.fault("%s did not end within the grace after SIGTERM", vm.boot.VM)
		case vm.exit != nil:
			r.ledger.fault("%s ended with %v after SIGTERM", vm.boot.VM, vm.exit)
		}
		r.restart(vm)
	})
	return vm.boot.VM
}

// judgeStop expects the VM to stop being ready at once.
func (r *run) judgeStop(vm *process, at time.Time) {
	time.Sleep(time.Second)
	if vm.untouched(at) && vm.ready() {
		r.ledger.fault("%s is ready a second after SIGTERM", vm.boot.VM)
	}
}

func (r *run) restart(vm *process) {
	if err := vm.start(); err != nil {
		r.ledger.fault("%s does not start: %v", vm.boot.VM, err)
	}
}

func (r *run) kill() string {
	_, vm := r.vm()
	r.signal(vm, syscall.SIGKILL)
	life := vm.life()
	r.later(r.span(), func() {
		if vm.life() != life {
			return
		}
		vm.ended(time.Second)
		r.restart(vm)
	})
	return vm.boot.VM
}

func (r *run) pause() string {
	_, vm := r.vm()
	r.signal(vm, syscall.SIGSTOP)
	r.later(r.span(), func() { r.signal(vm, syscall.SIGCONT) })
	return vm.boot.VM
}

func (r *run) hup() string {
	_, vm := r.vm()
	r.signal(vm, syscall.SIGHUP)
	return vm.boot.VM
}

// cutStore harms one VM's way to the store.
func (r *run) cutStore() string {
	i, vm := r.vm()
	mode := Mode(1 + r.random.IntN(int(modes)-1))
	p := r.stores[i]
	p.Set(mode)
	if r.random.IntN(2) == 0 {
		p.Reset()
	}
	vm.touch()
	r.later(r.span(), func() {
		p.Set(Pass)
		// What a cut swallowed breaks the connection for good.
		p.Reset()
		vm.touch()
	})
	return fmt.Sprintf("%s %v", vm.boot.VM, mode)
}

func (r *run) troubleStore() string {
	f := []standin.PlatformFaults{
		{Down: true}, {Delay: 200 * time.Millisecond}, {SilentWatch: true}, {LoseAnswers: 3}, {CallsPerSecond: 5},
	}[r.random.IntN(5)]
	r.site.Platform.SetFaults(f)
	if r.random.IntN(2) == 0 {
		r.site.Platform.Compact()
	}
	r.storeTouched = time.Now()
	r.later(r.span(), func() {
		r.site.Platform.SetFaults(standin.PlatformFaults{})
		r.storeTouched = time.Now()
	})
	return fmt.Sprintf("%+v", f)
}

func (r *run) cutReplica() string {
	replica := r.replica()
	mode := Mode(1 + r.random.IntN(int(modes)-1))
	p := r.proxies[replica.Entry().Address]
	p.Set(mode)
	if r.random.IntN(2) == 0 {
		p.Reset()
	}
	r.later(r.span(), func() {
		p.Set(Pass)
		p.Reset()
	})
	return fmt.Sprintf("%s %v", replica.Entry().ID, mode)
}

func (r *run) troubleReplica() string {
	f := []standin.ReplicaFaults{
		{Slow: 8}, {LoseShare: 0.4}, {FailShare: 0.4}, {StrayShare: 0.3}, {Hang: true},
	}[r.random.IntN(5)]
	share := 1 + r.random.IntN(4)
	for range share {
		replica := r.replica()
		replica.SetFaults(f)
		r.later(r.span(), func() { replica.SetFaults(standin.ReplicaFaults{}) })
	}
	return fmt.Sprintf("%+v on %d", f, share)
}

// leave lets a replica leave in order, or withdraws its entry, and enters it
// again. Once the bound has passed, calm VMs send it nothing.
func (r *run) leave() string {
	replica := r.replica()
	withdrawn := r.random.IntN(3) == 0
	if withdrawn {
		r.site.Withdraw(replica)
	} else if err := r.site.WriteEntry(replica, true); err != nil {
		r.ledger.fault("entry: %v", err)
	}
	at := time.Now()
	var before int
	r.later(drainWithin, func() { before, _ = replica.Arrivals() })
	r.later(drainWithin+time.Second, func() {
		after, _ := replica.Arrivals()
		if after > before && r.undisturbed(at) {
			r.ledger.fault("%s got %d requests over %v after it said that it leaves", replica.Entry().ID, after-before, drainWithin)
		}
		if err := r.site.WriteEntry(replica, false); err != nil {
			r.ledger.fault("entry: %v", err)
		}
	})
	return fmt.Sprintf("%s withdrawn: %v", replica.Entry().ID, withdrawn)
}

// undisturbed reports whether the store and every VM were calm all the while
// since a moment, and for the calm window before it.
func (r *run) undisturbed(at time.Time) bool {
	since := time.Since(at) + fleet.StoreSettleTime
	if time.Since(r.storeTouched) < since {
		return false
	}
	for _, vm := range r.vms {
		if !vm.calm(since) {
			return false
		}
	}
	return true
}

// configure moves a route; a VM that is calm serves it in time.
func (r *run) configure() string {
	c := r.site.Configuration
	c.Version += 1 + 2*c.Version%3
	c.Routes = append([]route.Route(nil), c.Routes...)
	extra := c.Routes[2]
	extra.Name, extra.Prefix = "extra", fmt.Sprintf("/extra-%d/", c.Version)
	c.Routes = append(c.Routes[:4], extra)
	if err := r.site.Configure(c); err != nil {
		r.ledger.fault("configure: %v", err)
	}
	at, version := time.Now(), c.Version
	r.later(applyWithin, func() {
		if r.site.Configuration.Version != version || !r.undisturbed(at) {
			return
		}
		for _, vm := range r.vms {
			if got := vm.status(fleet.DeskHost, extra.Prefix+"x", r.ledger.id()); got == http.StatusNotFound {
				r.ledger.fault("%s lacks version %d after %v", vm.boot.VM, version, applyWithin)
			}
		}
	})
	return fmt.Sprint("version ", version)
}

func (r *run) zoneOut() string {
	zone := r.site.Spec.Zones[r.random.IntN(len(r.site.Spec.Zones))]
	r.site.Platform.Set(platform.ZoneOutKind, zone, []byte("{}"))
	r.later(r.span(), func() { r.site.Platform.Remove(platform.ZoneOutKind, zone) })
	return zone
}
