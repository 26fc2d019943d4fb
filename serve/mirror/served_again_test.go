package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

// A quietStore has no changes. While it is reset, it refuses calls at once.
type quietStore struct{ reset atomic.Bool }

func (s *quietStore) Kind() string { return "things" }

func (s *quietStore) err() error {
	if s.reset.Load() {
		return &platform.Error{Op: "read", Kind: platform.Unreachable, Err: errDown}
	}
	return nil
}

func (s *quietStore) Look(context.Context, platform.StoreVersion) (bool, error) {
	return false, s.err()
}

func (s *quietStore) List(context.Context) (platform.Listing[string], error) {
	return platform.Listing[string]{Version: 1}, s.err()
}

func (s *quietStore) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[string], platform.StoreVersion, error) {
	if s.reset.Load() {
		return nil, after, s.err()
	}
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// TestServedAgainAfterADetour guards against a VM that reads the store again after a short
// failure, but answers that it is disconnected, with objects of a growing age, until its next
// watch ends up to 15 s later. VMs that read through it then take longer paths.
func TestServedAgainAfterADetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store, prober := &quietStore{}, &watch.Prober{}
		members := []mirror.Member{{VM: "vm-0", Zone: "z", Certificate: "c"}, {VM: "vm-1", Zone: "z", Certificate: "c"}}
		first := members[0]
		if comesBefore(members[1], first) {
			first = members[1]
		}
		selector := mirror.NewSelector(first, testRegion)
		selector.SetMembers(members)
		guarded := &watch.Guarded[string]{Probeable: store, Prober: prober}
		r := mirror.NewReader[string](guarded, stringCodec, selector, answering{})
		r.MaxAge = 1500 * time.Millisecond
		guarded.Confirmed = r.Confirm
		ended := make(chan struct{}, 2)
		go func() { prober.Run(ctx); ended <- struct{}{} }()
		go func() { watch.Follow(ctx, r, ignoreAll); ended <- struct{}{} }()
		time.Sleep(5 * time.Second)
		store.reset.Store(true)
		time.Sleep(time.Second)
		store.reset.Store(false)
		time.Sleep(4 * time.Second)
		if f := r.Freshness(); f.Age > 2*time.Second || len(f.Path) > 0 {
			t.Errorf("4 s after the store is back, the objects are %v old and came by %v", f.Age, f.Path)
		}
		if a := r.Answer(ctx, mirror.Question{Kind: "things", After: 1}); a.Outcome != mirror.OK {
			t.Errorf("4 s after the store is back, %s answers %s", first.VM, a.Outcome)
		}
		cancel()
		<-ended
		<-ended
	})
}

// answering is a transport to a VM that reads the store.
type answering struct{}

func (answering) Ask(_ context.Context, _ mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	time.Sleep(q.Wait / 2)
	return mirror.Answer[[]byte]{Outcome: mirror.OK, Version: 1, Path: []ident.VMID{}}, nil
}
