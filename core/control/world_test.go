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

type randomSource interface{ IntN(n int) int }

// fakeStore is a configuration store whose faults the simulation switches.
type fakeStore struct {
	simulation *simulation
	version    platform.StoreVersion
	value      []byte
	down       bool
	// loseAnswer makes the next write succeed but return an unknown outcome.
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
	// stale is a configuration that the VM read earlier; a step may pass it to the
	// VM late.
	stale config.Configuration
}

// An envelope is a message in flight.
type envelope struct {
	to   ident.VMID
	from *fakeVM
	m    *control.Message
	at   ident.Instant
}

// A simulation runs the control cores of several VMs in virtual time, with an
// unreliable network between them, a fake store and operators.
type simulation struct {
	random   randomSource
	now      ident.Instant
	vms      []*fakeVM
	store    fakeStore
	inFlight []envelope
	// loss and duplication are the probabilities that a message is lost or
	// delivered twice, in percent.
	loss, duplication int
	// delay is the upper bound of the random delay of a message.
	delay time.Duration
	// acceptedByVersion holds each configuration that the store accepted.
	acceptedByVersion map[ident.Version]config.Configuration
	newestAccepted    ident.Version
	// stoppedVM is the VM that stays stopped for long, if any.
	stoppedVM  *fakeVM
	lastChange int
	// failures describes the violations found.
	failures []string
	sent     int
	bytes    int
}

const (
	replicaConnections = 40
	firstStoreVersion  = 1
)

var zones = []ident.ZoneID{"zh-altstetten", "zh-oerlikon", "winterthur", "baden"}

func newSimulation(random randomSource, size int) *simulation {
	sim := &simulation{
		random: random, now: ident.Instant(time.Hour), acceptedByVersion: map[ident.Version]config.Configuration{},
		delay: 5 * time.Millisecond,
	}
	sim.store.simulation = sim
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
	sim.store.value, sim.store.version = value, firstStoreVersion
	sim.recordAccepted(value)
	for i := range size {
		sim.vms = append(sim.vms, &fakeVM{member: roster.Member{
			VM: ident.VMID(fmt.Sprintf("entry-%d", i)), Zone: zones[i%len(zones)], Address: fmt.Sprint(i),
		}})
	}
	for _, vm := range sim.vms {
		sim.startVM(vm)
	}
	return sim
}

func (sim *simulation) failf(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf(format, args...))
}

// recordAccepted records a configuration that the store accepted and checks that no
// version is accepted with two contents.
func (sim *simulation) recordAccepted(value []byte) {
	c, err := codec.UnmarshalConfiguration(value)
	if err != nil {
		sim.failf("the store accepted a configuration that cannot be decoded: %v", err)
		return
	}
	if known, ok := sim.acceptedByVersion[c.Version]; ok && (known.InForce != c.InForce || !slices.Equal(known.ZonesOut, c.ZonesOut)) {
		sim.failf("version %d was accepted twice with different content", c.Version)
	}
	sim.acceptedByVersion[c.Version] = c
	sim.newestAccepted = max(sim.newestAccepted, c.Version)
}

func (sim *simulation) startVM(vm *fakeVM) {
	self := vm.member
	self.Incarnation = ident.Incarnation(sim.now) + 1
	var seeds []roster.Member
	for _, other := range sim.vms {
		if other != vm {
			seeds = append(seeds, other.member)
		}
	}
	vm.alive, vm.version, vm.pausedUntil = true, 0, 0
	vm.core = control.New(sim.now, control.Config{
		Self: self, Seeds: seeds, Random: rand.New(rand.NewPCG(uint64(sim.now), uint64(slices.Index(sim.vms, vm)))),
		Services: []view.Service{{ID: "slotfinder", Slots: 4, Connections: replicaConnections, Replicas: []view.Replica{{
			ID: "slotfinder-0-0", Zone: zones[0],
		}}}},
	})
	sim.executeActions(vm)
}

func (sim *simulation) running(vm *fakeVM) bool { return vm.alive && vm.pausedUntil <= sim.now }

func (sim *simulation) find(id ident.VMID) *fakeVM {
	for _, vm := range sim.vms {
		if vm.member.VM == id {
			return vm
		}
	}
	return nil
}

func (sim *simulation) executeActions(vm *fakeVM) {
	for _, a := range vm.core.Drain(nil) {
		switch a.Kind {
		case control.Send:
			sim.transmit(vm, a)
		case control.Repair:
			sim.repair(*a.Configuration)
		case control.Publish:
			sim.checkView(vm, a.View)
		}
	}
}

// transmit encodes and decodes a message and puts it in flight, unless it is lost.
func (sim *simulation) transmit(vm *fakeVM, a control.Action) {
	body, err := codec.MarshalMessage(sim.now, a.Message)
	if err != nil {
		sim.failf("message not encoded: %v", err)
		return
	}
	sim.sent++
	sim.bytes += len(body)
	m, err := codec.UnmarshalMessage(sim.now, body)
	if err != nil {
		sim.failf("message not decoded: %v", err)
		return
	}
	times := 1
	switch n := sim.random.IntN(100); {
	case n < sim.loss:
		return
	case n < sim.loss+sim.duplication:
		times = 2
	}
	for range times {
		delay := time.Duration(sim.random.IntN(int(sim.delay)))
		sim.inFlight = append(sim.inFlight, envelope{a.To, vm, m, sim.now.Add(delay)})
	}
}

func (sim *simulation) repair(newest config.Configuration) {
	held, err := codec.UnmarshalConfiguration(sim.store.value)
	if sim.store.down || err != nil || held.Version >= newest.Version {
		return
	}
	value, err := codec.MarshalConfiguration(&newest)
	if err != nil {
		sim.failf("configuration not encoded: %v", err)
		return
	}
	_, _ = sim.store.Put(context.Background(), "", value, sim.store.version)
}

// checkView checks a new view: its version does not decrease while the VM runs, and
// its content is what the store accepted under that version.
func (sim *simulation) checkView(vm *fakeVM, v *view.View) {
	if v.Version < vm.version {
		sim.failf("%s went back from version %d to %d", vm.member.VM, vm.version, v.Version)
	}
	vm.version, vm.view = v.Version, v
	if v.Version == 0 {
		return
	}
	truth, ok := sim.acceptedByVersion[v.Version]
	if !ok {
		sim.failf("%s has version %d, which was never accepted", vm.member.VM, v.Version)
		return
	}
	if v.Preset.Name != truth.InForce {
		sim.failf("%s has preset %s in force at version %d, accepted was %s", vm.member.VM, v.Preset.Name, v.Version, truth.InForce)
	}
	if out := truth.ZoneIsOut(zones[0]); v.Services[0].Replicas[0].Out != out {
		sim.failf("%s has zone %s out=%v at version %d", vm.member.VM, zones[0], !out, v.Version)
	}
}

// deliver delivers the messages that are due, in any order. Messages to a VM that
// is stopped, paused or in another partition are lost.
func (sim *simulation) deliver() {
	for i := 0; i < len(sim.inFlight); {
		e := sim.inFlight[i]
		if e.at > sim.now {
			i++
			continue
		}
		sim.inFlight[i] = sim.inFlight[len(sim.inFlight)-1]
		sim.inFlight = sim.inFlight[:len(sim.inFlight)-1]
		to := sim.find(e.to)
		if to.partition == e.from.partition && sim.running(to) {
			to.core.Receive(sim.now, e.m)
			sim.executeActions(to)
		}
	}
}

// advance advances the time in steps of 5 ms, delivers messages and runs the cores'
// timers.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = min(sim.now.Add(5*time.Millisecond), end)
		sim.deliver()
		for _, vm := range sim.vms {
			if sim.running(vm) && vm.core.Wake() <= sim.now {
				vm.core.Tick(sim.now)
				sim.executeActions(vm)
			}
		}
	}
}

// applyChange makes an operator's change on a VM.
func (sim *simulation) applyChange(vm *fakeVM, ch config.Change, basedOn ident.Version) (operator.Result, error) {
	desk := &operator.Updater{
		Store: &sim.store, Deployment: "karaoke",
		ConfigurationInForce: func(context.Context) config.Configuration { return vm.core.Configuration() },
	}
	desk.Fleet.Zones = append(desk.Fleet.Zones, zones...)
	result, err := desk.Apply(context.Background(), ch, basedOn)
	if err == nil {
		vm.core.ConfigurationChanged(sim.now, result.Configuration)
		sim.executeActions(vm)
	}
	return result, err
}

// checkShares checks that the connections that all ready VMs together may open to a
// replica do not exceed its total.
func (sim *simulation) checkShares() {
	sum := 0
	for _, vm := range sim.vms {
		if vm.alive && vm.view != nil && vm.view.Ready {
			sum += replica.Shares{Connections: replicaConnections, VMs: vm.view.VMs}.ConnectionShare()
		}
	}
	if sum > replicaConnections {
		sim.failf("the VMs' shares sum to %d of %d connections", sum, replicaConnections)
	}
}
