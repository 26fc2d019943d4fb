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

type chooser interface{ IntN(n int) int }

// fakeStore is a store with faults that the world switches.
type fakeStore struct {
	world   *world
	version platform.StoreVersion
	value   []byte
	down    bool
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
	s.world.accepted(value)
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
	member     roster.Member
	core       *control.Core
	alive      bool
	pausedTill ident.Instant
	side       int
	view       *view.View
	version    ident.Version
	// Stale is a configuration that the VM read long ago and may still take.
	stale config.Configuration
}

type envelope struct {
	to   ident.VMID
	from *fakeVM
	m    *control.Message
	at   ident.Instant
}

// A world is several VMs' control cores with a lossy network between them, a
// fake store and operators, under virtual time.
type world struct {
	choose chooser
	now    ident.Instant
	vms    []*fakeVM
	store  fakeStore
	mail   []envelope
	// Loss is the chance of losing or doubling a message, in percent.
	loss, double int
	delay        time.Duration
	// Truth holds each accepted configuration by its version.
	truth  map[ident.Version]config.Configuration
	newest ident.Version
	gone   *fakeVM
	ids    int
	faults []string
	sent   int
	bytes  int
}

const (
	worldConnections = 40
	worldSeedVersion = 1
)

var zones = []ident.ZoneID{"zh-altstetten", "zh-oerlikon", "winterthur", "baden"}

func newWorld(choose chooser, size int) *world {
	w := &world{
		choose: choose, now: ident.Instant(time.Hour), truth: map[ident.Version]config.Configuration{},
		delay: 5 * time.Millisecond,
	}
	w.store.world = w
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
	w.store.value, w.store.version = value, worldSeedVersion
	w.accepted(value)
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

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) accepted(value []byte) {
	c, err := codec.UnmarshalConfiguration(value)
	if err != nil {
		w.fault("the store took what cannot be read: %v", err)
		return
	}
	if known, ok := w.truth[c.Version]; ok && (known.InForce != c.InForce || !slices.Equal(known.ZonesOut, c.ZonesOut)) {
		w.fault("version %d was accepted twice with different content", c.Version)
	}
	w.truth[c.Version] = c
	w.newest = max(w.newest, c.Version)
}

func (w *world) startVM(vm *fakeVM) {
	self := vm.member
	self.Incarnation = ident.Incarnation(w.now) + 1
	var seeds []roster.Member
	for _, other := range w.vms {
		if other != vm {
			seeds = append(seeds, other.member)
		}
	}
	vm.alive, vm.version, vm.pausedTill = true, 0, 0
	vm.core = control.New(w.now, control.Config{
		Self: self, Seeds: seeds, Random: rand.New(rand.NewPCG(uint64(w.now), uint64(slices.Index(w.vms, vm)))),
		Services: []view.Service{{ID: "slotfinder", Slots: 4, Connections: worldConnections, Replicas: []view.Replica{{
			ID: "slotfinder-0-0", Zone: zones[0],
		}}}},
	})
	w.carryOut(vm)
}

func (w *world) running(vm *fakeVM) bool { return vm.alive && vm.pausedTill <= w.now }

func (w *world) find(id ident.VMID) *fakeVM {
	for _, vm := range w.vms {
		if vm.member.VM == id {
			return vm
		}
	}
	return nil
}

func (w *world) carryOut(vm *fakeVM) {
	for _, a := range vm.core.Drain(nil) {
		switch a.Kind {
		case control.Send:
			w.post(vm, a)
		case control.Repair:
			w.repair(*a.Configuration)
		case control.Publish:
			w.published(vm, a.View)
		}
	}
}

func (w *world) post(vm *fakeVM, a control.Action) {
	body, err := codec.MarshalMessage(w.now, a.Message)
	if err != nil {
		w.fault("message not encoded: %v", err)
		return
	}
	w.sent++
	w.bytes += len(body)
	m, err := codec.UnmarshalMessage(w.now, body)
	if err != nil {
		w.fault("message not decoded: %v", err)
		return
	}
	times := 1
	switch n := w.choose.IntN(100); {
	case n < w.loss:
		return
	case n < w.loss+w.double:
		times = 2
	}
	for range times {
		late := time.Duration(w.choose.IntN(int(w.delay)))
		w.mail = append(w.mail, envelope{a.To, vm, m, w.now.Add(late)})
	}
}

func (w *world) repair(newest config.Configuration) {
	held, err := codec.UnmarshalConfiguration(w.store.value)
	if w.store.down || err != nil || held.Version >= newest.Version {
		return
	}
	value, err := codec.MarshalConfiguration(&newest)
	if err != nil {
		w.fault("configuration not encoded: %v", err)
		return
	}
	_, _ = w.store.Put(context.Background(), "", value, w.store.version)
}

// published checks a new view: its version never falls within a life, and it
// is what was accepted under that version.
func (w *world) published(vm *fakeVM, v *view.View) {
	if v.Version < vm.version {
		w.fault("%s went from version %d to %d", vm.member.VM, vm.version, v.Version)
	}
	vm.version, vm.view = v.Version, v
	if v.Version == 0 {
		return
	}
	truth, ok := w.truth[v.Version]
	if !ok {
		w.fault("%s has version %d, which was never accepted", vm.member.VM, v.Version)
		return
	}
	if v.Preset.Name != truth.InForce {
		w.fault("%s has preset %s in force at version %d, accepted was %s", vm.member.VM, v.Preset.Name, v.Version, truth.InForce)
	}
	if out := truth.ZoneIsOut(zones[0]); v.Services[0].Replicas[0].Out != out {
		w.fault("%s has zone %s out=%v at version %d", vm.member.VM, zones[0], !out, v.Version)
	}
}

// deliver hands over the messages that are due.
func (w *world) deliver() {
	for i := 0; i < len(w.mail); {
		e := w.mail[i]
		if e.at > w.now {
			i++
			continue
		}
		w.mail[i] = w.mail[len(w.mail)-1]
		w.mail = w.mail[:len(w.mail)-1]
		to := w.find(e.to)
		if to.side == e.from.side && w.running(to) {
			to.core.Receive(w.now, e.m)
			w.carryOut(to)
		}
	}
}

// advance moves time on in small steps and runs everything that is due.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = min(w.now.Add(5*time.Millisecond), end)
		w.deliver()
		for _, vm := range w.vms {
			if w.running(vm) && vm.core.Wake() <= w.now {
				vm.core.Tick(w.now)
				w.carryOut(vm)
			}
		}
	}
}

// operate sends one change through a VM, as an operator would.
func (w *world) operate(vm *fakeVM, ch config.Change, basedOn ident.Version) (operator.Result, error) {
	desk := &operator.Desk{
		Store: &w.store, Deployment: "karaoke",
		Known: func(context.Context) config.Configuration { return vm.core.Configuration() },
	}
	desk.Fleet.Zones = append(desk.Fleet.Zones, zones...)
	result, err := desk.Apply(context.Background(), ch, basedOn)
	if err == nil {
		vm.core.Operated(w.now, result.Configuration)
		w.carryOut(vm)
	}
	return result, err
}

// checkShares compares the connections that all VMs together may hold.
func (w *world) checkShares() {
	sum := 0
	for _, vm := range w.vms {
		if vm.alive && vm.view != nil && vm.view.Ready {
			sum += replica.Shares{Connections: worldConnections, VMs: vm.view.VMs}.ConnectionShare()
		}
	}
	if sum > worldConnections {
		w.fault("the VMs' shares sum to %d of %d connections", sum, worldConnections)
	}
}
