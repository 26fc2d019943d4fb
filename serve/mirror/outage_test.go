package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

// An outage plays an outage of the store for one large availability zone. Each VM reads
// once in each step.
type outage struct {
	stores    []*fakeStore
	followers []watch.Follower[string]
	now       time.Time
}

const outageStep = 250 * time.Millisecond

// applyWithin is the time in which a change must be in force at deployments of this size.
const applyWithin = 5 * time.Second

func newOutage(vms int) *outage {
	o := &outage{now: time.Unix(0, 0), stores: make([]*fakeStore, vms), followers: make([]watch.Follower[string], vms)}
	for i := range o.stores {
		o.stores[i] = newStore()
	}
	template := newStore()
	template.set("a", "1")
	readers, _, _ := newConfiguredZone(o.stores, template, func(*mirror.Selector) {})
	for i, r := range readers {
		r.Now = func() time.Time { return o.now }
		o.followers[i] = watch.Follower[string]{Source: r, Handler: ignoreAll}
	}
	o.run(time.Second)
	return o
}

func (o *outage) run(d time.Duration) {
	for range d / outageStep {
		for i := range o.followers {
			_, _ = o.followers[i].Step(context.Background())
		}
		o.now = o.now.Add(outageStep)
	}
}

func (o *outage) reads() int {
	n := 0
	for _, s := range o.stores {
		n += s.reads
	}
	return n
}

// behind returns the number of VMs that hold an older version.
func (o *outage) behind(version platform.StoreVersion) int {
	n := 0
	for i := range o.followers {
		if o.followers[i].Version() < version {
			n++
		}
	}
	return n
}

// TestOutageIsProbedByScouts answers an outage of the store at a large deployment: the
// VMs must not call it all at once, and again with each retry.
func TestOutageIsProbedByScouts(t *testing.T) {
	const vms, span = 60, 4 * time.Second
	o := newOutage(vms)
	for _, s := range o.stores {
		s.down = true
	}
	before := o.reads()
	o.run(span)
	// Two scouts call in each step, every other VM at most once in this time.
	if got, limit := o.reads()-before, 2*int(span/outageStep)+vms; got > limit {
		t.Errorf("%d calls to the store, allowed: %d", got, limit)
	}
	for _, s := range o.stores {
		s.down = false
		s.set("a", "2")
	}
	o.run(2 * time.Second)
	if n := o.behind(2); n > 0 {
		t.Errorf("%d VMs lack the change 2 s after the store is back", n)
	}
}

// TestShortOutageCostsOnlyTheScoutsCalls answers a store that cuts its watches and is
// back within a second.
func TestShortOutageCostsOnlyTheScoutsCalls(t *testing.T) {
	const vms, span = 60, time.Second
	o := newOutage(vms)
	for _, s := range o.stores {
		s.down = true
	}
	before := o.reads()
	o.run(span)
	if got, limit := o.reads()-before, 2*int(span/outageStep); got > limit {
		t.Errorf("%d calls to the store, allowed: %d", got, limit)
	}
}

// TestStoreThatServesOneVMReachesAll answers a store that refuses all VMs but one, which
// is no scout: the others read through it, and it reads the store again for each change.
func TestStoreThatServesOneVMReachesAll(t *testing.T) {
	for _, tc := range []struct{ vms, served, changes int }{
		{60, 2, 4}, {60, 20, 4}, {60, 30, 4}, {60, 59, 4}, {140, 70, 3}, {140, 139, 3}, {300, 299, 2},
	} {
		o := newOutage(tc.vms)
		for i, s := range o.stores {
			s.down = i != tc.served
		}
		for change := range tc.changes {
			for _, s := range o.stores {
				s.set("a", fmt.Sprint(change))
			}
			o.run(applyWithin)
			if n := o.behind(o.stores[tc.served].version); n > 0 {
				t.Errorf("VM %d of %d is served: %d VMs lack change %d after %v", tc.served, tc.vms, n, change, applyWithin)
			}
		}
	}
}

// TestMirrorsThatAreDownCostOneWait answers a VM that read from the store last while
// several of its mirrors are down: it reaches the store after one wait.
func TestMirrorsThatAreDownCostOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		readers, order, transport := newZone(store, 4)
		for _, vm := range order[:3] {
			transport.hanging[vm] = true
		}
		last := readers[3]
		if _, err := last.List(context.Background()); err != nil {
			t.Fatal(err)
		}
		// The mirrors are no longer excluded.
		time.Sleep(6 * time.Second)
		store.set("a", "2")
		began := time.Now()
		_, version, err := last.Changes(context.Background(), 1, 15*time.Second)
		if err != nil || version != 2 || time.Since(began) > 2*time.Second {
			t.Errorf("version %d, %v after %v", version, err, time.Since(began))
		}
	})
}

// TestSilentVMsCostOneWait guards against an old version that stays in force while a VM
// that reads through others asks one after the other that was killed: a read waits for one
// silent VM only.
func TestSilentVMsCostOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		readers, order, transport := newZone(store, 8)
		ctx := context.Background()
		for _, r := range readers {
			if _, err := r.List(ctx); err != nil {
				t.Fatal(err)
			}
		}
		// The store refuses the third VM and its mirrors, which read through the others.
		reader := readers[2]
		store.down = true
		for _, r := range readers[:3] {
			_, _, _ = r.Changes(ctx, 1, 0)
		}
		for range 2 {
			// The first read through others may miss the ones with a path.
			_, _, _ = reader.Changes(ctx, 1, 15*time.Second)
		}
		for _, vm := range order {
			transport.hanging[vm] = true
		}
		began := time.Now()
		_, _, _ = reader.Changes(ctx, 1, 15*time.Second)
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("a read took %v while no VM answered, expected one wait", took)
		}
	})
}

// TestLaterListingsDoNotWaitForMirrors guards against an old version that stays in force
// after a mirror dropped its history: the wait for the first listing of mirrors that start
// together does not apply to later listings.
func TestLaterListingsDoNotWaitForMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.set("a", "1")
		readers, order, transport := newZone(store, 3)
		last := readers[2]
		last.InitialListWait = mirror.InitialListWait
		for _, r := range readers {
			if _, err := r.List(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		for _, vm := range order[:2] {
			transport.hanging[vm] = true
		}
		began := time.Now()
		if _, err := last.List(context.Background()); err != nil || time.Since(began) > 500*time.Millisecond {
			t.Errorf("listed after %v, %v", time.Since(began), err)
		}
	})
}
