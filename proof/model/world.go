// Package model explores how versions of the store reach the VMs. It runs the product's
// own readers, selectors, followers and control core over a store and links in memory,
// and checks invariants after every step of every order of steps up to a depth.
package model

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

const (
	kind = "config"
	// main is the object that holds the routes in force; withdrawn is an object that the
	// last change of the store deletes.
	mainObject, withdrawnObject = "main", "withdrawn"
	// firstVersion is the version of the store at the start, lastVersion the one after
	// both changes.
	firstVersion, lastVersion = 2, 4
)

var zones = []ident.ZoneID{"z0", "z1", "z2"}

var (
	errLost     = errors.New("the message was lost")
	errRefused  = &platform.Error{Op: "read", Kind: platform.Unreachable, Err: errLost}
	changeTable = []platform.Change[catalogue.Configuration]{
		{Name: mainObject, Value: catalogue.Configuration{Version: 1}},
		{Name: withdrawnObject, Value: catalogue.Configuration{Version: 1}},
		{Name: mainObject, Value: catalogue.Configuration{Version: 2}},
		{Name: withdrawnObject, Deleted: true},
	}
)

// A link connects two VMs, or a VM and the store if to is storeEnd.
type link struct{ from, to int }

const storeEnd = -1

// between returns the link between two VMs in the form that world.cut uses.
func between(a, b int) link { return link{min(a, b), max(a, b)} }

// A world is a store and some VMs. Its methods are called from one goroutine.
type world struct {
	now     time.Time
	version platform.StoreVersion
	// calls counts the calls to the store.
	calls  int
	cut    map[link]bool
	paused map[int]bool
	// short holds the VMs whose list of VMs lacks the first one.
	short   map[int]bool
	members []mirror.Member
	vms     []*vm
	broken  []string
}

// A vm is one incarnation of a VM.
type vm struct {
	world    *world
	index    int
	selector *mirror.Selector
	reader   *mirror.Reader[catalogue.Configuration]
	follower watch.Follower[catalogue.Configuration]
	core     *control.Core
	held     map[string]ident.RoutesVersion
	// highest is the highest version that this incarnation reached.
	highest platform.StoreVersion
	routes  ident.RoutesVersion
	// failed reports whether the last read failed.
	failed bool
	// knowsFirst reports whether a list of this incarnation held the first VM. At most one
	// list lacks it before the next one that holds it, so it is not forgotten.
	knowsFirst bool
}

func newWorld(vms int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), version: firstVersion, cut: map[link]bool{}, paused: map[int]bool{}, short: map[int]bool{},
	}
	for i := range vms {
		w.members = append(w.members, mirror.Member{
			VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: zones[i%len(zones)], Address: fmt.Sprint(i), Certificate: "c",
		})
	}
	w.vms = make([]*vm, vms)
	for i := range vms {
		w.restart(i)
	}
	return w
}

// restart replaces a VM by its next incarnation, which knows nothing.
func (w *world) restart(i int) {
	self := w.members[i]
	v := &vm{world: w, index: i, held: map[string]ident.RoutesVersion{}, selector: mirror.NewSelector(self, zones)}
	v.core = control.New(ident.FromTime(w.now), control.Config{
		Self: roster.Member{VM: self.VM, Zone: self.Zone}, Discovers: true, Peerless: true,
	})
	v.reader = mirror.NewReader(watch.Source[catalogue.Configuration](source{w, i}), mirror.Codec[catalogue.Configuration]{
		Marshal: codec.MarshalRoutes, Unmarshal: codec.UnmarshalRoutes,
	}, v.selector, transport{w, i})
	v.reader.Now = func() time.Time { return w.now }
	v.follower = watch.Follower[catalogue.Configuration]{Source: v.reader, Handler: watch.Handler[catalogue.Configuration]{
		Listed:  func(_ context.Context, items []platform.Change[catalogue.Configuration]) { v.replace(items) },
		Changed: func(_ context.Context, changes []platform.Change[catalogue.Configuration]) { v.apply(changes) },
		Failed:  func(context.Context, string, error) {},
	}}
	w.vms[i] = v
	w.listMembers(i)
}

// listMembers passes the list of VMs to a VM.
func (w *world) listMembers(i int) {
	list := w.members
	if w.short[i] {
		list = list[1:]
	} else {
		w.vms[i].knowsFirst = true
	}
	w.vms[i].selector.SetMembers(list)
}

func (v *vm) replace(items []platform.Change[catalogue.Configuration]) {
	clear(v.held)
	v.apply(items)
}

func (v *vm) apply(changes []platform.Change[catalogue.Configuration]) {
	for _, c := range changes {
		if c.Deleted {
			delete(v.held, c.Name)
			continue
		}
		v.held[c.Name] = c.Value.Version
		if c.Name == mainObject {
			v.core.RoutesRead(ident.FromTime(v.world.now), c.Value)
			v.core.Drain(nil)
		}
	}
}

// step lets a VM read once, from a mirror or the store, and checks what it then holds.
func (w *world) step(i int) {
	if w.paused[i] {
		return
	}
	v := w.vms[i]
	_, err := v.follower.Step(context.Background())
	v.failed = err != nil
	version := v.follower.Version()
	if version < v.highest {
		w.report("vm-%d went back from version %d to %d", i, v.highest, version)
	}
	v.highest = max(v.highest, version)
	if got := v.core.RoutesVersion(); got < v.routes {
		w.report("vm-%d put routes %d in force after %d", i, got, v.routes)
	} else {
		v.routes = got
	}
	if v.routes < v.held[mainObject] {
		w.report("vm-%d read routes %d but has %d in force", i, v.held[mainObject], v.routes)
	}
	if want := objectsAt(version); version > 0 && !maps.Equal(v.held, want) {
		w.report("vm-%d holds %v at version %d, the store held %v", i, v.held, version, want)
	}
}

func (w *world) report(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// objectsAt returns the objects that the store held at a version.
func objectsAt(version platform.StoreVersion) map[string]ident.RoutesVersion {
	out := map[string]ident.RoutesVersion{}
	for _, c := range changeTable[:min(int(version), len(changeTable))] {
		if c.Deleted {
			delete(out, c.Name)
		} else {
			out[c.Name] = c.Value.Version
		}
	}
	return out
}

// connected reports whether a message can pass between two VMs, or to the store.
func (w *world) connected(from, to int) bool {
	if to == storeEnd {
		return !w.cut[link{from, storeEnd}]
	}
	return !w.paused[to] && !w.cut[between(from, to)]
}

// reaches reports whether a VM has a path to the store, also through other VMs.
func (w *world) reaches(i int) bool {
	seen := map[int]bool{i: true}
	queue := []int{i}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		if w.connected(at, storeEnd) {
			return true
		}
		for next := range w.vms {
			known := next != 0 || w.vms[at].knowsFirst
			if !seen[next] && known && w.connected(at, next) {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return false
}

// A source is the store as one VM reaches it.
type source struct {
	world *world
	vm    int
}

func (s source) Kind() string { return kind }

func (s source) List(context.Context) (platform.Listing[catalogue.Configuration], error) {
	s.world.calls++
	if !s.world.connected(s.vm, storeEnd) {
		return platform.Listing[catalogue.Configuration]{}, errRefused
	}
	l := platform.Listing[catalogue.Configuration]{Version: s.world.version}
	held := objectsAt(s.world.version)
	for _, name := range slices.Sorted(maps.Keys(held)) {
		l.Items = append(l.Items, platform.Change[catalogue.Configuration]{Name: name, Value: catalogue.Configuration{Version: held[name]}})
	}
	return l, nil
}

func (s source) Changes(_ context.Context, after platform.StoreVersion, _ time.Duration) ([]platform.Change[catalogue.Configuration], platform.StoreVersion, error) {
	s.world.calls++
	if !s.world.connected(s.vm, storeEnd) {
		return nil, after, errRefused
	}
	return changeTable[after:s.world.version], s.world.version, nil
}

// A transport carries the questions of one VM.
type transport struct {
	world *world
	vm    int
}

// Ask passes a question to another VM, without waiting for changes.
func (t transport) Ask(ctx context.Context, to mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	other := slices.IndexFunc(t.world.members, func(m mirror.Member) bool { return m.VM == to.VM })
	if !t.world.connected(t.vm, other) {
		return mirror.Answer[[]byte]{}, errLost
	}
	q.Wait = 0
	return t.world.vms[other].reader.Answer(ctx, q), nil
}
