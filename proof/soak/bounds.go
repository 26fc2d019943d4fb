package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

// checkBudget checks that in no window a service gets more repeats than the limits allow for
// all VMs together.
func (r *run) checkBudget() {
	limits := r.site.Boots[0].QuotaLimits
	byService := map[ident.ServiceID][]standin.Arrival{}
	for _, replica := range r.site.Replicas {
		id := replica.Entry().Service
		byService[id] = append(byService[id], replica.Received()...)
	}
	for id, arrivals := range byService {
		slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		requests := r.versions.list().sentTo(r.log.all(), id)
		seen := map[string]bool{}
		var repeats []time.Time
		for _, a := range arrivals {
			if seen[a.ID] {
				repeats = append(repeats, a.At)
			}
			seen[a.ID] = true
		}
		start, worst := 0, 0.0
		for i, at := range repeats {
			for at.Sub(repeats[start]) >= limits.Span {
				start++
			}
			most := max(countIn(requests, at.Add(-limits.Span), at), countIn(requests, at.Add(-limits.Span*3/2), at.Add(-limits.Span/2)),
				countIn(requests, at.Add(-2*limits.Span), at.Add(-limits.Span)))
			extra, allowed := i-start+1, float64(limits.Ratio)*float64(most)+float64(limits.Allowance)
			share := float64(extra) / allowed
			if share > 1 && share > worst {
				r.log.reportBroken("%s got %d repeats in %v until %.2f s, allowed are %.0f", id, extra, limits.Span, at.Sub(r.began).Seconds(), allowed)
			}
			worst = max(worst, share)
		}
		r.mostRepeats = max(r.mostRepeats, ident.Share(worst))
	}
}

// countIn returns how many of the sorted times lie from from on and before to.
func countIn(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}

// killAll ends all VMs at the same moment.
func (r *run) killAll() string {
	for _, vm := range r.vms {
		r.killVM(vm, minFaultDuration)
	}
	return fmt.Sprint(len(r.vms), " VMs")
}

// killAllWithoutStore is killAll while the store refuses all calls, until some time after
// the VMs have been started again.
func (r *run) killAllWithoutStore() string {
	r.setPlatformFaults(standin.PlatformFaults{Down: true})
	r.scheduleAfter(minFaultDuration+2*maxFaultDuration, func() { r.setPlatformFaults(standin.PlatformFaults{}) })
	return r.killAll()
}

// rollout restarts all VMs in turn, as an operator does with a new version, but faster than
// the window of the limits on repeats, and twice.
func (r *run) rollout() string {
	const gap = time.Second
	for i := range 2 * len(r.vms) {
		vm := r.vms[i%len(r.vms)]
		r.scheduleAfter(time.Duration(i)*gap, func() {
			r.signal(vm, syscall.SIGTERM)
			life := vm.incarnation()
			r.scheduleAfter(fleet.GracePeriod, func() {
				if vm.incarnation() == life {
					vm.awaitEnd(0)
					r.restart(vm)
				}
			})
		})
	}
	return fmt.Sprint("of ", len(r.vms))
}

// refuseSome lets the store refuse a third of the VMs for some seconds.
func (r *run) refuseSome() string {
	const refusedFor = 9 * time.Second
	first := r.random.IntN(len(r.vms))
	var names []string
	for i := range (len(r.vms) + 2) / 3 {
		n := (first + i) % len(r.vms)
		vm, proxy := r.vms[n], r.storeProxies[n]
		names = append(names, vm.boot.VM)
		r.setStoreProxy(n, Refuse)
		proxy.Reset()
		vm.markDisturbed()
		r.scheduleAfter(refusedFor, func() {
			r.setStoreProxy(n, Pass)
			vm.markDisturbed()
		})
	}
	return strings.Join(names, ", ")
}

// dropHistory withholds a change from the watches and then drops the history, so that VMs
// learn of the change from a new listing only.
func (r *run) dropHistory() string {
	r.setPlatformFaults(standin.PlatformFaults{SilentWatch: true})
	change := r.configure()
	r.scheduleAfter(time.Second, func() {
		r.site.Platform.Compact()
		r.setPlatformFaults(standin.PlatformFaults{})
	})
	return strings.TrimSpace(change)
}
