package control_test

import (
	"fmt"
	"time"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/serve/codec"
)

var steps = []func(*world){
	(*world).stepTime, (*world).stepTime, (*world).stepTime, (*world).stepTime, (*world).stepTime,
	(*world).stepTime, (*world).stepTime, (*world).stepTime,
	(*world).stepWatch, (*world).stepWatch, (*world).stepWatch,
	(*world).stepOperate, (*world).stepStale, (*world).stepPlatform, (*world).stepNetwork,
	(*world).stepVM, (*world).stepList, (*world).stepNews,
}

func (w *world) step() {
	steps[w.choose.IntN(len(steps))](w)
	w.checkShares()
}

func (w *world) vm() *fakeVM { return w.vms[w.choose.IntN(len(w.vms))] }

func (w *world) stepTime() { w.advance(time.Duration(1+w.choose.IntN(300)) * time.Millisecond) }

// stepWatch lets a VM whose turn it is read the store.
func (w *world) stepWatch() {
	vm := w.vm()
	if !w.running(vm) || !vm.core.Watches() {
		return
	}
	if w.store.down {
		vm.core.PlatformFailed(w.now, "down")
		return
	}
	held, err := codec.UnmarshalConfiguration(w.store.value)
	if err != nil {
		w.fault("the store holds what cannot be read: %v", err)
		return
	}
	if w.choose.IntN(4) == 0 {
		vm.stale = held
	}
	vm.core.Platform(w.now, held)
	w.carryOut(vm)
}

// stepStale gives a VM a configuration that it read long ago.
func (w *world) stepStale() {
	if vm := w.vm(); w.running(vm) && vm.stale.Version > 0 {
		vm.core.Platform(w.now, vm.stale)
		w.carryOut(vm)
	}
}

func (w *world) stepOperate() {
	vm := w.vm()
	if !w.running(vm) {
		return
	}
	w.ids++
	ch := config.Change{ID: config.ChangeID(fmt.Sprint("change-", w.ids)), Who: "operator", At: w.now}
	c := vm.core.Configuration()
	switch w.choose.IntN(3) {
	case 0:
		ch.Kind, ch.Subject = config.SwitchPreset, "peak"
		if c.InForce == "peak" {
			ch.Subject = "ordinary"
		}
	case 1:
		ch.Kind, ch.Subject = config.ZoneOut, string(zones[0])
	default:
		ch.Kind, ch.Subject = config.ZoneIn, string(zones[0])
	}
	basedOn := c.Version
	before := w.newest
	won, err := w.operate(vm, ch, basedOn)
	if err == nil && won.Before.Version != basedOn {
		w.fault("change %s based on version %d was applied to %d", ch.ID, basedOn, won.Before.Version)
	}
	if err == nil && w.newest <= before && w.truth[w.newest].Version != w.newest {
		w.fault("change %s was reported as accepted and is not", ch.ID)
	}
	if err == nil || w.choose.IntN(2) == 0 {
		// The operator's client sends it again; it must take effect once.
		result, again := w.operate(vm, ch, basedOn)
		if err == nil && (again != nil || !result.DoneBefore) && !w.store.down {
			w.fault("change %s was not recognised on its second send: %v", ch.ID, again)
		}
	}
	w.checkOnce(ch.ID)
}

func (w *world) checkOnce(id config.ChangeID) {
	n := 0
	for _, ch := range w.truth[w.newest].History {
		if ch.ID == id {
			n++
		}
	}
	if n > 1 {
		w.fault("change %s took effect %d times", id, n)
	}
}

// stepPlatform switches the store's faults. After an outage it may hold an
// older version, as long as a VM that runs knows the newest one.
func (w *world) stepPlatform() {
	switch w.choose.IntN(8) {
	case 0:
		w.store.down = true
	case 1:
		w.store.loseAnswer = true
	case 2:
		old, ok := w.truth[w.newest-min(w.newest-1, ident.Version(1+w.choose.IntN(3)))]
		if !ok || !w.everyoneKnows() {
			return
		}
		value, err := codec.MarshalConfiguration(&old)
		if err != nil {
			w.fault("configuration not encoded: %v", err)
			return
		}
		w.store.value = value
		w.store.version++
	default:
		w.store.down = false
	}
}

// everyoneKnows reports whether each VM runs and has the newest version.
func (w *world) everyoneKnows() bool {
	for _, vm := range w.vms {
		if !w.running(vm) || vm.version != w.newest {
			return false
		}
	}
	return true
}

func (w *world) stepNetwork() {
	switch w.choose.IntN(6) {
	case 0:
		for _, vm := range w.vms {
			vm.side = w.choose.IntN(2)
		}
	case 1:
		w.loss, w.double = w.choose.IntN(40), w.choose.IntN(20)
	case 2:
		w.delay = time.Duration(1+w.choose.IntN(400)) * time.Millisecond
	default:
		w.heal()
	}
}

func (w *world) heal() {
	for _, vm := range w.vms {
		vm.side = 0
	}
	w.loss, w.double, w.delay = 0, 0, 5*time.Millisecond
}

// stepVM kills, restarts or pauses a VM. One at a time stays away for long.
func (w *world) stepVM() {
	vm := w.vm()
	switch w.choose.IntN(5) {
	case 0:
		if vm.alive && w.gone == nil {
			vm.alive, w.gone = false, vm
		}
	case 1:
		if w.gone != nil {
			w.startVM(w.gone)
			w.gone = nil
		}
	case 2:
		if vm.alive {
			w.startVM(vm)
		}
	case 3:
		vm.pausedTill = w.now.Add(time.Duration(w.choose.IntN(20)) * time.Second)
	}
}

// stepList gives a VM the platform's list, which lacks the VM that is gone.
func (w *world) stepList() {
	vm := w.vm()
	if !w.running(vm) || w.store.down {
		return
	}
	var list []control.Listed
	for _, other := range w.vms {
		if other.alive {
			list = append(list, control.Listed{Name: string(other.member.VM)})
		}
	}
	vm.core.Listed(w.now, list)
	w.carryOut(vm)
}

func (w *world) stepNews() {
	if vm := w.vm(); w.running(vm) {
		vm.core.Report(w.now, node.News{Kind: node.Cold, Replica: "slotfinder-0-0"})
		w.carryOut(vm)
	}
}

// settle ends all faults and checks that every accepted change is in force
// everywhere.
func (w *world) settle() {
	w.heal()
	w.store.down = false
	for _, vm := range w.vms {
		vm.pausedTill = 0
		if !vm.alive {
			w.startVM(vm)
		}
	}
	for range 20 {
		w.advance(time.Second)
		for _, vm := range w.vms {
			if vm.core.Watches() {
				held, err := codec.UnmarshalConfiguration(w.store.value)
				if err == nil {
					vm.core.Platform(w.now, held)
					w.carryOut(vm)
				}
			}
		}
	}
	if held, err := codec.UnmarshalConfiguration(w.store.value); err != nil || held.Version != w.newest {
		w.fault("the store holds version %d, accepted was %d (%v)", held.Version, w.newest, err)
	}
	for _, vm := range w.vms {
		if vm.version != w.newest {
			w.fault("%s has version %d, accepted was %d", vm.member.VM, vm.version, w.newest)
		}
		if vm.view.VMs != len(w.vms) {
			w.fault("%s counts %d senders of %d VMs", vm.member.VM, vm.view.VMs, len(w.vms))
		}
	}
}
