package mirror_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

var errCompacted = &platform.Error{Op: "watch", Kind: platform.Compacted, Err: errors.New("history dropped")}

// TestErrorThatTheStoreAnsweredIsReturned guards against stale configurations: the answer
// "nothing new" of a VM that is itself behind replaced the error from which a reader
// learns that the store has changes that its watch cannot return.
func TestErrorThatTheStoreAnsweredIsReturned(t *testing.T) {
	for name, answered := range map[string]error{
		"history dropped": errCompacted,
		"watch behind":    &watch.Error{Op: "wait", Kind: watch.Behind, Err: errors.New("changes")},
	} {
		t.Run(name, func(t *testing.T) {
			stores := []*fakeStore{newStore(), newStore(), newStore()}
			template := newStore()
			template.set("a", "1")
			readers, _, _ := newConfiguredZone(stores, template, (*mirror.Selector).AlwaysReadStore)
			ctx := context.Background()
			for _, r := range readers {
				if _, err := r.List(ctx); err != nil {
					t.Fatal(err)
				}
			}
			stores[0].failure = answered
			_, version, err := readers[0].Changes(ctx, 1, time.Minute)
			if !errors.Is(err, answered) || version != 1 {
				t.Fatalf("got version %d and error %v, expected the error of the store", version, err)
			}
			if a := readers[0].Answer(ctx, mirror.Question{After: 1}); a.Outcome != mirror.OK {
				t.Fatalf("a VM that the store answers reports %q to the VMs that read through it", a.Outcome)
			}
		})
	}
}

// TestDroppedHistoryReachesAllVMs guards against a group of VMs that read through each
// other after the store had refused some of them, and so missed that it dropped its
// history.
func TestDroppedHistoryReachesAllVMs(t *testing.T) {
	for name, tc := range map[string]struct {
		configure func(*mirror.Selector)
		refused   []int
	}{
		"all VMs read the store":        {(*mirror.Selector).AlwaysReadStore, []int{2, 3}},
		"all VMs read it, all refused":  {(*mirror.Selector).AlwaysReadStore, []int{0, 1, 2, 3, 4}},
		"VMs read through mirrors":      {func(*mirror.Selector) {}, []int{2, 3}},
		"the mirror itself was refused": {func(*mirror.Selector) {}, []int{0, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			const vms = 5
			stores := make([]*fakeStore, vms)
			for i := range stores {
				stores[i] = newStore()
			}
			template := newStore()
			template.set("a", "1")
			readers, _, _ := newConfiguredZone(stores, template, tc.configure)
			now := time.Now()
			followers := make([]watch.Follower[string], vms)
			for i, r := range readers {
				r.Now = func() time.Time { return now }
				followers[i] = watch.Follower[string]{Source: r, Handler: ignoreAll}
			}
			round := func() {
				for i := range followers {
					_, _ = followers[i].Step(context.Background())
				}
				now = now.Add(time.Second)
			}
			round()
			for _, i := range tc.refused {
				stores[i].down = true
			}
			for range 9 {
				round()
			}
			for _, s := range stores {
				s.down, s.silent = false, true
			}
			for range 3 {
				round()
			}
			for _, s := range stores {
				s.set("a", "2")
			}
			round()
			for _, s := range stores {
				s.silent, s.droppedBefore = false, s.version
			}
			// One step receives that the history is dropped and one lists the objects. A
			// refused VM of a tree first finds its mirror again.
			const bound = 4
			for range bound {
				round()
			}
			for i := range followers {
				if got := followers[i].Version(); got != 2 {
					t.Errorf("VM %d is at version %d, expected 2", i, got)
				}
			}
		})
	}
}

// TestAnswerHoldsTheNewestVersionOnly guards against answers that exceed the limit of a
// message, and so are never read, after many versions of a large object.
func TestAnswerHoldsTheNewestVersionOnly(t *testing.T) {
	cache := &mirror.Cache[string]{}
	cache.SetListing(platform.Listing[string]{Version: 1}, mirror.Origin{})
	cache.Apply([]platform.Change[string]{{Name: "a", Value: "2"}, {Name: "b", Value: "2"}}, 2, mirror.Origin{})
	cache.Apply([]platform.Change[string]{{Name: "a", Value: "3"}}, 3, mirror.Origin{})
	cache.Apply([]platform.Change[string]{{Name: "a", Value: "4"}, {Name: "c", Value: "4"}}, 4, mirror.Origin{})
	got := cache.Changes(context.Background(), 1, 0)
	want := []platform.Change[string]{{Name: "b", Value: "2"}, {Name: "a", Value: "4"}, {Name: "c", Value: "4"}}
	if got.Version != 4 || !slices.Equal(got.Changes, want) {
		t.Errorf("got %v at version %d, expected %v at version 4", got.Changes, got.Version, want)
	}
	if got = cache.Changes(context.Background(), 3, 0); !slices.Equal(got.Changes, want[1:]) {
		t.Errorf("got %v after version 3, expected %v", got.Changes, want[1:])
	}
}

var ignoreAll = watch.Handler[string]{
	Listed:  func(context.Context, []platform.Change[string]) {},
	Changed: func(context.Context, []platform.Change[string]) {},
	Failed:  func(context.Context, string, error) {},
}

// TestMirrorThatListsAgainKeepsItsHistory guards against VMs that list all objects one
// after the other, and have a change late, because the store dropped its history for the
// first of them.
func TestMirrorThatListsAgainKeepsItsHistory(t *testing.T) {
	cache := &mirror.Cache[string]{}
	items := func(values ...string) (out []platform.Change[string]) {
		for _, v := range values {
			out = append(out, platform.Change[string]{Name: v[:1], Value: v})
		}
		return out
	}
	cache.SetListing(platform.Listing[string]{Version: 1, Items: items("a1", "b1")}, mirror.Origin{})
	cache.SetListing(platform.Listing[string]{Version: 5, Items: items("a2")}, mirror.Origin{})
	got := cache.Changes(context.Background(), 1, 0)
	want := append(items("a2"), platform.Change[string]{Name: "b", Deleted: true})
	if got.Outcome != mirror.OK || got.Version != 5 || !slices.Equal(got.Changes, want) {
		t.Errorf("got %+v, expected %v at version 5", got, want)
	}
	if got = cache.Changes(context.Background(), 5, 0); got.Outcome != mirror.OK || len(got.Changes) > 0 {
		t.Errorf("got %+v after version 5, expected no changes", got)
	}
}

// TestChangeWithheldByAWatchIsRead guards against a change that is lost for good: a watch
// ended without it, and its answer led past it.
func TestChangeWithheldByAWatchIsRead(t *testing.T) {
	store := newStore()
	store.set("a", "1")
	readers, _, _ := newZone(store, 1)
	ctx := context.Background()
	if _, err := readers[0].List(ctx); err != nil {
		t.Fatal(err)
	}
	store.set("a", "2")
	store.withholds = true
	changes, version, err := readers[0].Changes(ctx, 1, time.Minute)
	if err != nil || len(changes) > 0 || version != 2 {
		t.Fatalf("got %v at version %d, %v", changes, version, err)
	}
	store.withholds = false
	changes, version, err = readers[0].Changes(ctx, version, time.Minute)
	if err != nil || len(changes) != 1 || version != 2 {
		t.Errorf("got %v at version %d, %v; expected the change that was withheld", changes, version, err)
	}
}
