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
	(*simulation).stepOperator, (*simulation).stepStaleRead, (*simulation).stepPlatform, (*simulation).stepNetwork,
	(*simulation).stepVM, (*simulation).stepList, (*simulation).stepNews,
}

func (sim *simulation) step() {
	steps[sim.random.IntN(len(steps))](sim)
	sim.checkShares()
}

func (sim *simulation) randomVM() *fakeVM { return sim.vms[sim.random.IntN(len(sim.vms))] }

func (sim *simulation) stepTime() {
	sim.advance(time.Duration(1+sim.random.IntN(300)) * time.Millisecond)
}

// stepWatch reads the store on a random VM if that VM watches the platform.
func (sim *simulation) stepWatch() {
	vm := sim.randomVM()
	if !sim.running(vm) || !vm.core.Watches() {
		return
	}
	if sim.store.down {
		vm.core.PlatformFailed(sim.now, "down")
		return
	}
	held, err := codec.UnmarshalConfiguration(sim.store.value)
	if err != nil {
		sim.failf("the store holds a configuration that cannot be decoded: %v", err)
		return
	}
	if sim.random.IntN(4) == 0 {
		vm.stale = held
	}
	vm.core.ConfigurationRead(sim.now, held)
	sim.executeActions(vm)
}

// stepStaleRead passes a configuration to a VM that it read earlier.
func (sim *simulation) stepStaleRead() {
	if vm := sim.randomVM(); sim.running(vm) && vm.stale.Version > 0 {
		vm.core.ConfigurationRead(sim.now, vm.stale)
		sim.executeActions(vm)
	}
}

func (sim *simulation) stepOperator() {
	vm := sim.randomVM()
	if !sim.running(vm) {
		return
	}
	sim.lastChange++
	ch := config.Change{ID: config.ChangeID(fmt.Sprint("change-", sim.lastChange)), Who: "operator", At: sim.now}
	c := vm.core.Configuration()
	switch sim.random.IntN(3) {
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
	before := sim.newestAccepted
	applied, err := sim.applyChange(vm, ch, basedOn)
	if err == nil && applied.Before.Version != basedOn {
		sim.failf("change %s based on version %d was applied to %d", ch.ID, basedOn, applied.Before.Version)
	}
	if err == nil && sim.newestAccepted <= before && sim.acceptedByVersion[sim.newestAccepted].Version != sim.newestAccepted {
		sim.failf("change %s was reported as accepted but was not accepted", ch.ID)
	}
	if err == nil || sim.random.IntN(2) == 0 {
		// The operator's client repeats the change, which must take effect once.
		result, repeatErr := sim.applyChange(vm, ch, basedOn)
		if err == nil && (repeatErr != nil || !result.DoneBefore) && !sim.store.down {
			sim.failf("change %s was not recognised when it was repeated: %v", ch.ID, repeatErr)
		}
	}
	sim.checkOnce(ch.ID)
}

// checkOnce checks that a change is at most once in the newest configuration's
// history.
func (sim *simulation) checkOnce(id config.ChangeID) {
	n := 0
	for _, ch := range sim.acceptedByVersion[sim.newestAccepted].History {
		if ch.ID == id {
			n++
		}
	}
	if n > 1 {
		sim.failf("change %s took effect %d times", id, n)
	}
}

// stepPlatform switches the store's faults. It may set the store back to an older
// version while all VMs run and have the newest one.
func (sim *simulation) stepPlatform() {
	switch sim.random.IntN(8) {
	case 0:
		sim.store.down = true
	case 1:
		sim.store.loseAnswer = true
	case 2:
		old, ok := sim.acceptedByVersion[sim.newestAccepted-min(sim.newestAccepted-1, ident.Version(1+sim.random.IntN(3)))]
		if !ok || !sim.allVMsCurrent() {
			return
		}
		value, err := codec.MarshalConfiguration(&old)
		if err != nil {
			sim.failf("configuration not encoded: %v", err)
			return
		}
		sim.store.value = value
		sim.store.version++
	default:
		sim.store.down = false
	}
}

// allVMsCurrent reports whether all VMs run and have the newest version.
func (sim *simulation) allVMsCurrent() bool {
	for _, vm := range sim.vms {
		if !sim.running(vm) || vm.version != sim.newestAccepted {
			return false
		}
	}
	return true
}

func (sim *simulation) stepNetwork() {
	switch sim.random.IntN(6) {
	case 0:
		for _, vm := range sim.vms {
			vm.partition = sim.random.IntN(2)
		}
	case 1:
		sim.loss, sim.duplication = sim.random.IntN(40), sim.random.IntN(20)
	case 2:
		sim.delay = time.Duration(1+sim.random.IntN(400)) * time.Millisecond
	default:
		sim.heal()
	}
}

// heal ends all network faults.
func (sim *simulation) heal() {
	for _, vm := range sim.vms {
		vm.partition = 0
	}
	sim.loss, sim.duplication, sim.delay = 0, 0, 5*time.Millisecond
}

// stepVM stops, restarts or pauses a VM. At most one VM stays stopped at a time.
func (sim *simulation) stepVM() {
	vm := sim.randomVM()
	switch sim.random.IntN(5) {
	case 0:
		if vm.alive && sim.stoppedVM == nil {
			vm.alive, sim.stoppedVM = false, vm
		}
	case 1:
		if sim.stoppedVM != nil {
			sim.startVM(sim.stoppedVM)
			sim.stoppedVM = nil
		}
	case 2:
		if vm.alive {
			sim.startVM(vm)
		}
	case 3:
		vm.pausedUntil = sim.now.Add(time.Duration(sim.random.IntN(20)) * time.Second)
	}
}

// stepList passes the platform's list to a VM. The list lacks stopped VMs.
func (sim *simulation) stepList() {
	vm := sim.randomVM()
	if !sim.running(vm) || sim.store.down {
		return
	}
	var list []control.ListedVM
	for _, other := range sim.vms {
		if other.alive {
			list = append(list, control.ListedVM{Name: string(other.member.VM)})
		}
	}
	vm.core.VMsListed(sim.now, list)
	sim.executeActions(vm)
}

func (sim *simulation) stepNews() {
	if vm := sim.randomVM(); sim.running(vm) {
		vm.core.Report(sim.now, node.News{Kind: node.Cold, Replica: "slotfinder-0-0"})
		sim.executeActions(vm)
	}
}

// checkConvergence ends all faults and checks that the newest accepted configuration
// comes into force on all VMs.
func (sim *simulation) checkConvergence() {
	sim.heal()
	sim.store.down = false
	for _, vm := range sim.vms {
		vm.pausedUntil = 0
		if !vm.alive {
			sim.startVM(vm)
		}
	}
	for range 20 {
		sim.advance(time.Second)
		for _, vm := range sim.vms {
			if vm.core.Watches() {
				held, err := codec.UnmarshalConfiguration(sim.store.value)
				if err == nil {
					vm.core.ConfigurationRead(sim.now, held)
					sim.executeActions(vm)
				}
			}
		}
	}
	if held, err := codec.UnmarshalConfiguration(sim.store.value); err != nil || held.Version != sim.newestAccepted {
		sim.failf("the store holds version %d, accepted was %d (%v)", held.Version, sim.newestAccepted, err)
	}
	for _, vm := range sim.vms {
		if vm.version != sim.newestAccepted {
			sim.failf("%s has version %d, accepted was %d", vm.member.VM, vm.version, sim.newestAccepted)
		}
		if vm.view.VMs != len(sim.vms) {
			sim.failf("%s counts %d senders of %d VMs", vm.member.VM, vm.view.VMs, len(sim.vms))
		}
	}
}
