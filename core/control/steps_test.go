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

var steps = []func(*simulation){
	(*simulation).stepTime, (*simulation).stepTime, (*simulation).stepTime, (*simulation).stepTime, (*simulation).stepTime,
	(*simulation).stepTime, (*simulation).stepTime, (*simulation).stepTime,
	(*simulation).stepWatch, (*simulation).stepWatch, (*simulation).stepWatch,
	(*simulation).stepOperate, (*simulation).stepStale, (*simulation).stepPlatform, (*simulation).stepNetwork,
	(*simulation).stepVM, (*simulation).stepList, (*simulation).stepNews,
}

func (w *simulation) step() {
	steps[w.choose.IntN(len(steps))](w)
	w.checkShares()
}

func (w *simulation) randomVM() *fakeVM { return w.vms[w.choose.IntN(len(w.vms))] }

func (w *simulation) stepTime() { w.advance(time.Duration(1+w.choose.IntN(300)) * time.Millisecond) }

// stepWatch lets a VM whose turn it is read the store.
func (w *simulation) stepWatch() {
	vm := w.randomVM()
	if !w.running(vm) || !vm.core.Watches() {
		return
	}
	if w.store.down {
		vm.core.PlatformFailed(w.now, "down")
		return
	}
	held, err := codec.UnmarshalConfiguration(w.store.value)
	if err != nil {
		w.failf("the store holds what cannot be read: %v", err)
		return
	}
	if w.choose.IntN(4) == 0 {
		vm.stale = held
	}
	vm.core.Platform(w.now, held)
	w.executeActions(vm)
}

// stepStale gives a VM a configuration that it read long ago.
func (w *simulation) stepStale() {
	if vm := w.randomVM(); w.running(vm) && vm.stale.Version > 0 {
		vm.core.Platform(w.now, vm.stale)
		w.executeActions(vm)
	}
}

func (w *simulation) stepOperate() {
	vm := w.randomVM()
	if !w.running(vm) {
		return
	}
	w.lastChange++
	ch := config.Change{ID: config.ChangeID(fmt.Sprint("change-", w.lastChange)), Who: "operator", At: w.now}
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
	before := w.newestAccepted
	won, err := w.applyChange(vm, ch, basedOn)
	if err == nil && won.Before.Version != basedOn {
		w.failf("change %s based on version %d was applied to %d", ch.ID, basedOn, won.Before.Version)
	}
	if err == nil && w.newestAccepted <= before && w.acceptedByVersion[w.newestAccepted].Version != w.newestAccepted {
		w.failf("change %s was reported as accepted and is not", ch.ID)
	}
	if err == nil || w.choose.IntN(2) == 0 {
		// The operator's client sends it again; it must take effect once.
		result, again := w.applyChange(vm, ch, basedOn)
		if err == nil && (again != nil || !result.DoneBefore) && !w.store.down {
			w.failf("change %s was not recognised on its second send: %v", ch.ID, again)
		}
	}
	w.checkOnce(ch.ID)
}

func (w *simulation) checkOnce(id config.ChangeID) {
	n := 0
	for _, ch := range w.acceptedByVersion[w.newestAccepted].History {
		if ch.ID == id {
			n++
		}
	}
	if n > 1 {
		w.failf("change %s took effect %d times", id, n)
	}
}

// stepPlatform switches the store's faults. After an outage it may hold an
// older version, as long as a VM that runs knows the newest one.
func (w *simulation) stepPlatform() {
	switch w.choose.IntN(8) {
	case 0:
		w.store.down = true
	case 1:
		w.store.loseAnswer = true
	case 2:
		old, ok := w.acceptedByVersion[w.newestAccepted-min(w.newestAccepted-1, ident.Version(1+w.choose.IntN(3)))]
		if !ok || !w.allVMsCurrent() {
			return
		}
		value, err := codec.MarshalConfiguration(&old)
		if err != nil {
			w.failf("configuration not encoded: %v", err)
			return
		}
		w.store.value = value
		w.store.version++
	default:
		w.store.down = false
	}
}

// allVMsCurrent reports whether each VM runs and has the newest version.
func (w *simulation) allVMsCurrent() bool {
	for _, vm := range w.vms {
		if !w.running(vm) || vm.version != w.newestAccepted {
			return false
		}
	}
	return true
}

func (w *simulation) stepNetwork() {
	switch w.choose.IntN(6) {
	case 0:
		for _, vm := range w.vms {
			vm.partition = w.choose.IntN(2)
		}
	case 1:
		w.loss, w.duplication = w.choose.IntN(40), w.choose.IntN(20)
	case 2:
		w.delay = time.Duration(1+w.choose.IntN(400)) * time.Millisecond
	default:
		w.heal()
	}
}

func (w *simulation) heal() {
	for _, vm := range w.vms {
		vm.partition = 0
	}
	w.loss, w.duplication, w.delay = 0, 0, 5*time.Millisecond
}

// stepVM kills, restarts or pauses a VM. One at a time stays away for long.
func (w *simulation) stepVM() {
	vm := w.randomVM()
	switch w.choose.IntN(5) {
	case 0:
		if vm.alive && w.stoppedVM == nil {
			vm.alive, w.stoppedVM = false, vm
		}
	case 1:
		if w.stoppedVM != nil {
			w.startVM(w.stoppedVM)
			w.stoppedVM = nil
		}
	case 2:
		if vm.alive {
			w.startVM(vm)
		}
	case 3:
		vm.pausedUntil = w.now.Add(time.Duration(w.choose.IntN(20)) * time.Second)
	}
}

// stepList gives a VM the platform's list, which lacks the VM that is gone.
func (w *simulation) stepList() {
	vm := w.randomVM()
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
	w.executeActions(vm)
}

func (w *simulation) stepNews() {
	if vm := w.randomVM(); w.running(vm) {
		vm.core.Report(w.now, node.News{Kind: node.Cold, Replica: "slotfinder-0-0"})
		w.executeActions(vm)
	}
}

// checkConvergence ends all faults and checks that every accepted change is in force
// everywhere.
func (w *simulation) checkConvergence() {
	w.heal()
	w.store.down = false
	for _, vm := range w.vms {
		vm.pausedUntil = 0
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
					w.executeActions(vm)
				}
			}
		}
	}
	if held, err := codec.UnmarshalConfiguration(w.store.value); err != nil || held.Version != w.newestAccepted {
		w.failf("the store holds version %d, accepted was %d (%v)", held.Version, w.newestAccepted, err)
	}
	for _, vm := range w.vms {
		if vm.version != w.newestAccepted {
			w.failf("%s has version %d, accepted was %d", vm.member.VM, vm.version, w.newestAccepted)
		}
		if vm.view.VMs != len(w.vms) {
			w.failf("%s counts %d senders of %d VMs", vm.member.VM, vm.view.VMs, len(w.vms))
		}
	}
}
