package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	// inTouchAfter is how long the store and a VM must have been undisturbed before a bound
	// on changes holds for the VM.
	inTouchAfter = 4 * time.Second
	// applyCheckInterval is the time between two checks of the newest route.
	applyCheckInterval = 250 * time.Millisecond
)

// checkApplied checks that each VM in touch serves the route of the newest configuration,
// once applyWithin has passed since it was acknowledged, and no route that it removed.
func (r *run) checkApplied() {
	if r.extraPrefix == "" || time.Since(r.configuredAt) < applyWithin || time.Since(r.storeDisturbedAt) < inTouchAfter {
		return
	}
	for _, vm := range r.vms {
		if !vm.undisturbedFor(inTouchAfter) {
			continue
		}
		age := time.Since(r.configuredAt)
		r.appliedChecks++
		if vm.status(fleet.DeskHost, r.extraPrefix+"x", r.log.nextID()) == http.StatusNotFound {
			r.log.reportBroken("%s lacks %s %v after it was acknowledged", vm.boot.VM, r.extraPrefix, age)
		}
		if r.removedPrefix != "" && vm.status(fleet.DeskHost, r.removedPrefix+"x", r.log.nextID()) == http.StatusOK {
			r.log.reportBroken("%s serves %s %v after its removal was acknowledged", vm.boot.VM, r.removedPrefix, age)
		}
	}
}

// awaitChangeInForce checks the last change for some time after the last fault.
func (r *run) awaitChangeInForce() {
	until := time.Now().Add(inTouchAfter + time.Second)
	for time.Now().Before(until) {
		r.runDue(time.Now())
		time.Sleep(pollInterval)
	}
}

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
		requests := r.log.sentTo(id)
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

// sentTo returns when the requests to a service were sent, in order.
func (l *callLog) sentTo(id ident.ServiceID) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []time.Time
	for _, c := range l.calls {
		if (id == fleet.Desk) == (c.kind == "look" || c.kind == "order") {
			out = append(out, c.sent)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
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
	r.site.Platform.SetFaults(standin.PlatformFaults{Down: true})
	r.storeDisturbedAt = time.Now()
	r.scheduleAfter(minFaultDuration+2*maxFaultDuration, func() {
		r.site.Platform.SetFaults(standin.PlatformFaults{})
		r.storeDisturbedAt = time.Now()
	})
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
		r.setMode(proxy, Refuse)
		proxy.Reset()
		vm.markDisturbed()
		r.scheduleAfter(refusedFor, func() {
			r.setMode(proxy, Pass)
			vm.markDisturbed()
		})
	}
	return strings.Join(names, ", ")
}

// dropHistory withholds a change from the watches and then drops the history, so that VMs
// learn of the change from a new listing only.
func (r *run) dropHistory() string {
	r.site.Platform.SetFaults(standin.PlatformFaults{SilentWatch: true})
	r.storeDisturbedAt = time.Now()
	change := r.configure()
	r.scheduleAfter(time.Second, func() {
		r.site.Platform.Compact()
		r.site.Platform.SetFaults(standin.PlatformFaults{})
		r.storeDisturbedAt = time.Now()
	})
	return strings.TrimSpace(change)
}
