package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
)

// TestPathChangesAreReported guards against logs that show how a VM lost its mirror but not
// how it read afterwards: each answer that came another way is reported once, also the
// return to a mirror.
func TestPathChangesAreReported(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, order, transport := newZone(store, 3)
	now := time.Unix(0, 0)
	var changes []mirror.PathChange
	for _, r := range readers {
		r.Now = func() time.Time { return now }
	}
	last := readers[2]
	last.OnPathChange(func(c mirror.PathChange) { changes = append(changes, c) })
	version := platform.StoreVersion(1)
	read := func() {
		now = now.Add(10 * time.Second)
		for _, r := range readers {
			if _, v, err := r.Changes(context.Background(), version, 0); err != nil || v != store.version {
				t.Fatalf("version %d, %v", v, err)
			}
		}
		version = store.version
	}
	for _, r := range readers {
		if _, err := r.List(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	read()
	if len(changes) > 0 {
		t.Fatalf("reported %v on one path", changes)
	}
	transport.unreachable[order[0]] = true
	transport.unreachable[order[1]] = true
	store.set("a", "2")
	read()
	read()
	delete(transport.unreachable, order[0])
	delete(transport.unreachable, order[1])
	store.set("a", "3")
	read()
	read()
	want := []mirror.PathChange{
		{Kind: "things", From: order[:1], Version: 2},
		{Kind: "things", To: order[:1], Version: 3},
	}
	if !slices.EqualFunc(changes, want, func(a, b mirror.PathChange) bool { return fmt.Sprint(a) == fmt.Sprint(b) }) {
		t.Errorf("reported %v, expected %v", changes, want)
	}
}

// TestPathOutlastsAnOutage guards against an outage that hides a change of the path.
func TestPathOutlastsAnOutage(t *testing.T) {
	stores := []*fakeStore{newStore(), newStore()}
	template := newStore()
	template.set("a", "1")
	readers, order, transport := newZoneWithStores(stores, template)
	now := time.Unix(0, 0)
	var from, to []ident.VMID
	reader := readers[1]
	reader.Now = func() time.Time { return now }
	reader.OnPathChange(func(c mirror.PathChange) { from, to = c.From, c.To })
	for _, r := range readers {
		if _, err := r.List(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	transport.unreachable[order[0]] = true
	stores[1].down = true
	if _, _, err := reader.Changes(context.Background(), 1, 0); err == nil {
		t.Fatal("a read without a path succeeded")
	}
	now = now.Add(10 * time.Second)
	stores[1].down = false
	if _, _, err := reader.Changes(context.Background(), 1, 0); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(from, order[:1]) || len(to) > 0 {
		t.Errorf("the path changed from %v to %v, expected from %v to the store", from, to, order[:1])
	}
}
