package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
)

// fakeStore is a source of strings that keeps all changes.
type fakeStore struct {
	version platform.StoreVersion
	objects map[string]string
	log     []platform.Change[string]
	down    bool
	// silent stores return no changes, and droppedBefore is the version before which the
	// history is gone. failure, if not nil, is the error of Changes.
	silent bool
	// withholds stores return no changes, and the version after them.
	withholds     bool
	droppedBefore platform.StoreVersion
	failure       error
	reads         int
	// waiting, if not nil, is called while a caller waits for changes.
	waiting func()
}

var errDown = errors.New("down")

func (s *fakeStore) Kind() string { return "things" }

func (s *fakeStore) List(context.Context) (platform.Listing[string], error) {
	s.reads++
	if s.down {
		return platform.Listing[string]{}, errDown
	}
	l := platform.Listing[string]{Version: s.version}
	for name, v := range s.objects {
		l.Items = append(l.Items, platform.Change[string]{Name: name, Value: v})
	}
	return l, nil
}

// Changes returns at once. Version n includes the first n changes.
func (s *fakeStore) Changes(_ context.Context, after platform.StoreVersion, _ time.Duration) ([]platform.Change[string], platform.StoreVersion, error) {
	s.reads++
	if s.waiting != nil {
		s.waiting()
	}
	switch {
	case s.down:
		return nil, after, errDown
	case s.failure != nil:
		return nil, after, s.failure
	case after < s.droppedBefore:
		return nil, after, errCompacted
	case s.silent:
		return nil, after, nil
	case s.withholds:
		return nil, s.version, nil
	}
	return s.log[after:], s.version, nil
}

func (s *fakeStore) set(name, value string) {
	s.objects[name] = value
	s.log = append(s.log, platform.Change[string]{Name: name, Value: value})
	s.version++
}

func (s *fakeStore) remove(name string) {
	delete(s.objects, name)
	s.log = append(s.log, platform.Change[string]{Name: name, Deleted: true})
	s.version++
}

var stringCodec = mirror.Codec[string]{
	Marshal:   func(s string) ([]byte, error) { return []byte(s), nil },
	Unmarshal: func(b []byte) (string, error) { return string(b), nil },
}

// fakeTransport asks readers in this process. Connections to the VMs in unreachable are
// refused, those in hanging never answer.
type fakeTransport struct {
	readers              map[ident.VMID]*mirror.Reader[string]
	unreachable, hanging map[ident.VMID]bool
	asked                int
}

func (t *fakeTransport) Ask(ctx context.Context, to mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	t.asked++
	if t.hanging[to.VM] {
		<-ctx.Done()
		return mirror.Answer[[]byte]{}, ctx.Err()
	}
	r := t.readers[to.VM]
	if r == nil || t.unreachable[to.VM] {
		return mirror.Answer[[]byte]{}, errDown
	}
	// The tests do not wait for changes.
	q.Wait = 0
	return r.Answer(ctx, q), nil
}

// newZone returns the readers of n VMs of one zone in the order in which they are asked.
// The first one reads the store.
func newZone(store *fakeStore, n int) ([]*mirror.Reader[string], []ident.VMID, *fakeTransport) {
	stores := make([]*fakeStore, n)
	for i := range stores {
		stores[i] = store
	}
	return newZoneWithStores(stores, nil)
}

// newZoneWithStores returns a zone in which each VM reads its own store. If template is
// not nil, each of these is a copy of it.
func newZoneWithStores(stores []*fakeStore, template *fakeStore) ([]*mirror.Reader[string], []ident.VMID, *fakeTransport) {
	return newConfiguredZone(stores, template, func(*mirror.Selector) {})
}

// newConfiguredZone is newZoneWithStores with a function that configures the selectors.
func newConfiguredZone(stores []*fakeStore, template *fakeStore, configure func(*mirror.Selector)) ([]*mirror.Reader[string], []ident.VMID, *fakeTransport) {
	n := len(stores)
	if template != nil {
		for i := range stores {
			stores[i] = &fakeStore{version: template.version, objects: maps.Clone(template.objects), log: slices.Clone(template.log)}
		}
	}
	var members []mirror.Member
	for i := range n {
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: "z", Certificate: "c"})
	}
	transport := &fakeTransport{
		readers:     map[ident.VMID]*mirror.Reader[string]{},
		unreachable: map[ident.VMID]bool{}, hanging: map[ident.VMID]bool{},
	}
	readers := make([]*mirror.Reader[string], n)
	order := make([]ident.VMID, n)
	for _, m := range members {
		selector := mirror.NewSelector(m, testRegion)
		configure(selector)
		selector.SetMembers(members)
		position := 0
		for _, other := range members {
			if comesBefore(other, m) {
				position++
			}
		}
		readers[position] = mirror.NewReader[string](stores[position], stringCodec, selector, transport)
		order[position] = m.VM
		transport.readers[m.VM] = readers[position]
	}
	return readers, order, transport
}

// comesBefore reports whether a precedes b, so that b asks a or a VM that precedes it.
func comesBefore(a, b mirror.Member) bool {
	if a.VM == b.VM {
		return false
	}
	selector := mirror.NewSelector(b, testRegion)
	selector.SetMembers([]mirror.Member{a, b})
	return len(selector.Mirrors(time.Now())) == 1
}

var testRegion = []ident.ZoneID{"z"}

func newStore() *fakeStore { return &fakeStore{objects: map[string]string{}} }

func TestOnlyTheFirstVMReadsTheStore(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := newZone(store, 5)
	ctx := context.Background()
	for i, r := range readers {
		l, err := r.List(ctx)
		if err != nil || len(l.Items) != 1 || l.Items[0].Value != "1" || l.Version != 1 {
			t.Fatalf("reader %d listed %v (%v)", i, l, err)
		}
	}
	store.set("a", "2")
	store.remove("a")
	for i, r := range readers {
		changes, version, err := r.Changes(ctx, 1, time.Minute)
		if err != nil || len(changes) != 2 || !changes[1].Deleted || version != 3 {
			t.Fatalf("reader %d received %v at version %d (%v)", i, changes, version, err)
		}
	}
	if store.reads != 2 {
		t.Fatalf("the store was read %d times, expected 2", store.reads)
	}
}

// TestDisconnectedMirrorIsExcluded checks that a mirror that cannot read the store
// reports so, and that the other VMs receive changes without it.
func TestDisconnectedMirrorIsExcluded(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := newZone(store, 3)
	ctx := context.Background()
	for _, r := range readers {
		if _, err := r.List(ctx); err != nil {
			t.Fatal(err)
		}
	}
	store.down = true
	if _, _, err := readers[0].Changes(ctx, 1, time.Minute); err == nil {
		t.Fatal("the first VM read a store that is down")
	}
	store.down = false
	store.set("a", "2")
	changes, version, err := readers[1].Changes(ctx, 1, time.Minute)
	if err != nil || version != 2 || len(changes) != 1 {
		t.Fatalf("the second VM received %v at version %d (%v)", changes, version, err)
	}
	if changes, _, err = readers[2].Changes(ctx, 1, time.Minute); err != nil || len(changes) != 1 {
		t.Fatalf("the third VM received %v (%v)", changes, err)
	}
}

func TestUnresponsiveMirrorIsExcluded(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, order, transport := newZone(store, 3)
	transport.unreachable[order[0]] = true
	ctx := context.Background()
	for i, r := range readers {
		if l, err := r.List(ctx); err != nil || len(l.Items) != 1 {
			t.Fatalf("reader %d listed %v (%v)", i, l, err)
		}
	}
	asked := transport.asked
	if _, _, err := readers[1].Changes(ctx, 1, time.Minute); err != nil {
		t.Fatal(err)
	}
	if transport.asked != asked {
		t.Fatal("a mirror that did not answer was asked again without a pause")
	}
}

// TestReadersAgreeWithTheStore checks that a reader that receives the changes from its
// own version on ends with the objects of the store, whichever calls fail in between,
// and that its version never decreases.
func TestReadersAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStore()
		readers, order, transport := newZone(store, 3)
		ctx := context.Background()
		held := make([]map[string]string, len(readers))
		versions := make([]platform.StoreVersion, len(readers))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.set(fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object")), fmt.Sprint(store.version))
			case 2:
				store.remove(fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "object")))
			case 3:
				store.down = rapid.Bool().Draw(t, "down")
			case 4:
				transport.unreachable[order[rapid.IntRange(0, 2).Draw(t, "VM")]] = rapid.Bool().Draw(t, "cut")
			}
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			readOnce(ctx, t, readers[i], &held[i], &versions[i])
		}
		store.down = false
		clear(transport.unreachable)
		for i, r := range readers {
			// A mirror may lack changes that it has not read yet; the first VM does not.
			for range 2 {
				readOnce(ctx, t, readers[0], &held[0], &versions[0])
				readOnce(ctx, t, r, &held[i], &versions[i])
			}
			if fmt.Sprint(held[i]) != fmt.Sprint(store.objects) && versions[i] == store.version {
				t.Fatalf("reader %d holds %v at version %d, but the store holds %v", i, held[i], versions[i], store.objects)
			}
		}
		if versions[0] != store.version {
			t.Fatalf("the first VM is at version %d, expected %d", versions[0], store.version)
		}
	})
}

// readOnce lists the objects if held is nil, and otherwise applies one call of Changes
// to held.
func readOnce(ctx context.Context, t *rapid.T, r *mirror.Reader[string], held *map[string]string, at *platform.StoreVersion) {
	if *held == nil {
		l, err := r.List(ctx)
		if err != nil {
			return
		}
		*held = map[string]string{}
		for _, i := range l.Items {
			(*held)[i.Name] = i.Value
		}
		*at = l.Version
		return
	}
	changes, version, err := r.Changes(ctx, *at, time.Minute)
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.Compacted {
		*held = nil
		return
	}
	if err != nil {
		return
	}
	if version < *at {
		t.Fatalf("the version decreased from %d to %d", *at, version)
	}
	for _, c := range changes {
		if c.Deleted {
			delete(*held, c.Name)
		} else {
			(*held)[c.Name] = c.Value
		}
	}
	*at = version
}

// TestMirrorsFormATree checks that in a zone of any size each VM is asked by at most
// fanout others while all answer, and that each VM reaches the first one.
func TestMirrorsFormATree(t *testing.T) {
	const vms = 300
	var members []mirror.Member
	for i := range vms {
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: "z", Certificate: "c"})
	}
	asked := map[ident.VMID]int{}
	parent := map[ident.VMID]ident.VMID{}
	roots := 0
	for _, m := range members {
		selector := mirror.NewSelector(m, testRegion)
		selector.SetMembers(members)
		list := selector.Mirrors(time.Now())
		if len(list) == 0 {
			roots++
			continue
		}
		asked[list[0].VM]++
		parent[m.VM] = list[0].VM
	}
	if roots != 1 {
		t.Fatalf("%d VMs read the store", roots)
	}
	for vm, n := range asked {
		if n > 16 {
			t.Errorf("%s is asked by %d VMs", vm, n)
		}
	}
	for _, m := range members {
		depth := 0
		for vm := m.VM; parent[vm] != ""; vm = parent[vm] {
			if depth++; depth > 3 {
				t.Fatalf("%s is more than three mirrors away from the store", m.VM)
			}
		}
	}
}

// TestMirrorBehindADisconnectedOneIsDisconnected covers a store that stops responding to
// the first and the second VM of a zone. Once the first one answers Disconnected, the
// second one must answer Disconnected too until it has read the store itself. It must
// not keep the others waiting until its own call has timed out: in one run, a version
// arrived 6.1 s after its acknowledgement.
func TestMirrorBehindADisconnectedOneIsDisconnected(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := newZone(store, 3)
	ctx := context.Background()
	for _, r := range readers {
		if _, err := r.List(ctx); err != nil {
			t.Fatal(err)
		}
	}
	store.down = true
	if _, _, err := readers[0].Changes(ctx, 1, time.Minute); err == nil {
		t.Fatal("the first VM read a store that is down")
	}
	// answer is the one that the third VM would receive while the second one waits for
	// the store.
	var answer mirror.Answer[[]byte]
	store.waiting = func() { answer = readers[1].Answer(ctx, mirror.Question{Kind: "things", After: 1}) }
	if _, _, err := readers[1].Changes(ctx, 1, time.Minute); err == nil {
		t.Fatal("the second VM read a store that is down")
	}
	if answer.Outcome != mirror.Disconnected {
		t.Fatalf("the second VM answered %q before it had read the store", answer.Outcome)
	}
}

// TestOneVMOfARegionReadsTheStore checks that the first VM of each zone reads from the
// first VM of its region, and that each region has a VM of its own that reads the store.
func TestOneVMOfARegionReadsTheStore(t *testing.T) {
	var members []mirror.Member
	for i := range 30 {
		zone := ident.ZoneID(fmt.Sprint("z", i%5))
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: zone, Certificate: "c"})
	}
	regions := map[ident.ZoneID][]ident.ZoneID{}
	for _, r := range [][]ident.ZoneID{{"z0", "z1", "z2"}, {"z3", "z4"}} {
		for _, zone := range r {
			regions[zone] = r
		}
	}
	readersByZones := map[int]int{}
	for _, m := range members {
		selector := mirror.NewSelector(m, regions[m.Zone])
		selector.SetMembers(members)
		mirrors := selector.Mirrors(time.Now())
		if selector.ReadsStore() != (len(mirrors) == 0) {
			t.Errorf("%s has the mirrors %v and reads the store: %v", m.VM, mirrors, selector.ReadsStore())
		}
		if len(mirrors) == 0 {
			readersByZones[len(regions[m.Zone])]++
			continue
		}
		if mirrorZone := mirrors[0].Zone; !slices.Contains(regions[m.Zone], mirrorZone) {
			t.Errorf("%s in %s reads from %s in another region", m.VM, m.Zone, mirrorZone)
		}
	}
	if readersByZones[3] != 1 || readersByZones[2] != 1 {
		t.Errorf("readers by the zones of their region: %v", readersByZones)
	}
}

// TestMirrorReconnectsWithinGracePeriod checks that a mirror that loses its own mirror
// and reconnects within disconnectGrace does not answer Disconnected, which would make
// the VMs that read through it call the store.
func TestMirrorReconnectsWithinGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := &mirror.Cache[string]{}
		cache.SetListing(platform.Listing[string]{Version: 1}, mirror.Origin{})
		answers := make(chan mirror.Answer[string], 1)
		ask := func() { answers <- cache.Changes(context.Background(), 1, time.Second) }
		go ask()
		time.Sleep(600 * time.Millisecond)
		cache.MarkDisconnected()
		time.Sleep(50 * time.Millisecond)
		cache.Apply(nil, 2, mirror.Origin{})
		if a := <-answers; a.Outcome != mirror.OK || a.Version != 2 {
			t.Fatalf("received %v", a)
		}
		began := time.Now()
		go ask()
		cache.MarkDisconnected()
		if a := <-answers; a.Outcome != mirror.Disconnected || time.Since(began) > 400*time.Millisecond {
			t.Fatalf("received %v after %v", a, time.Since(began))
		}
	})
}

// TestStartingVMReadsFromItsPredecessors checks that a VM that is not listed yet,
// because it has just started, asks the VMs that precede it as if it were listed. Two
// VMs whose lists differ must not read through each other: both would stay connected
// without reading the store.
func TestStartingVMReadsFromItsPredecessors(t *testing.T) {
	var members []mirror.Member
	for i := range 12 {
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: ident.ZoneID(fmt.Sprint("z", i%3)), Certificate: "c"})
	}
	zones := []ident.ZoneID{"z0", "z1", "z2"}
	mirrorsOf := map[ident.VMID][]ident.VMID{}
	for i, m := range members {
		selector := mirror.NewSelector(m, zones)
		if list := selector.Mirrors(time.Now()); len(list) != 0 {
			t.Fatalf("%s has no members but asks %v", m.VM, list)
		}
		// Each VM's list lacks the VM itself and one other.
		list := slices.DeleteFunc(slices.Clone(members), func(o mirror.Member) bool { return o == m || o == members[(i+5)%12] })
		selector.SetMembers(list)
		for _, o := range selector.Mirrors(time.Now()) {
			mirrorsOf[m.VM] = append(mirrorsOf[m.VM], o.VM)
		}
	}
	var reaches func(from, to ident.VMID, depth int) bool
	reaches = func(from, to ident.VMID, depth int) bool {
		return slices.ContainsFunc(mirrorsOf[from], func(vm ident.VMID) bool {
			return vm == to || (depth < len(members) && reaches(vm, to, depth+1))
		})
	}
	withMirrors := 0
	for _, m := range members {
		if len(mirrorsOf[m.VM]) > 0 {
			withMirrors++
		}
		if reaches(m.VM, m.VM, 0) {
			t.Errorf("%s reads through itself: %v", m.VM, mirrorsOf)
		}
	}
	if withMirrors < len(members)-2 {
		t.Errorf("%d of %d VMs read through another one", withMirrors, len(members))
	}
}

// TestDisconnectedFirstVMIsReplaced covers a store that refuses the first VM of the
// region and serves the others. One more VM must read the store, the others read through
// it, and the refused VM receives the changes from it. In one run, every VM of the other
// zones read the store instead.
func TestDisconnectedFirstVMIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		stores := make([]*fakeStore, 5)
		readers, _, _ := newZoneWithStores(stores, store)
		ctx := context.Background()
		for i, r := range readers {
			if _, err := r.List(ctx); err != nil {
				t.Fatalf("reader %d: %v", i, err)
			}
		}
		stores[0].down = true
		before := readCounts(stores)
		for range 3 {
			for i, r := range readers {
				if _, _, err := r.Changes(ctx, 1, time.Minute); err != nil && i > 0 {
					t.Fatalf("reader %d: %v", i, err)
				}
			}
		}
		for i, n := range readCounts(stores) {
			if i > 1 && n != before[i] {
				t.Errorf("reader %d read the store %d times", i, n-before[i])
			}
		}
		// A VM that was disconnected is asked again after disconnectedExclusion.
		time.Sleep(2 * time.Second)
		for _, s := range stores {
			s.set("a", "2")
		}
		for i := len(readers) - 1; i >= 0; i-- {
			// The second VM reads the store and the others ask it.
			if _, _, err := readers[1].Changes(ctx, 1, time.Minute); err != nil {
				t.Fatal(err)
			}
			changes, version, err := readers[i].Changes(ctx, 1, time.Minute)
			if err != nil || len(changes) != 1 || version != 2 {
				t.Errorf("reader %d received %v at version %d (%v)", i, changes, version, err)
			}
		}
		if a := readers[0].Answer(ctx, mirror.Question{Kind: "things", After: 1}); a.Outcome != mirror.Disconnected {
			t.Errorf("the refused VM answered %q", a.Outcome)
		}
	})
}

func readCounts(stores []*fakeStore) []int {
	out := make([]int, len(stores))
	for i, s := range stores {
		out[i] = s.reads
	}
	return out
}

// TestListingNeverGoesBack checks that a VM that has to list again does not take the
// listing of a mirror that is behind: it includes objects that were removed since.
func TestListingNeverGoesBack(t *testing.T) { synctest.Test(t, testListingNeverGoesBack) }

func testListingNeverGoesBack(t *testing.T) {
	store := newStore()
	store.set("left", "1")
	readers, order, transport := newZone(store, 3)
	ctx := context.Background()
	for _, r := range readers {
		if _, err := r.List(ctx); err != nil {
			t.Fatal(err)
		}
	}
	store.remove("left")
	// The last VM reads the removal from the store while its mirrors are unreachable.
	for _, vm := range order[:2] {
		transport.unreachable[vm] = true
	}
	last := readers[2]
	if _, version, err := last.Changes(ctx, 1, 0); err != nil || version != 2 {
		t.Fatal(version, err)
	}
	clear(transport.unreachable)
	// The mirrors are no longer excluded.
	time.Sleep(6 * time.Second)
	l, err := last.List(ctx)
	if err != nil || l.Version != 2 || len(l.Items) != 0 {
		t.Fatalf("listed %v at version %d, %v", l.Items, l.Version, err)
	}
}

// TestQuestionOfADisconnectedVMWaits checks that a VM that reads from one that is not its
// mirror does not ask, and call the store, in a tight loop.
func TestQuestionOfADisconnectedVMWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		readers, _, _ := newZone(store, 2)
		if _, err := readers[0].List(context.Background()); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		a := readers[0].Answer(context.Background(), mirror.Question{Kind: "things", After: 1, Wait: time.Second, Disconnected: true})
		if a.Outcome != mirror.OK || time.Since(began) != time.Second {
			t.Fatalf("%v after %v", a, time.Since(began))
		}
	})
}
