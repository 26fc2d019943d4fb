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

// fakeStore is a source of strings with a history.
type fakeStore struct {
	version platform.StoreVersion
	objects map[string]string
	log     []platform.Change[string]
	down    bool
	reads   int
	// Waiting is called while a caller waits for changes; may be nil.
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

// Changes returns at once; version n holds the first n changes.
func (s *fakeStore) Changes(_ context.Context, after platform.StoreVersion, _ time.Duration) ([]platform.Change[string], platform.StoreVersion, error) {
	s.reads++
	if s.waiting != nil {
		s.waiting()
	}
	if s.down {
		return nil, after, errDown
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

var text = mirror.Codec[string]{
	Marshal:   func(s string) ([]byte, error) { return []byte(s), nil },
	Unmarshal: func(b []byte) (string, error) { return string(b), nil },
}

// fakeLine asks readers in this process; VMs in cut do not answer.
type fakeLine struct {
	readers map[ident.VMID]*mirror.Reader[string]
	cut     map[ident.VMID]bool
	asked   int
}

func (l *fakeLine) Ask(ctx context.Context, to mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	l.asked++
	r := l.readers[to.VM]
	if r == nil || l.cut[to.VM] {
		return mirror.Answer[[]byte]{}, errDown
	}
	// The tests do not wait for changes.
	q.Wait = 0
	return r.Answer(ctx, q), nil
}

// zone returns the readers of n VMs of one zone in the order in which they are
// asked: the first one reads the store.
func zone(store *fakeStore, n int) ([]*mirror.Reader[string], []ident.VMID, *fakeLine) {
	stores := make([]*fakeStore, n)
	for i := range stores {
		stores[i] = store
	}
	return zoneOf(stores, nil)
}

// zoneOf is a zone of which each VM reaches the store in its own way: by a copy of
// one store, where that is set.
func zoneOf(stores []*fakeStore, one *fakeStore) ([]*mirror.Reader[string], []ident.VMID, *fakeLine) {
	n := len(stores)
	if one != nil {
		for i := range stores {
			stores[i] = &fakeStore{version: one.version, objects: maps.Clone(one.objects), log: slices.Clone(one.log)}
		}
	}
	var members []mirror.Member
	for i := range n {
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: "z", Certificate: "c"})
	}
	line := &fakeLine{readers: map[ident.VMID]*mirror.Reader[string]{}, cut: map[ident.VMID]bool{}}
	readers := make([]*mirror.Reader[string], n)
	order := make([]ident.VMID, n)
	for _, m := range members {
		choice := mirror.NewSelector(m, region)
		choice.SetMembers(members)
		place := 0
		for _, other := range members {
			if before(other, m) {
				place++
			}
		}
		readers[place] = mirror.NewReader[string](stores[place], text, choice, line)
		order[place] = m.VM
		line.readers[m.VM] = readers[place]
	}
	return readers, order, line
}

// before reports whether a comes before b: b then asks a, or others before it.
func before(a, b mirror.Member) bool {
	if a.VM == b.VM {
		return false
	}
	choice := mirror.NewSelector(b, region)
	choice.SetMembers([]mirror.Member{a, b})
	return len(choice.Mirrors(time.Now())) == 1
}

var region = []ident.ZoneID{"z"}

func newStore() *fakeStore { return &fakeStore{objects: map[string]string{}} }

func TestOnlyTheFirstVMReadsTheStore(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := zone(store, 5)
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
			t.Fatalf("reader %d was told %v at %d (%v)", i, changes, version, err)
		}
	}
	if store.reads != 2 {
		t.Fatalf("the store was read %d times, expected 2", store.reads)
	}
}

// TestMirrorOutOfTouchIsPassedOver: a mirror that the store refuses says so, and
// the others read by themselves what it cannot know.
func TestMirrorOutOfTouchIsPassedOver(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := zone(store, 3)
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
		t.Fatalf("the second VM was told %v at %d (%v)", changes, version, err)
	}
	if changes, _, err = readers[2].Changes(ctx, 1, time.Minute); err != nil || len(changes) != 1 {
		t.Fatalf("the third VM was told %v (%v)", changes, err)
	}
}

func TestSilentMirrorIsPassedOver(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, order, line := zone(store, 3)
	line.cut[order[0]] = true
	ctx := context.Background()
	for i, r := range readers {
		if l, err := r.List(ctx); err != nil || len(l.Items) != 1 {
			t.Fatalf("reader %d listed %v (%v)", i, l, err)
		}
	}
	asked := line.asked
	if _, _, err := readers[1].Changes(ctx, 1, time.Minute); err != nil {
		t.Fatal(err)
	}
	if line.asked != asked {
		t.Fatal("a mirror that did not answer was asked again at once")
	}
}

// TestReadersAgreeWithTheStore: whatever fails in between, a reader that is told
// changes from its own version on ends with what the store holds, and its
// version never falls.
func TestReadersAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStore()
		readers, order, line := zone(store, 3)
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
				line.cut[order[rapid.IntRange(0, 2).Draw(t, "VM")]] = rapid.Bool().Draw(t, "cut")
			}
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			read(ctx, t, readers[i], &held[i], &versions[i])
		}
		store.down = false
		clear(line.cut)
		for i, r := range readers {
			// A mirror may lag by what it has not read yet; the first VM never does.
			for range 2 {
				read(ctx, t, readers[0], &held[0], &versions[0])
				read(ctx, t, r, &held[i], &versions[i])
			}
			if fmt.Sprint(held[i]) != fmt.Sprint(store.objects) && versions[i] == store.version {
				t.Fatalf("reader %d holds %v at %d, the store %v", i, held[i], versions[i], store.objects)
			}
		}
		if versions[0] != store.version {
			t.Fatalf("the first VM is at %d of %d", versions[0], store.version)
		}
	})
}

func read(ctx context.Context, t *rapid.T, r *mirror.Reader[string], held *map[string]string, at *platform.StoreVersion) {
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
		t.Fatalf("the version fell from %d to %d", *at, version)
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

// TestMirrorsFormATree: however many VMs a zone has, each has at most fanout
// others behind it while all answer, and each reaches the first one.
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
		choice := mirror.NewSelector(m, region)
		choice.SetMembers(members)
		list := choice.Mirrors(time.Now())
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
				t.Fatalf("%s is more than three mirrors away", m.VM)
			}
		}
	}
}

// TestMirrorBehindASilentOneIsOutOfTouch. Pattern: the store falls silent for the
// first VM of a zone and for the second. Once the first says that it is out of
// touch, the second has no word of its own from the store yet: it must not keep
// the others waiting until its own call has run out too (found by hunt-9869-15 on
// nslca-cross-grown: a version came 6.1 s after its acknowledgement).
func TestMirrorBehindASilentOneIsOutOfTouch(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := zone(store, 3)
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
	// What the third VM would be told while the second waits for the store.
	var told mirror.Answer[[]byte]
	store.waiting = func() { told = readers[1].Answer(ctx, mirror.Question{Kind: "things", After: 1}) }
	if _, _, err := readers[1].Changes(ctx, 1, time.Minute); err == nil {
		t.Fatal("the second VM read a store that is down")
	}
	if told.Outcome != mirror.Disconnected {
		t.Fatalf("the second VM said %q while it had no word from the store", told.Outcome)
	}
}

// TestOneVMOfARegionReadsTheStore: the first VM of each zone reads from the first
// one of the region; another region has a reader of its own.
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
	reading := map[int]int{}
	for _, m := range members {
		choice := mirror.NewSelector(m, regions[m.Zone])
		choice.SetMembers(members)
		mirrors := choice.Mirrors(time.Now())
		if choice.ReadsStore() != (len(mirrors) == 0) {
			t.Errorf("%s has the mirrors %v and reads the store: %v", m.VM, mirrors, choice.ReadsStore())
		}
		if len(mirrors) == 0 {
			reading[len(regions[m.Zone])]++
			continue
		}
		if across := mirrors[0].Zone; !slices.Contains(regions[m.Zone], across) {
			t.Errorf("%s in %s reads from %s in another region", m.VM, m.Zone, across)
		}
	}
	if reading[3] != 1 || reading[2] != 1 {
		t.Errorf("readers by the zones of their region: %v", reading)
	}
}

// TestMirrorIsGivenAMomentToComeBack: a mirror that loses the one before it and is
// in touch again at once does not send those behind it to the store.
func TestMirrorIsGivenAMomentToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := &mirror.Book[string]{}
		book.Listed(platform.Listing[string]{Version: 1})
		told := make(chan mirror.Answer[string], 1)
		ask := func() { told <- book.Changes(context.Background(), 1, time.Second) }
		go ask()
		time.Sleep(600 * time.Millisecond)
		book.Failed()
		time.Sleep(50 * time.Millisecond)
		book.Changed(nil, 2)
		if a := <-told; a.Outcome != mirror.OK || a.Version != 2 {
			t.Fatalf("told %v", a)
		}
		began := time.Now()
		go ask()
		book.Failed()
		if a := <-told; a.Outcome != mirror.Disconnected || time.Since(began) > 400*time.Millisecond {
			t.Fatalf("told %v after %v", a, time.Since(began))
		}
	})
}

// TestStartingVMReadsFromThoseBeforeIt: a VM that is not on the list yet, since it
// has just started, asks VMs before it, as if it were. Two VMs whose lists differ
// must not read through each other: both would take themselves to be in touch.
func TestStartingVMReadsFromThoseBeforeIt(t *testing.T) {
	var members []mirror.Member
	for i := range 12 {
		members = append(members, mirror.Member{VM: ident.VMID(fmt.Sprint("vm-", i)), Zone: ident.ZoneID(fmt.Sprint("z", i%3)), Certificate: "c"})
	}
	zones := []ident.ZoneID{"z0", "z1", "z2"}
	reads := map[ident.VMID][]ident.VMID{}
	for i, m := range members {
		choice := mirror.NewSelector(m, zones)
		if list := choice.Mirrors(time.Now()); len(list) != 0 {
			t.Fatalf("%s knows no other VM and asks %v", m.VM, list)
		}
		// Each VM lacks itself and one other.
		list := slices.DeleteFunc(slices.Clone(members), func(o mirror.Member) bool { return o == m || o == members[(i+5)%12] })
		choice.SetMembers(list)
		for _, o := range choice.Mirrors(time.Now()) {
			reads[m.VM] = append(reads[m.VM], o.VM)
		}
	}
	var reaches func(from, to ident.VMID, depth int) bool
	reaches = func(from, to ident.VMID, depth int) bool {
		return slices.ContainsFunc(reads[from], func(vm ident.VMID) bool {
			return vm == to || (depth < len(members) && reaches(vm, to, depth+1))
		})
	}
	asking := 0
	for _, m := range members {
		if len(reads[m.VM]) > 0 {
			asking++
		}
		if reaches(m.VM, m.VM, 0) {
			t.Errorf("%s reads through itself: %v", m.VM, reads)
		}
	}
	if asking < len(members)-2 {
		t.Errorf("%d of %d VMs read through another one", asking, len(members))
	}
}

// TestFirstVMOutOfTouchIsReplaced. Pattern: the store refuses the first VM of the
// region and serves the others (nslca-cross-grown, trouble-1: every VM of the other
// zones then read the store itself). One more VM reads the store, the others read
// through it, and the refused one is told of changes by it.
func TestFirstVMOutOfTouchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		stores := make([]*fakeStore, 5)
		readers, _, _ := zoneOf(stores, store)
		ctx := context.Background()
		for i, r := range readers {
			if _, err := r.List(ctx); err != nil {
				t.Fatalf("reader %d: %v", i, err)
			}
		}
		stores[0].down = true
		before := reads(stores)
		for range 3 {
			for i, r := range readers {
				if _, _, err := r.Changes(ctx, 1, time.Minute); err != nil && i > 0 {
					t.Fatalf("reader %d: %v", i, err)
				}
			}
		}
		for i, n := range reads(stores) {
			if i > 1 && n != before[i] {
				t.Errorf("reader %d turned to the store %d times", i, n-before[i])
			}
		}
		// A VM that was out of touch is asked again after a while.
		time.Sleep(2 * time.Second)
		for _, s := range stores {
			s.set("a", "2")
		}
		for i := len(readers) - 1; i >= 0; i-- {
			// The second one reads the store, the others ask it.
			if _, _, err := readers[1].Changes(ctx, 1, time.Minute); err != nil {
				t.Fatal(err)
			}
			changes, version, err := readers[i].Changes(ctx, 1, time.Minute)
			if err != nil || len(changes) != 1 || version != 2 {
				t.Errorf("reader %d was told %v at %d (%v)", i, changes, version, err)
			}
		}
		if a := readers[0].Answer(ctx, mirror.Question{Kind: "things", After: 1}); a.Outcome != mirror.Disconnected {
			t.Errorf("the refused VM says %q", a.Outcome)
		}
	})
}

func reads(stores []*fakeStore) []int {
	out := make([]int, len(stores))
	for i, s := range stores {
		out[i] = s.reads
	}
	return out
}
