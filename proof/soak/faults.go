package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	// drainWithin and applyWithin are the shortest bounds that the platform sets.
	drainWithin      = 3 * time.Second
	applyWithin      = 3 * time.Second
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// A faultKind is a kind of fault with its weight in the random selection.
type faultKind struct {
	name   string
	weight int
	inject func(r *run) string
}

func faultKinds() []faultKind {
	return append([]faultKind{
		{"term", 3, (*run).term},
		{"kill", 2, (*run).kill},
		{"pause", 2, (*run).pause},
		{"hup", 1, (*run).hup},
		{"store-proxy", 3, (*run).disruptStoreProxy},
		{"store", 3, (*run).setStoreFaults},
		{"replica-proxy", 4, (*run).disruptReplicaProxy},
		{"replica", 4, (*run).setReplicaFaults},
		{"lose-replies", 1, (*run).loseReplies},
		{"leave", 2, (*run).leave},
		{"configure", 4, (*run).configure},
		{"drop-history", 1, (*run).dropHistory},
		{"refuse-some", 1, (*run).refuseSome},
		{"kill-all", 1, (*run).killAll},
		{"kill-all-without-store", 1, (*run).killAllWithoutStore},
		{"rollout", 1, (*run).rollout},
		{"zone-out", 1, (*run).zoneOut},
	}, disruptionKinds()...)
}

// schedule schedules the faults of a series.
func (r *run) schedule(series []Step) error {
	for _, step := range series {
		i := slices.IndexFunc(faultKinds(), func(f faultKind) bool { return f.name == step.Fault })
		if i < 0 {
			return fmt.Errorf("no fault has the name %q", step.Fault)
		}
		r.scheduleAfter(step.At, func() {
			r.faultCount++
			r.reportFault("%s %s", step.Fault, faultKinds()[i].inject(r))
		})
	}
	return nil
}

// injectFault injects one fault of a random kind and reports it.
func (r *run) injectFault() {
	kinds := faultKinds()
	totalWeight := 0
	for _, f := range kinds {
		totalWeight += f.weight
	}
	draw := r.random.IntN(totalWeight)
	for _, f := range kinds {
		if draw -= f.weight; draw < 0 {
			r.faultCount++
			r.reportFault("%s %s", f.name, f.inject(r))
			return
		}
	}
}

func (r *run) randomDuration() time.Duration {
	return minFaultDuration + time.Duration(r.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

func (r *run) randomVM() (int, *process) {
	i := r.random.IntN(len(r.vms))
	return i, r.vms[i]
}

func (r *run) randomReplica() *standin.Replica {
	return r.site.Replicas[r.random.IntN(len(r.site.Replicas))]
}

// signal sends a signal to a VM; one that has already ended is ignored.
func (r *run) signal(vm *process, s syscall.Signal) {
	if err := vm.signal(s); err != nil {
		r.log.reportBroken("signal %v to %s: %v", s, vm.boot.VM, err)
	}
}

// term sends SIGTERM to a VM and restarts it after the grace period. A VM that is
// stopped by SIGTERM must lose no request that it has accepted. Therefore a broken
// promise is reported if an undisturbed VM exits with a status other than 0 or is
// still running after the grace period.
func (r *run) term() string {
	_, vm := r.randomVM()
	wasUndisturbed := vm.undisturbedFor(time.Second)
	at := time.Now()
	r.signal(vm, syscall.SIGTERM)
	incarnation := vm.incarnation()
	if wasUndisturbed {
		go r.checkNotReady(vm, at)
	}
	r.scheduleAfter(fleet.GracePeriod, func() {
		if vm.incarnation() != incarnation {
			// Another fault has restarted the VM meanwhile.
			return
		}
		stayedUndisturbed := wasUndisturbed && vm.undisturbedSince(at)
		switch ended := vm.awaitEnd(0); {
		case !stayedUndisturbed:
		case !ended:
			r.log.reportBroken("%s did not end within the grace after SIGTERM", vm.boot.VM)
		case vm.exitErr != nil:
			r.log.reportBroken("%s ended with %v after SIGTERM", vm.boot.VM, vm.exitErr)
		}
		r.restart(vm)
	})
	return vm.boot.VM
}

// checkNotReady checks that the VM is no longer ready a second after SIGTERM.
func (r *run) checkNotReady(vm *process, at time.Time) {
	time.Sleep(time.Second)
	if vm.undisturbedSince(at) && vm.ready() {
		r.log.reportBroken("%s is ready a second after SIGTERM", vm.boot.VM)
	}
}

func (r *run) restart(vm *process) {
	if err := vm.start(); err != nil {
		r.log.reportBroken("%s does not start: %v", vm.boot.VM, err)
	}
}

// kill ends a VM with SIGKILL and restarts it after a random time.
func (r *run) kill() string {
	_, vm := r.randomVM()
	r.killVM(vm, r.randomDuration())
	return vm.boot.VM
}

// killVM ends a VM with SIGKILL and restarts it after a time.
func (r *run) killVM(vm *process, after time.Duration) {
	r.signal(vm, syscall.SIGKILL)
	life := vm.incarnation()
	r.scheduleAfter(after, func() {
		if vm.incarnation() != life {
			return
		}
		vm.awaitEnd(time.Second)
		r.restart(vm)
	})
}

// pause stops a VM with SIGSTOP and later resumes it.
func (r *run) pause() string {
	_, vm := r.randomVM()
	r.signal(vm, syscall.SIGSTOP)
	r.scheduleAfter(r.randomDuration(), func() { r.signal(vm, syscall.SIGCONT) })
	return vm.boot.VM
}

// hup sends SIGHUP to a VM.
func (r *run) hup() string {
	_, vm := r.randomVM()
	r.signal(vm, syscall.SIGHUP)
	return vm.boot.VM
}

// disruptStoreProxy sets a random mode on the proxy between one VM and the store.
func (r *run) disruptStoreProxy() string {
	i, vm := r.randomVM()
	mode := Mode(1 + r.random.IntN(int(Silent)))
	p := r.storeProxies[i]
	r.setStoreProxy(i, mode)
	if r.random.IntN(2) == 0 {
		p.Reset()
	}
	vm.markDisturbed()
	r.scheduleAfter(r.randomDuration(), func() {
		r.setStoreProxy(i, Pass)
		// Bytes that a cut discarded are missing from the stream, so the connection
		// can't be used any more.
		p.Reset()
		vm.markDisturbed()
	})
	return fmt.Sprintf("%s %v", vm.boot.VM, mode)
}

// setStoreFaults sets a random fault of the store for a random time.
func (r *run) setStoreFaults() string {
	f := []standin.PlatformFaults{
		{Down: true}, {Delay: 200 * time.Millisecond}, {SilentWatch: true}, {LoseAnswers: 3}, {CallsPerSecond: 5},
	}[r.random.IntN(5)]
	r.setPlatformFaults(f)
	if r.random.IntN(2) == 0 {
		r.site.Platform.Compact()
	}
	r.scheduleAfter(r.randomDuration(), func() { r.setPlatformFaults(standin.PlatformFaults{}) })
	return fmt.Sprintf("%+v", f)
}

// disruptReplicaProxy sets a random mode on the proxy in front of one replica.
func (r *run) disruptReplicaProxy() string {
	replica := r.randomReplica()
	mode := Mode(1 + r.random.IntN(int(Silent)))
	p := r.proxies[replica.Entry().Address]
	r.setMode(p, mode)
	if r.random.IntN(2) == 0 {
		p.Reset()
	}
	r.scheduleAfter(r.randomDuration(), func() {
		r.setMode(p, Pass)
		p.Reset()
	})
	return fmt.Sprintf("%s %v", replica.Entry().ID, mode)
}

// setReplicaFaults sets a random fault on one to four replicas.
func (r *run) setReplicaFaults() string {
	f := []standin.ReplicaFaults{
		{Slow: 8}, {LoseShare: 0.4}, {FailShare: 0.4}, {StrayShare: 0.3}, {Hang: true},
	}[r.random.IntN(5)]
	count := 1 + r.random.IntN(4)
	for range count {
		replica := r.randomReplica()
		replica.SetFaults(f)
		r.scheduleAfter(r.randomDuration(), func() { replica.SetFaults(standin.ReplicaFaults{}) })
	}
	return fmt.Sprintf("%+v on %d", f, count)
}

// loseReplies lets all replicas lose many of their replies, longer than a window of the
// limits on repeats.
func (r *run) loseReplies() string {
	for _, replica := range r.site.Replicas {
		replica.SetFaults(standin.ReplicaFaults{LoseShare: 0.4})
	}
	after := r.site.Boots[0].QuotaLimits.Span + r.randomDuration()
	r.scheduleAfter(after, func() {
		for _, replica := range r.site.Replicas {
			replica.SetFaults(standin.ReplicaFaults{})
		}
	})
	return fmt.Sprint("for ", after)
}

// leave marks a replica's entry as leaving, or withdraws it, and later restores it.
// Undisturbed VMs must send it no requests after drainWithin.
func (r *run) leave() string {
	replica := r.randomReplica()
	withdrawn := r.random.IntN(3) == 0
	if withdrawn {
		r.site.Withdraw(replica)
	} else if err := r.site.WriteEntry(replica, true); err != nil {
		r.log.reportBroken("entry: %v", err)
	}
	at := time.Now()
	var before int
	r.scheduleAfter(drainWithin, func() { before, _ = replica.Arrivals() })
	r.scheduleAfter(drainWithin+time.Second, func() {
		after, _ := replica.Arrivals()
		if after > before && r.undisturbedSince(at) {
			r.log.reportBroken("%s got %d requests over %v after it said that it leaves", replica.Entry().ID, after-before, drainWithin)
		}
		if err := r.site.WriteEntry(replica, false); err != nil {
			r.log.reportBroken("entry: %v", err)
		}
	})
	return fmt.Sprintf("%s withdrawn: %v", replica.Entry().ID, withdrawn)
}

// undisturbedSince reports whether no fault disturbed the store or a VM after at,
// nor within fleet.StoreSettleTime before it.
func (r *run) undisturbedSince(at time.Time) bool {
	duration := time.Since(at) + fleet.StoreSettleTime
	if time.Since(r.storeDisturbedAt) < duration {
		return false
	}
	for _, vm := range r.vms {
		if !vm.undisturbedFor(duration) {
			return false
		}
	}
	return true
}

// zoneOut takes a random zone out for a random time.
func (r *run) zoneOut() string {
	zone := r.site.Spec.Zones[r.random.IntN(len(r.site.Spec.Zones))]
	r.site.Platform.Set(platform.ZoneOutKind, zone, []byte("{}"))
	r.scheduleAfter(r.randomDuration(), func() { r.site.Platform.Remove(platform.ZoneOutKind, zone) })
	return zone
}
