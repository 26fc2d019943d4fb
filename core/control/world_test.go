package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/view"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/operator"
)

type random interface{ IntN(n int) int }

// fakeStore is a store with faults that the world switches.
type fakeStore struct {
	simulation *simulation
	version    platform.StoreVersion
	value      []byte
	down       bool
	// LoseAnswer makes the next write take effect without an answer.
	loseAnswer bool
}

var errDown = errors.New("down")

func (s *fakeStore) Get(context.Context, string) (platform.Object, error) {
	if s.down {
		return platform.Object{}, &platform.Error{Op: "get", Kind: platform.Unreachable, Err: errDown}
	}
	return platform.Object{Version: s.version, Value: s.value}, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, old platform.StoreVersion) (platform.StoreVersion, error) {
	switch {
	case s.down:
		return 0, &platform.Error{Op: "put", Kind: platform.Unreachable, Err: errDown}
	case old != s.version:
		return 0, &platform.Error{Op: "put", Kind: platform.Conflict, Err: errDown}
	}
	s.version++
	s.value = value
	s.simulation.recordAccepted(value)
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, &platform.Error{Op: "put", Kind: platform.Unknown, Err: errDown}
	}
	return s.version, nil
}

func (s *fakeStore) Watch(ctx context.Context, name string, _ platform.StoreVersion) (platform.Object, error) {
	return s.Get(ctx, name)
}

func (s *fakeStore) VMs(context.Context) ([]platform.ListedVM, error) { return nil, errDown }

type fakeVM struct {
	member      roster.Member
	core        *control.Core
	alive       bool
	pausedUntil ident.Instant
	partition   int
	view        *view.View
	version     ident.Version
	// Stale is a configuration that the VM read long ago and may still take.
	stale config.Configuration
}

type envelope struct {
	to   ident.VMID
	from *fakeVM
	m    *control.Message
	at   ident.Instant
}

// A simulation is several VMs' control cores with a lossy network between them, a
// fake store and operators, under virtual time.
type simulation struct {
	choose   random
	now      ident.Instant
	vms      []*fakeVM
	store    fakeStore
	inFlight []envelope
	// Loss is the chance of losing or doubling a message, in percent.
	loss, duplication int
	delay             time.Duration
	// Truth holds each accepted configuration by its version.
	acceptedByVersion map[ident.Version]config.Configuration
	newestAccepted    ident.Version
	stoppedVM         *fakeVM
	lastChange        int
	failures          []string
	sent              int
	bytes             int
}

const (
	replicaConnections = 40
	firstStoreVersion  = 1
)

var zones = []ident.ZoneID{"zh-altstetten", "zh-oerlikon", "winterthur", "baden"}

func newSimulation(choose random, size int) *simulation {
	w := &simulation{
		choose: choose, now: ident.Instant(time.Hour), acceptedByVersion: map[ident.Version]config.Configuration{},
		delay: 5 * time.Millisecond,
	}
	w.store.simulation = w
	p, q := preset.Ordinary(), preset.Ordinary()
	q.Name = "peak"
	first, err := config.First([]preset.Preset{p, q}, p.Name)
	if err != nil {
		panic(err)
	}
	value, err := codec.MarshalConfiguration(&first)
	if err != nil {
		panic(err)
	}
	w.store.value, w.store.version = value, firstStoreVersion
	w.recordAccepted(value)
	for i := range size {
		w.vms = append(w.vms, &fakeVM{member: roster.Member{
			VM: ident.VMID(fmt.Sprintf("entry-%d", i)), Zone: zones[i%len(zones)], Address: fmt.Sprint(i),
		}})
	}
	for _, vm := range w.vms {
		w.startVM(vm)
	}
	return w
}

func (w *simulation) failf(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *simulation) recordAccepted(value []byte) {
	c, err := codec.UnmarshalConfiguration(value)
	if err != nil {
		w.failf("the store took what cannot be read: %v", err)
		return
	}
	if known, ok := w.acceptedByVersion[c.Version]; ok && (known.InForce != c.InForce || !slices.Equal(known.ZonesOut, c.ZonesOut)) {
		w.failf("version %d was accepted twice with different content", c.Version)
	}
	w.acceptedByVersion[c.Version] = c
	w.newestAccepted = max(w.newestAccepted, c.Version)
}

func (w *simulation) startVM(vm *fakeVM) {
	self := vm.member
	self.Incarnation = ident.Incarnation(w.now) + 1
	var seeds []roster.Member
	for _, other := range w.vms {
		if other != vm {
			seeds = append(seeds, other.member)
		}
	}
	vm.alive, vm.version, vm.pausedUntil = true, 0, 0
	vm.core = control.New(w.now, control.Config{
		Self: self, Seeds: seeds, Random: rand.New(rand.NewPCG(uint64(w.now), uint64(slices.Index(w.vms, vm)))),
		Services: []view.Service{{ID: "slotfinder", Slots: 4, Connections: replicaConnections, Replicas: []view.Replica{{
			ID: "slotfinder-0-0", Zone: zones[0],
		}}}},
	})
	w.executeActions(vm)
}

func (w *simulation) running(vm *fakeVM) bool { return vm.alive && vm.pausedUntil <= w.now }

func (w *simulation) find(id ident.VMID) *fakeVM {
	for _, vm := range w.vms {
		if vm.member.VM == id {
			return vm
		}
	}
	return nil
}

func (w *simulation) executeActions(vm *fakeVM) {
	for _, a := range vm.core.Drain(nil) {
		switch a.Kind {
		case control.Send:
			w.transmit(vm, a)
		case control.Repair:
			w.repair(*a.Configuration)
		case control.Publish:
			w.checkView(vm, a.View)
		}
	}
}

func (w *simulation) transmit(vm *fakeVM, a control.Action) {
	body, err := codec.MarshalMessage(w.now, a.Message)
	if err != nil {
		w.failf("message not encoded: %v", err)
		return
	}
	w.sent++
	w.bytes += len(body)
	m, err := codec.UnmarshalMessage(w.now, body)
	if err != nil {
		w.failf("message not decoded: %v", err)
		return
	}
	times := 1
	switch n := w.choose.IntN(100); {
	case n < w.loss:
		return
	case n < w.loss+w.duplication:
		times = 2
	}
	for range times {
		late := time.Duration(w.choose.IntN(int(w.delay)))
		w.inFlight = append(w.inFlight, envelope{a.To, vm, m, w.now.Add(late)})
	}
}

func (w *simulation) repair(newest config.Configuration) {
	held, err := codec.UnmarshalConfiguration(w.store.value)
	if w.store.down || err != nil || held.Version >= newest.Version {
		return
	}
	value, err := codec.MarshalConfiguration(&newest)
	if err != nil {
		w.failf("configuration not encoded: %v", err)
		return
	}
	_, _ = w.store.Put(context.Background(), "", value, w.store.version)
}

// checkView checks a new view: its version never falls within a life, and it
// is what was accepted under that version.
func (w *simulation) checkView(vm *fakeVM, v *view.View) {
	if v.Version < vm.version {
		w.failf("%s went from version %d to %d", vm.member.VM, vm.version, v.Version)
	}
	vm.version, vm.view = v.Version, v
	if v.Version == 0 {
		return
	}
	truth, ok := w.acceptedByVersion[v.Version]
	if !ok {
		w.failf("%s has version %d, which was never accepted", vm.member.VM, v.Version)
		return
	}
	if v.Preset.Name != truth.InForce {
		w.failf("%s has preset %s in force at version %d, accepted was %s", vm.member.VM, v.Preset.Name, v.Version, truth.InForce)
	}
	if out := truth.ZoneIsOut(zones[0]); v.Services[0].Replicas[0].Out != out {
		w.failf("%s has zone %s out=%v at version %d", vm.member.VM, zones[0], !out, v.Version)
	}
}

// deliver hands over the messages that are due.
func (w *simulation) deliver() {
	for i := 0; i < len(w.inFlight); {
		e := w.inFlight[i]
		if e.at > w.now {
			i++
			continue
		}
		w.inFlight[i] = w.inFlight[len(w.inFlight)-1]
		w.inFlight = w.inFlight[:len(w.inFlight)-1]
		to := w.find(e.to)
		if to.partition == e.from.partition && w.running(to) {
			to.core.Receive(w.now, e.m)
			w.executeActions(to)
		}
	}
}

// advance moves time on in small steps and runs everything that is due.
func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = min(w.now.Add(5*time.Millisecond), end)
		w.deliver()
		for _, vm := range w.vms {
			if w.running(vm) && vm.core.Wake() <= w.now {
				vm.core.Tick(w.now)
				w.executeActions(vm)
			}
		}
	}
}

// applyChange sends one change through a VM, as an operator would.
func (w *simulation) applyChange(vm *fakeVM, ch config.Change, basedOn ident.Version) (operator.Result, error) {
	desk := &operator.Desk{
		Store: &w.store, Deployment: "karaoke",
		Known: func(context.Context) config.Configuration { return vm.core.Configuration() },
	}
	desk.Fleet.Zones = append(desk.Fleet.Zones, zones...)
	result, err := desk.Apply(context.Background(), ch, basedOn)
	if err == nil {
		vm.core.Operated(w.now, result.Configuration)
		w.executeActions(vm)
	}
	return result, err
}

// checkShares compares the connections that all VMs together may hold.
func (w *simulation) checkShares() {
	sum := 0
	for _, vm := range w.vms {
		if vm.alive && vm.view != nil && vm.view.Ready {
			sum += replica.Shares{Connections: replicaConnections, VMs: vm.view.VMs}.ConnectionShare()
		}
	}
	if sum > replicaConnections {
		w.failf("the VMs' shares sum to %d of %d connections", sum, replicaConnections)
	}
}
