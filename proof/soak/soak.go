// Package soak runs the real program as separate processes, with stand-ins for
// the platform and the replicas behind loopback proxies, injects faults from
// outside, and checks the promises from what clients and replicas see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/proof/standin"
)

// A Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	CannotRun Kind = "cannot-run"
)

// An Error is a soak that could not be run.
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
	// faultEvery is the mean time between two faults; they overlap.
	faultEvery = 700 * time.Millisecond
	// recoverWithin is the time after the last fault within which service is back.
	recoverWithin = 12 * time.Second
	judgeFor      = 2 * time.Second
	leastServed   = 0.9
	lookEvery     = 20 * time.Millisecond
)

// A Config says what to run.
type Config struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Binary is the program; Folder keeps settings and logs.
	Binary, Folder string
	VMs            int
	// OnFault takes a line for each fault; may be nil.
	OnFault func(string)
}

// mirroredApply is a bound for changes that is long enough for VMs to read the store
// through one another.
const mirroredApply = 5 * time.Second

// A Report is what a soak saw.
type Report struct {
	Seed                     uint64
	Requests, Served, Faults int
	// Broken lists the broken promises.
	Broken []string
}

// A run is one soak in progress.
type run struct {
	config  Config
	random  *rand.Rand
	site    *fleet.Site
	proxies map[string]*Proxy
	stores  []*Proxy
	vms     []*process
	ledger  ledger
	began   time.Time
	faults  int
	// Undo holds what ends the faults in progress, and when.
	undo []undo
	// Leaving holds when a replica's entry said that it leaves.
	leaving map[*standin.Replica]time.Time
	// StoreTouched is when a fault of the store last began or ended.
	storeTouched time.Time
}

type undo struct {
	at time.Time
	do func()
}

// Run runs one soak.
func Run(ctx context.Context, c Config) (Report, error) {
	r := &run{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 11)), proxies: map[string]*Proxy{},
		leaving: map[*standin.Replica]time.Time{}, began: time.Now(),
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return Report{}, &Error{"start", CannotRun, err}
	}
	clients, stop := context.WithCancel(ctx)
	defer stop()
	ends := make(chan struct{}, len(r.vms)*clientsPerVM)
	for i, vm := range r.vms {
		for n := range clientsPerVM {
			go func() {
				client(clients, &r.ledger, vm.boot.VM, fmt.Sprintf("%s:%d", vm.boot.IP, vm.boot.Front),
					r.site.Spec.Shards, c.Seed*1000+uint64(i*clientsPerVM+n))
				ends <- struct{}{}
			}()
		}
	}
	r.inject(ctx)
	r.calm()
	r.judgeRecovery(ctx)
	stop()
	for range cap(ends) {
		<-ends
	}
	r.judge()
	asked, served := r.ledger.counts(r.began)
	return Report{c.Seed, asked, served, r.faults, r.ledger.faults}, nil
}

func (r *run) start() error {
	if err := os.MkdirAll(r.config.Folder, 0o750); err != nil {
		return err
	}
	spec := fleet.SmallSite()
	spec.VMs, spec.Seed = r.config.VMs, r.config.Seed
	if r.config.Seed%2 == 0 {
		// The VMs read the store through one another; the promises stay the same.
		spec.Apply = mirroredApply
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
	for i := range site.Boots {
		// Each VM has a way of its own to the store.
		p, err := NewProxy(site.Platform.Address())
		if err != nil {
			return err
		}
		r.stores = append(r.stores, p)
		boot := site.Boots[i]
		boot.Store = p.Address()
		vm := &process{binary: r.config.Binary, folder: r.config.Folder, boot: boot}
		r.vms = append(r.vms, vm)
		if err := vm.start(); err != nil {
			return err
		}
	}
	return r.awaitReady()
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

// stop ends what the soak started.
func (r *run) stop() {
	for _, vm := range r.vms {
		if vm.command != nil {
			_ = vm.command.Process.Kill()
			vm.ended(time.Second)
		}
	}
	for _, p := range r.proxies {
		_ = p.Close()
	}
	for _, p := range r.stores {
		_ = p.Close()
	}
	if r.site != nil {
		_ = r.site.Close()
	}
}

// inject lets faults begin and end at random until the time is over.
func (r *run) inject(ctx context.Context) {
	until := time.Now().Add(r.config.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		r.begin()
		next := time.Now().Add(time.Duration(r.random.ExpFloat64() * float64(faultEvery)))
		for time.Now().Before(next) {
			r.end(time.Now())
			time.Sleep(lookEvery)
		}
	}
}

// later ends a fault after a while.
func (r *run) later(after time.Duration, do func()) {
	r.undo = append(r.undo, undo{time.Now().Add(after), do})
}

// end ends the faults that are due.
func (r *run) end(now time.Time) {
	kept := r.undo[:0]
	var due []func()
	for _, u := range r.undo {
		if u.at.After(now) {
			kept = append(kept, u)
		} else {
			due = append(due, u.do)
		}
	}
	r.undo = kept
	for _, do := range due {
		do()
	}
}

// calm waits until every fault has ended.
func (r *run) calm() {
	for len(r.undo) > 0 {
		r.end(time.Now())
		time.Sleep(lookEvery)
	}
}

func (r *run) tell(format string, args ...any) {
	if r.config.OnFault != nil {
		r.config.OnFault(fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// judgeRecovery expects service back in time after the last fault.
func (r *run) judgeRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoverWithin)
	for ctx.Err() == nil {
		since := time.Now()
		time.Sleep(judgeFor)
		asked, served := r.ledger.counts(since)
		if asked > 0 && float64(served) >= leastServed*float64(asked) {
			return
		}
		if time.Now().After(deadline) {
			r.ledger.fault("%d of %d requests are served %v after the last fault", served, asked, recoverWithin)
			return
		}
	}
}

// judge compares what clients were told with what the replicas ran.
func (r *run) judge() {
	runs := map[string]int{}
	for _, replica := range r.site.Replicas {
		for _, one := range replica.Runs() {
			if one.Method == http.MethodPost {
				runs[one.ID]++
				if one.Body != one.ID {
					r.ledger.fault("%s ran with another body", one.ID)
				}
			}
		}
	}
	for _, c := range r.ledger.calls {
		if !c.once {
			continue
		}
		if n := runs[c.id]; n > 1 {
			r.ledger.fault("%s ran %d times", c.id, n)
		}
		if c.status == http.StatusServiceUnavailable && runs[c.id] > 0 {
			r.ledger.fault("%s was refused as not run, but ran", c.id)
		}
	}
}
