package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carawaycross.example/carawaycross/serve/mirror"
)

// followFor lets all VMs read changes for a time, all at the same moments, and returns how
// often each read the store. A VM whose read failed pauses as watch.Follow does.
func followFor(readers []*mirror.Reader[string], stores []*fakeStore, duration time.Duration) []int {
	before := readCounts(stores)
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var all sync.WaitGroup
	for i := range readers {
		all.Go(func() {
			for ctx.Err() == nil {
				// A question of the fake transport does not wait.
				pause := 50 * time.Millisecond
				if _, _, err := readers[i].Changes(ctx, stores[i].version, time.Minute); err != nil {
					pause = 500 * time.Millisecond
				}
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
	counts := readCounts(stores)
	for i := range counts {
		counts[i] -= before[i]
	}
	return counts
}

// TestManyVMsDoNotCallTheStoreTogether checks that, after the first of 100 VMs lost the
// store, a few others read it and the rest goes on through them. In one run, each of 140
// VMs listed four kinds from the store when its mirrors were disconnected.
func TestManyVMsDoNotCallTheStoreTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		stores := make([]*fakeStore, 100)
		readers, _, transport := newZoneWithStores(stores, store)
		transport.mu = &sync.Mutex{}
		for i, r := range readers {
			if _, err := r.List(context.Background()); err != nil {
				t.Fatalf("reader %d: %v", i, err)
			}
		}
		stores[0].down = true
		for _, s := range stores {
			s.waiting = func() { time.Sleep(50 * time.Millisecond) }
		}
		callers := 0
		for i, n := range followFor(readers, stores, 5*time.Second) {
			if i > 0 && n > 0 {
				callers++
			}
		}
		if callers == 0 || callers > 3 {
			t.Errorf("%d VMs read the store after the first one lost it, expected 1 to 3", callers)
		}
	})
}

// TestUnavailableStoreGetsFewCalls checks that, while no VM reaches the store, all but the
// first few try it seldom, and that each VM notices its return.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		stores := make([]*fakeStore, 60)
		readers, _, transport := newZoneWithStores(stores, store)
		transport.mu = &sync.Mutex{}
		for i, r := range readers {
			if _, err := r.List(context.Background()); err != nil {
				t.Fatalf("reader %d: %v", i, err)
			}
		}
		for _, s := range stores {
			s.down = true
		}
		const seconds = 9
		for i, n := range followFor(readers, stores, seconds*time.Second) {
			if i >= 3 && n > seconds/3+1 {
				t.Errorf("VM %d called the store %d times in %d s", i, n, seconds)
			}
		}
		for _, s := range stores {
			s.down = false
			s.set("a", "2")
		}
		followFor(readers, stores, 5*time.Second)
		for i, r := range readers {
			if a := r.Answer(context.Background(), mirror.Question{Kind: "things", After: 1}); a.Version != 2 {
				t.Errorf("VM %d has version %d (%s) 5 s after the return of the store", i, a.Version, a.Outcome)
			}
		}
	})
}
