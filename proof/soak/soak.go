// Package soak runs the real program as separate processes, with stand-ins for the
// platform and the replicas behind loopback proxies. It injects faults from outside
// and checks the program's promises from what clients and replicas record.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	CannotRun Kind = "cannot-run"
)

// An Error reports that a soak could not be run.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("soak: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	clientsPerVM = 6
	startWithin  = 10 * time.Second
	// meanFaultInterval is the mean time between two faults; they overlap.
	meanFaultInterval = 700 * time.Millisecond
	// recoverWithin is the time after the last fault within which minServedShare of
	// the requests in a recoveryWindow must succeed.
	recoverWithin  = 12 * time.Second
	recoveryWindow = 2 * time.Second
	minServedShare = 0.9
	pollInterval   = 20 * time.Millisecond
)

// A Step injects a fault at a time after the start.
type Step struct {
	At    time.Duration
	Fault string
}

// A Config configures a soak.
type Config struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Series replaces the random faults unless it is empty. Duration is then not used.
	Series []Step
	// Binary is the path of the program, Folder the one for settings and logs.
	Binary, Folder string
	VMs            int
	// Share is the part of each tenth of a second in which a VM runs, in place of a limit on
	// its processor time; 0 means all of it.
	Share ident.Share
	// Staleness is the age of the store's answers to reads that allow stale data.
	Staleness time.Duration
	// OnFault is called with a line for each fault; may be nil.
	OnFault func(string)
}

// mirroredApplyWithin is a bound for changes that is long enough for VMs to read
// the store through one another.
const mirroredApplyWithin = 5 * time.Second

// A Report is the result of a soak.
type Report struct {
	Seed                     uint64
	Requests, Served, Faults int
	// Checks counts the checks of a VM in touch for the newest configuration.
	Checks int
	Judgement
	// MostRepeats is the most repeats that a service got in a window, as a share of those
	// allowed.
	MostRepeats ident.Share
	// Broken describes the broken promises.
	Broken []string
}

// Checked reports whether the soak checked changes. One that did not counts as not run.
func (r *Report) Checked() bool { return r.Checks > 0 && r.Telling > 0 }

// A run is one soak in progress.
type run struct {
	config Config
	random *rand.Rand
	// changes draws what changes of the configuration do.
	changes *rand.Rand
	site    *fleet.Site
	// proxies holds a proxy for each address of a replica or the store, by that
	// address; storeProxies holds each VM's own proxy of the store.
	proxies      map[string]*Proxy
	storeProxies []*Proxy
	vms          []*process
	// endDuty ends the duty cycles of the VMs; nil if there are none.
	endDuty    func()
	log        callLog
	touch      touchLog
	versions   versionLog
	began      time.Time
	faultCount int
	// scheduled holds the pending ends of faults and checks.
	scheduled []scheduledAction
	// leaving holds the time since which a replica's entry is marked as leaving.
	leaving map[*standin.Replica]time.Time
	// storeDisturbedAt is when a fault of the store last began or ended.
	storeDisturbedAt time.Time
	// configuredAt is when the last change was acknowledged. extraPrefix is of the route
	// that it added and removedPrefix of the one that it removed.
	configuredAt               time.Time
	extraPrefix, removedPrefix string
	// appliedAt is when checkApplied last ran, and appliedChecks counts the VMs that it
	// asked.
	appliedAt     time.Time
	appliedChecks int
	// mostRepeats is the most repeats of a service in a window, as a share of those allowed.
	mostRepeats ident.Share
}

// A scheduledAction ends a fault or makes a check at a given time.
type scheduledAction struct {
	at time.Time
	do func()
}

// Run runs one soak.
func Run(ctx context.Context, c Config) (Report, error) {
	r := &run{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 11)), changes: rand.New(rand.NewPCG(c.Seed, 12)), proxies: map[string]*Proxy{},
		leaving: map[*standin.Replica]time.Time{}, began: time.Now(),
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return Report{}, &Error{"start", CannotRun, err}
	}
	clients, stop := context.WithCancel(ctx)
	defer stop()
	done := r.startClients(clients)
	if len(c.Series) == 0 {
		r.scheduleChanges(c.Duration)
		r.injectFaults(ctx)
	} else if err := r.schedule(c.Series); err != nil {
		return Report{}, &Error{"schedule", CannotRun, err}
	}
	r.awaitFaultsEnd()
	r.awaitChangeInForce(inTouchAfter + time.Second)
	r.checkRecovery(ctx)
	r.checkLastChange()
	stop()
	for range cap(done) {
		<-done
	}
	r.checkRuns()
	r.checkBudget()
	judgement := r.judge()
	requests, served := r.log.counts(r.began)
	return Report{
		Seed: c.Seed, Requests: requests, Served: served, Faults: r.faultCount, Checks: r.appliedChecks,
		Judgement: judgement, MostRepeats: r.mostRepeats, Broken: r.log.brokenPromises,
	}, nil
}

// startClients starts the clients and the probes. Each reports its end on the channel, whose
// capacity is their number.
func (r *run) startClients(ctx context.Context) chan struct{} {
	think := thinkTime
	if r.config.Seed%3 == 0 {
		think = calmThinkTime
	}
	done := make(chan struct{}, len(r.vms)*(clientsPerVM+1))
	for i, vm := range r.vms {
		for n := range clientsPerVM {
			go func() {
				runClient(ctx, &r.log, vm.id(), fmt.Sprintf("%s:%d", vm.boot.IP, vm.boot.Front),
					r.site.Spec.Shards, r.config.Seed*1000+uint64(i*clientsPerVM+n), think)
				done <- struct{}{}
			}()
		}
		go func() {
			r.probeVersions(ctx, vm, r.config.Seed*1000+uint64(i))
			done <- struct{}{}
		}()
	}
	return done
}

func (r *run) start() error {
	if err := os.MkdirAll(r.config.Folder, 0o750); err != nil {
		return err
	}
	spec := fleet.SmallSite()
	spec.VMs, spec.Seed = r.config.VMs, r.config.Seed
	spec.OtherDeskReplicas = spec.DeskReplicas
	if r.config.Seed%2 == 0 {
		// The VMs read the store through one another; the promises stay the same.
		spec.Apply = mirroredApplyWithin
	}
	var failed error
	spec.MapAddress = func(address string) string {
		p, ok := r.proxies[address]
		if !ok {
			var err error
			if p, err = NewProxy(address); err != nil {
				failed = errors.Join(failed, err)
				return address
			}
			r.proxies[address] = p
		}
		return p.Address()
	}
	site, err := fleet.StartSite(spec)
	if err = errors.Join(err, failed); err != nil {
		return err
	}
	r.site = site
	site.Platform.SetStaleness(r.config.Staleness)
	r.recordFirst()
	for i := range site.Boots {
		// Each VM reaches the store through its own proxy.
		p, err := NewProxy(site.Platform.Address())
		if err != nil {
			return err
		}
		r.storeProxies = append(r.storeProxies, p)
		boot := site.Boots[i]
		boot.Store = p.Address()
		vm := &process{binary: r.config.Binary, folder: r.config.Folder, boot: boot, touch: &r.touch}
		r.vms = append(r.vms, vm)
		if err := vm.start(); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	if r.config.Share > 0 && r.config.Share < 1 {
		r.startDuty()
	}
	return nil
}

// startDuty starts a duty cycle for each VM.
func (r *run) startDuty() {
	ctx, cancel := context.WithCancel(context.Background())
	var cycles []*dutyCycle
	for _, vm := range r.vms {
		cycles = append(cycles, startDutyCycle(ctx, vm, r.config.Share))
	}
	r.endDuty = func() {
		cancel()
		for _, c := range cycles {
			c.wait()
		}
	}
}

func (r *run) awaitReady() error {
	deadline := time.Now().Add(startWithin)
	for _, vm := range r.vms {
		for !vm.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", vm.boot.VM, startWithin)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// stop ends the processes, proxies and stand-ins that the soak started.
func (r *run) stop() {
	if r.endDuty != nil {
		r.endDuty()
	}
	for _, vm := range r.vms {
		if vm.command != nil {
			_ = vm.command.Process.Kill()
			vm.awaitEnd(time.Second)
		}
	}
	for _, p := range r.proxies {
		_ = p.Close()
	}
	for _, p := range r.storeProxies {
		_ = p.Close()
	}
	if r.site != nil {
		_ = r.site.Close()
	}
}

// injectFaults injects faults at random times for the configured duration and ends
// those that are due.
func (r *run) injectFaults(ctx context.Context) {
	until := time.Now().Add(r.config.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		r.injectFault()
		next := time.Now().Add(time.Duration(r.random.ExpFloat64() * float64(meanFaultInterval)))
		for time.Now().Before(next) {
			r.runDue(time.Now())
			time.Sleep(pollInterval)
		}
	}
}

// scheduleAfter schedules the end of a fault or a check. It runs in the goroutine
// that injects the faults.
func (r *run) scheduleAfter(after time.Duration, do func()) {
	r.scheduled = append(r.scheduled, scheduledAction{time.Now().Add(after), do})
}

// runDue runs the scheduled actions that are due.
func (r *run) runDue(now time.Time) {
	pending := r.scheduled[:0]
	var due []func()
	for _, u := range r.scheduled {
		if u.at.After(now) {
			pending = append(pending, u)
		} else {
			due = append(due, u.do)
		}
	}
	r.scheduled = pending
	for _, do := range due {
		do()
	}
	if now.Sub(r.appliedAt) > applyCheckInterval {
		r.appliedAt = now
		r.checkApplied()
	}
}

// awaitFaultsEnd waits until every fault has ended and every check has run.
func (r *run) awaitFaultsEnd() {
	for len(r.scheduled) > 0 {
		r.runDue(time.Now())
		time.Sleep(pollInterval)
	}
}

func (r *run) reportFault(format string, args ...any) {
	if r.config.OnFault != nil {
		r.config.OnFault(fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// checkRecovery checks that requests succeed again within recoverWithin.
func (r *run) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoverWithin)
	for ctx.Err() == nil {
		since := time.Now()
		time.Sleep(recoveryWindow)
		requests, served := r.log.counts(since)
		if requests > 0 && float64(served) >= minServedShare*float64(requests) {
			return
		}
		if time.Now().After(deadline) {
			r.log.reportBroken("%d of %d requests are served %v after the last fault", served, requests, recoverWithin)
			return
		}
	}
}

// checkRuns compares the responses that clients received with what the replicas
// ran.
func (r *run) checkRuns() {
	runs := map[string]int{}
	for _, replica := range r.site.Replicas {
		for _, one := range replica.Runs() {
			if one.Method == http.MethodPost {
				runs[one.ID]++
				if one.Body != one.ID {
					r.log.reportBroken("%s ran with another body", one.ID)
				}
			}
		}
	}
	for _, c := range r.log.calls {
		if !c.atMostOnce {
			continue
		}
		if n := runs[c.id]; n > 1 {
			r.log.reportBroken("%s ran %d times", c.id, n)
		}
		if c.status == http.StatusServiceUnavailable && runs[c.id] > 0 {
			r.log.reportBroken("%s was refused as not run, but ran", c.id)
		}
	}
}
