package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	minRefusal = 5 * time.Second
	maxRefusal = 12 * time.Second
	// quickChange is the time between two changes of the configuration while the store
	// refuses most VMs.
	quickChange = time.Second
	// minRestart and maxRestart limit how long a store that restarts refuses all calls.
	minRestart = 300 * time.Millisecond
	maxRestart = time.Second
	// strikeInterval is the time between two freezes or kills during a refusal.
	strikeInterval = 1500 * time.Millisecond
)

// refusals are the ways in which a store refuses a VM.
var refusals = []Mode{Silent, HoldNew, ResetAll, Closed, Unavailable, Limited}

// disruptionKinds returns the kinds of faults between the VMs and the store that leave the
// refused VMs in touch, or that last until their connections are replaced.
func disruptionKinds() []faultKind {
	return []faultKind{
		{"stall-store-connections", 2, (*run).stallStoreConnections},
		{"stall-store-watches", 1, (*run).stallStoreWatches},
		{"refuse-most", 1, (*run).refuseMost},
		{"refuse-then-move", 1, (*run).refuseThenMove},
		{"refuse-and-strike", 1, (*run).refuseAndStrike},
		{"freeze-served", 1, (*run).freezeServed},
		{"restart-served", 1, (*run).restartServed},
		{"restart-refused", 1, (*run).restartRefused},
		{"store-restart", 1, (*run).restartStore},
		{"one-way-loss", 1, (*run).loseOneWay},
	}
}

func (r *run) setMode(p *Proxy, m Mode) {
	if err := p.SetMode(m); err != nil {
		r.log.reportBroken("mode %v of the proxy %s: %v", m, p.Address(), err)
	}
}

func (r *run) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// stallStoreConnections makes open connections of one VM or of all to the store silent for
// good: all of them or a random half.
func (r *run) stallStoreConnections() string {
	first, count := r.random.IntN(len(r.vms)), 1
	if r.random.IntN(2) == 0 {
		first, count = 0, len(r.vms)
	}
	all := r.random.IntN(2) == 0
	var stalled []string
	for i := first; i < first+count; i++ {
		n := r.storeProxies[i].Stall(func(bool) bool { return all || r.random.IntN(2) == 0 })
		r.markStalled(r.vms[i])
		stalled = append(stalled, fmt.Sprint(n, " of ", r.vms[i].boot.VM))
	}
	return strings.Join(stalled, ", ")
}

// stallStoreWatches makes the connections of all VMs to the store on which a call waits
// silent for good. Idle connections and new ones work.
func (r *run) stallStoreWatches() string {
	var stalled []string
	for i, vm := range r.vms {
		n := r.storeProxies[i].Stall(func(waiting bool) bool { return waiting })
		r.markStalled(vm)
		stalled = append(stalled, fmt.Sprint(n, " of ", vm.boot.VM))
	}
	return strings.Join(stalled, ", ")
}

// markStalled records that connections of a VM died.
func (r *run) markStalled(vm *process) {
	vm.markDisturbed()
	at := time.Now()
	r.touch.set(vm.id(), lossy, true, at)
	r.touch.set(vm.id(), lossy, false, at)
}

// refuseAllBut lets the store refuse all VMs but one in a random way. The store serves a VM
// at all times, so that the others stay in touch.
func (r *run) refuseAllBut(served int) Mode {
	way := refusals[r.random.IntN(len(refusals))]
	r.setStoreProxy(served, Pass)
	for i := range r.vms {
		if i != served {
			r.setStoreProxy(i, way)
		}
	}
	return way
}

// changeUntil changes the configuration every quickChange for a duration.
func (r *run) changeUntil(duration time.Duration) {
	for at := quickChange; at < duration; at += quickChange {
		jitter := time.Duration(r.random.Int64N(int64(quickChange / 2)))
		r.scheduleAfter(at-jitter, r.change)
	}
}

// admitAllAfter lets the store serve all VMs again after a duration.
func (r *run) admitAllAfter(duration time.Duration) {
	r.scheduleAfter(duration, func() {
		for i := range r.vms {
			r.setStoreProxy(i, Pass)
		}
	})
}

// refuseMost lets the store refuse all VMs but one for some seconds, while the configuration
// changes.
func (r *run) refuseMost() string {
	duration := r.randomBetween(minRefusal, maxRefusal)
	served := r.random.IntN(len(r.vms))
	way := r.refuseAllBut(served)
	r.changeUntil(duration)
	r.admitAllAfter(duration)
	return fmt.Sprintf("%v, serves %s, for %v", way, r.vms[served].boot.VM, duration)
}

// refuseThenMove is refuseMost, and halfway another VM becomes the one that is served.
func (r *run) refuseThenMove() string {
	duration := r.randomBetween(minRefusal, maxRefusal)
	served := r.random.IntN(len(r.vms))
	next := (served + 1 + r.random.IntN(max(len(r.vms)-1, 1))) % len(r.vms)
	way := r.refuseAllBut(served)
	r.changeUntil(duration)
	r.scheduleAfter(duration/2, func() {
		r.reportFault("serves %s, %v", r.vms[next].boot.VM, r.refuseAllBut(next))
	})
	r.admitAllAfter(duration)
	return fmt.Sprintf("%v, serves %s and then %s, for %v", way, r.vms[served].boot.VM, r.vms[next].boot.VM, duration)
}

// refuseAndStrike is refuseMost, and refused VMs freeze or are killed one after the other.
func (r *run) refuseAndStrike() string {
	duration := r.randomBetween(minRefusal, maxRefusal)
	served := r.random.IntN(len(r.vms))
	way := r.refuseAllBut(served)
	r.changeUntil(duration)
	r.admitAllAfter(duration)
	if len(r.vms) == 1 {
		return fmt.Sprintf("%v, serves %s, for %v", way, r.vms[served].boot.VM, duration)
	}
	for at := strikeInterval; at < duration; at += strikeInterval {
		vm := r.vms[(served+1+r.random.IntN(len(r.vms)-1))%len(r.vms)]
		freeze, lasts := r.random.IntN(2) == 0, r.randomBetween(minFaultDuration, strikeInterval)
		r.scheduleAfter(at, func() {
			if freeze {
				r.reportFault("freeze %s", vm.boot.VM)
				r.signal(vm, syscall.SIGSTOP)
				r.scheduleAfter(lasts, func() { r.signal(vm, syscall.SIGCONT) })
				return
			}
			r.reportFault("kill %s", vm.boot.VM)
			r.killVM(vm, lasts)
		})
	}
	return fmt.Sprintf("%v, serves %s, for %v", way, r.vms[served].boot.VM, duration)
}

// freezeServed lets the store refuse all VMs but one, which freezes for strikeInterval. The
// refused VMs are then in touch for some seconds in which they must ask it again.
func (r *run) freezeServed() string {
	served := r.random.IntN(len(r.vms))
	way := r.refuseAllBut(served)
	duration := strikeInterval + inTouchAfter + r.randomBetween(minRefusal, maxRefusal)
	r.signal(r.vms[served], syscall.SIGSTOP)
	r.scheduleAfter(strikeInterval, func() { r.signal(r.vms[served], syscall.SIGCONT) })
	r.changeUntil(duration)
	r.admitAllAfter(duration)
	return fmt.Sprintf("%v, serves %s, for %v", way, r.vms[served].boot.VM, duration)
}

// restartServed lets the store refuse all VMs but one, which is killed and started again. The
// refused VMs are then in touch for some seconds without the store's list of VMs.
func (r *run) restartServed() string {
	served := r.random.IntN(len(r.vms))
	way := r.refuseAllBut(served)
	duration := minFaultDuration + inTouchAfter + r.randomBetween(minRefusal, maxRefusal)
	r.killVM(r.vms[served], minFaultDuration)
	r.changeUntil(duration)
	r.admitAllAfter(duration)
	return fmt.Sprintf("%v, serves %s, for %v", way, r.vms[served].boot.VM, duration)
}

// restartRefused kills a VM and lets the store refuse it from then until some time after it
// has started again.
func (r *run) restartRefused() string {
	i, vm := r.randomVM()
	way, duration := refusals[r.random.IntN(len(refusals))], r.randomBetween(minRefusal, maxRefusal)
	r.setStoreProxy(i, way)
	r.killVM(vm, minFaultDuration)
	r.changeUntil(duration)
	r.scheduleAfter(duration, func() { r.setStoreProxy(i, Pass) })
	return fmt.Sprintf("%s, %v, for %v", vm.boot.VM, way, duration)
}

// restartStore resets all connections to the store, and the store refuses new ones until it
// is up again.
func (r *run) restartStore() string {
	for i := range r.vms {
		r.setStoreProxy(i, Closed)
	}
	r.storeDisturbedAt = time.Now()
	r.touch.setStore(true, r.storeDisturbedAt)
	down := r.randomBetween(minRestart, maxRestart)
	r.scheduleAfter(down, func() {
		for i := range r.vms {
			r.setStoreProxy(i, Pass)
		}
		r.storeDisturbedAt = time.Now()
		r.touch.setStore(false, r.storeDisturbedAt)
	})
	return fmt.Sprint("for ", down)
}

// loseOneWay discards the bytes of one direction between a VM and the store.
func (r *run) loseOneWay() string {
	i, vm := r.randomVM()
	mode := []Mode{CutAnswers, CutAsks}[r.random.IntN(2)]
	r.setStoreProxy(i, mode)
	vm.markDisturbed()
	r.scheduleAfter(r.randomDuration(), func() {
		r.setStoreProxy(i, Pass)
		vm.markDisturbed()
	})
	return fmt.Sprintf("%s %v", vm.boot.VM, mode)
}
