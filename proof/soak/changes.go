package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

const (
	// applyCheckInterval is the time between two checks of the newest route.
	applyCheckInterval = 250 * time.Millisecond
	// minChangeInterval and maxChangeInterval bound the time between two changes that
	// are no faults.
	minChangeInterval = 3 * time.Second
	maxChangeInterval = 4 * time.Second
	// unseenProbeInterval is the time between two probes of a VM for a version that it
	// has not shown, knownProbeInterval that of a VM that has shown all.
	unseenProbeInterval = 50 * time.Millisecond
	knownProbeInterval  = 250 * time.Millisecond
	// maxUnseenProbes is the number of versions that are probed at once.
	maxUnseenProbes = 3
	probeTimeout    = time.Second
	// lookRoute is the index of the route that moves between services, and firstMarker
	// that of the route of the newest version only. Routes that last follow it.
	lookRoute, firstMarker = 2, 4
)

// A versionLog holds the versions that were written to the store. It may be used by
// several goroutines.
type versionLog struct {
	mu  sync.Mutex
	all versions
}

func (l *versionLog) add(v version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, v)
}

// list returns all versions. They must not be changed.
func (l *versionLog) list() versions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[:len(l.all):len(l.all)]
}

// recordFirst records the configuration with which the site was started.
func (r *run) recordFirst() {
	c := r.site.Configuration
	r.versions.add(version{
		number: c.Version, table: route.NewTable(c.Routes), prefixes: changingPrefixes(c.Routes), written: r.began, acknowledged: time.Now(),
	})
}

// configure writes a configuration in which a new route replaces the one of the last
// change. Some changes also move a route of clients to another service, add a route that
// lasts or drop one. See checkApplied.
func (r *run) configure() string {
	c := r.site.Configuration
	c.Version += 1 + 2*c.Version%3
	routes := slices.Clone(c.Routes[:firstMarker])
	var lasting []route.Route
	if len(c.Routes) > firstMarker {
		lasting = slices.Clone(c.Routes[firstMarker+1:])
	}
	what := ""
	switch draw := r.changes.IntN(5); {
	case draw == 0:
	case draw == 1:
		added := routes[lookRoute]
		added.Name, added.Prefix = ident.RouteID(fmt.Sprint("lasting-", c.Version)), fmt.Sprintf("/lasting-%d/", c.Version)
		lasting = append(lasting, added)
		what = ", adds " + added.Prefix
	case draw == 2 && len(lasting) > 0:
		what = ", drops " + lasting[0].Prefix
		lasting = lasting[1:]
	default:
		to := otherDesk(routes[lookRoute].Targets[0].Services[0])
		routes[lookRoute].Targets = []route.Target{{Services: []ident.ServiceID{to}, Weight: 1}}
		what = fmt.Sprintf(", moves %s to %s", routes[lookRoute].Prefix, to)
	}
	extra := routes[lookRoute]
	extra.Name, extra.Prefix = "extra", fmt.Sprintf("/extra-%d/", c.Version)
	c.Routes = append(append(routes, extra), lasting...)
	written := time.Now()
	if err := r.site.Configure(c); err != nil {
		r.log.reportBroken("configure: %v", err)
	}
	r.configuredAt, r.removedPrefix, r.extraPrefix = time.Now(), r.extraPrefix, extra.Prefix
	r.versions.add(version{c.Version, route.NewTable(c.Routes), extra.Prefix, changingPrefixes(c.Routes), written, r.configuredAt})
	return fmt.Sprint("version ", c.Version, what)
}

// changingPrefixes returns the prefixes of the routes that changes concern.
func changingPrefixes(routes []route.Route) []string {
	prefixes := []string{routes[lookRoute].Prefix}
	for i := firstMarker; i < len(routes); i++ {
		prefixes = append(prefixes, routes[i].Prefix)
	}
	return prefixes
}

func otherDesk(id ident.ServiceID) ident.ServiceID {
	if id == fleet.Desk {
		return fleet.OtherDesk
	}
	return fleet.Desk
}

// change writes a configuration and reports it as no fault.
func (r *run) change() { r.reportFault("change %s", r.configure()) }

// scheduleChanges makes a change at once and, with half of the seeds, others until the time.
// The other seeds have no changes but faults, so that one that a VM missed is not made up for
// by the next.
func (r *run) scheduleChanges(until time.Duration) {
	r.change()
	if r.config.Seed%4 >= 2 {
		return
	}
	for at := r.changeInterval(); at < until; at += r.changeInterval() {
		r.scheduleAfter(at, r.change)
	}
}

func (r *run) changeInterval() time.Duration {
	return minChangeInterval + time.Duration(r.changes.Int64N(int64(maxChangeInterval-minChangeInterval)))
}

// checkApplied checks that each VM in touch serves the route of the newest configuration,
// once applyWithin has passed since it was acknowledged, and no route that it removed.
func (r *run) checkApplied() {
	if r.extraPrefix == "" || time.Since(r.configuredAt) < applyWithin {
		return
	}
	for _, vm := range r.vms {
		sent := time.Now()
		if !r.touch.inTouch(vm.id(), sent, sent) {
			continue
		}
		age := time.Since(r.configuredAt)
		r.appliedChecks++
		if r.probe(vm, r.extraPrefix) == http.StatusNotFound {
			r.log.reportBroken("%s lacks %s %v after it was acknowledged", vm.boot.VM, r.extraPrefix, age)
		}
		if r.removedPrefix != "" && r.probe(vm, r.removedPrefix) == http.StatusOK {
			r.log.reportBroken("%s serves %s %v after its removal was acknowledged", vm.boot.VM, r.removedPrefix, age)
		}
	}
}

// awaitChangeInForce checks the last change for a time.
func (r *run) awaitChangeInForce(duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		r.runDue(time.Now())
		time.Sleep(pollInterval)
	}
}

// checkLastChange makes a change while all VMs are in touch and checks it.
func (r *run) checkLastChange() {
	r.change()
	r.awaitChangeInForce(applyWithin + time.Second)
}

// probe sends a request for a route of the desks to a VM, over a connection of its own, and
// returns the status of the answer, or 0 without one.
func (r *run) probe(vm *process, prefix string) int {
	c := call{id: r.log.nextID(), kind: "probe", vm: vm.id(), host: fleet.DeskHost, path: prefix + "x", sent: time.Now()}
	front := fmt.Sprintf("%s:%d", vm.boot.IP, vm.boot.Front)
	request, err := platform.NewRequest(http.MethodGet, front, c.host, c.path, c.id, probeTimeout)
	if err != nil {
		return 0
	}
	c.status = fetchStatus(request)
	c.ended = time.Now()
	r.log.addProbe(c)
	return c.status
}

// probeVersions asks a VM for the routes that tell versions apart until the context is done.
func (r *run) probeVersions(ctx context.Context, vm *process, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 13))
	seen := 0
	var knownProbedAt time.Time
	for ctx.Err() == nil {
		all := r.versions.list()
		for i := len(all) - 1; i > max(seen, len(all)-1-maxUnseenProbes); i-- {
			if r.probe(vm, all[i].marker) == http.StatusOK {
				seen = i
			}
		}
		if time.Since(knownProbedAt) > knownProbeInterval {
			knownProbedAt = time.Now()
			recent := all[max(0, len(all)-maxUnseenProbes):]
			prefixes := recent[random.IntN(len(recent))].prefixes
			r.probe(vm, prefixes[random.IntN(len(prefixes))])
		}
		select {
		case <-time.After(unseenProbeInterval):
		case <-ctx.Done():
		}
	}
}

// setPlatformFaults replaces the faults of the store.
func (r *run) setPlatformFaults(f standin.PlatformFaults) {
	faulty := f != standin.PlatformFaults{}
	if faulty {
		r.touch.setStore(true, time.Now())
	}
	r.site.Platform.SetFaults(f)
	r.storeDisturbedAt = time.Now()
	if !faulty {
		r.touch.setStore(false, r.storeDisturbedAt)
	}
}

// setStoreProxy sets the mode of the proxy between a VM and the store.
func (r *run) setStoreProxy(i int, m Mode) {
	isCut, isRefused := m == CutAnswers || m == CutAsks, m.refuses()
	id, before := r.vms[i].id(), time.Now()
	if isCut {
		r.touch.set(id, cut, true, before)
	}
	if err := r.storeProxies[i].SetMode(m); err != nil {
		r.log.reportBroken("mode %v of the proxy of %s: %v", m, id, err)
	}
	after := time.Now()
	r.touch.set(id, refused, isRefused, after)
	if !isCut {
		r.touch.set(id, cut, false, after)
	}
}

// judge judges all calls against the versions of the configuration.
func (r *run) judge() Judgement {
	j := &judge{versions: r.versions.list(), touch: &r.touch, began: r.began}
	for _, replica := range r.site.Replicas {
		j.addRuns(replica.Entry().Service, replica.Runs())
	}
	j.judge(r.log.all())
	for _, line := range j.broken() {
		r.log.reportBroken("%s", line)
	}
	return j.judgement
}

// all returns the calls of clients and the probes.
func (l *callLog) all() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.calls, l.probes)
}

// sentTo returns when requests on a route to a service were sent, in order. The route is that
// of the newest version that was acknowledged then.
func (v versions) sentTo(calls []call, id ident.ServiceID) []time.Time {
	var out []time.Time
	for i := range calls {
		if c := &calls[i]; v.newestAt(c.sent).sendsTo(c, id) {
			out = append(out, c.sent)
		}
	}
	slices.SortFunc(out, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	return out
}
