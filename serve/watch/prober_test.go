package watch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/watch"
)

var errUnreachable = errors.New("the store is unreachable")

// fakeStore answers a watch after its full wait, and a probe only while the store is
// reachable.
type fakeStore struct {
	unreachable, changed atomic.Bool
	probes, calls        atomic.Int64
}

func (s *fakeStore) Look(ctx context.Context, _ platform.StoreVersion) (bool, error) {
	s.probes.Add(1)
	if s.unreachable.Load() {
		<-ctx.Done()
		return false, errUnreachable
	}
	return s.changed.Load(), nil
}

func (s *fakeStore) Kind() string { return "things" }

func (s *fakeStore) List(ctx context.Context) (platform.Listing[string], error) {
	s.calls.Add(1)
	return platform.Listing[string]{Version: 1}, ctx.Err()
}

func (s *fakeStore) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[string], platform.StoreVersion, error) {
	s.calls.Add(1)
	s.changed.Store(false)
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// follow runs a Prober and Follow on a store, and returns the number of failures and of
// answers that the handler received.
func follow(ctx context.Context, store *fakeStore) (failures, deliveries *atomic.Int64) {
	failures, deliveries = &atomic.Int64{}, &atomic.Int64{}
	prober := &watch.Prober{}
	go prober.Run(ctx)
	go watch.Follow(ctx, watch.Guarded[string]{Probeable: store, Prober: prober}, watch.Handler[string]{
		Listed:  func(context.Context, []platform.Change[string]) { deliveries.Add(1) },
		Changed: func(context.Context, []platform.Change[string]) { deliveries.Add(1) },
		Failed:  func(context.Context, string, error) { failures.Add(1) },
	})
	return failures, deliveries
}

// TestSilentStoreIsDetected checks that a watch ends within SilenceDetectionTime after
// the store stops responding, and that a store that does not respond receives only
// probes.
func TestSilentStoreIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{}
		failures, _ := follow(ctx, store)
		time.Sleep(5500 * time.Millisecond)
		if store.calls.Load() != 2 || failures.Load() != 0 {
			t.Fatalf("%d calls and %d failures after a start without faults, expected 2 calls (a listing and a watch) and no failure", store.calls.Load(), failures.Load())
		}
		store.unreachable.Store(true)
		time.Sleep(watch.SilenceDetectionTime)
		if failures.Load() != 1 {
			t.Fatalf("%d failures reported after %v, expected 1", failures.Load(), watch.SilenceDetectionTime)
		}
		calls, probes := store.calls.Load(), store.probes.Load()
		time.Sleep(10 * time.Second)
		if store.calls.Load() != calls {
			t.Errorf("%d calls to a store that does not respond", store.calls.Load()-calls)
		}
		if n := store.probes.Load() - probes; n < 9 || n > 15 {
			t.Errorf("%d probes in 10 s, expected 9 to 15", n)
		}
		store.unreachable.Store(false)
		time.Sleep(watch.SilenceDetectionTime)
		// One that does not wait, to catch up, and one that waits.
		if store.calls.Load() != calls+2 {
			t.Errorf("%d watches after the store responded again, expected 2", store.calls.Load()-calls)
		}
	})
}

// TestWatchThatIsBehindIsDetected checks that a watch that returns nothing, although the
// store responds and has changes, ends at its next probe. It is one of four.
func TestWatchThatIsBehindIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		prober := &watch.Prober{}
		go prober.Run(ctx)
		stores := make([]*fakeStore, 4)
		for i := range stores {
			stores[i] = &fakeStore{}
			go func() {
				for ctx.Err() == nil {
					// The error is counted as one more call.
					_, _, _ = watch.Guarded[string]{Probeable: stores[i], Prober: prober}.Changes(ctx, 1, time.Minute)
				}
			}()
		}
		time.Sleep(5500 * time.Millisecond)
		stores[2].changed.Store(true)
		time.Sleep(3 * time.Second)
		for i, s := range stores {
			if want := int64(1); i != 2 && s.calls.Load() != want {
				t.Errorf("watch %d was called %d times, expected once", i, s.calls.Load())
			}
		}
		if n := stores[2].calls.Load(); n != 2 {
			t.Errorf("the watch that is behind was called %d times in 3 s, expected 2", n)
		}
	})
}

// TestNoProbesWithoutCalls checks that a VM that reads through another one does not call
// the store.
func TestNoProbesWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, prober := &fakeStore{}, &watch.Prober{}
		go prober.Run(ctx)
		time.Sleep(time.Minute)
		if n := store.probes.Load(); n != 0 {
			t.Fatalf("%d probes without a call", n)
		}
		call, end := context.WithTimeout(ctx, 2500*time.Millisecond)
		defer end()
		if _, _, err := (watch.Guarded[string]{Probeable: store, Prober: prober}).Changes(call, 1, time.Minute); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if n := store.probes.Load(); n != 4 {
			t.Fatalf("%d probes during a call of 2.5 s, expected 4", n)
		}
	})
}

// TestCallsWaitForAStoreThatRecovers checks that a call to a silent store waits for it:
// it ends as soon as the store responds again, and the next call is made.
func TestCallsWaitForAStoreThatRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, prober := &fakeStore{}, &watch.Prober{}
		store.unreachable.Store(true)
		go prober.Run(ctx)
		source := watch.Guarded[string]{Probeable: store, Prober: prober}
		var ended *watch.Error
		if _, _, err := source.Changes(ctx, 1, time.Minute); !errors.As(err, &ended) || ended.Kind != watch.Silent {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := source.List(ctx); err == nil || time.Since(began) != time.Second {
			t.Fatalf("the call waited %v for a silent store, expected 1 s (%v)", time.Since(began), err)
		}
		store.unreachable.Store(false)
		began = time.Now()
		if _, err := source.List(ctx); !errors.As(err, &ended) || time.Since(began) >= time.Second {
			t.Fatalf("the call ended %v after the store responded again (%v)", time.Since(began), err)
		}
		if _, err := source.List(ctx); err != nil {
			t.Fatal(err)
		}
	})
}

// slowStore is a fakeStore whose probes take a while.
type slowStore struct {
	fakeStore
	latency time.Duration
}

func (s *slowStore) Look(ctx context.Context, _ platform.StoreVersion) (bool, error) {
	select {
	case <-time.After(s.latency):
	case <-ctx.Done():
	}
	return false, ctx.Err()
}

// TestGivingUpIsNoSilence guards against a store that counts as silent, for all kinds, because
// a caller that another VM answered first gave up its call during a probe.
func TestGivingUpIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &watch.Prober{}
		source := watch.Guarded[string]{Probeable: &slowStore{latency: 20 * time.Millisecond}, Prober: prober}
		waiting := make(chan error, 1)
		go func() {
			_, _, err := source.Changes(t.Context(), 1, 10*time.Second)
			waiting <- err
		}()
		// Without Run, the last probe is so old by then that the call makes one.
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeoutCause(t.Context(), 5*time.Millisecond, context.Canceled)
		defer cancel()
		if _, _, err := source.Changes(ctx, 1, time.Second); err == nil {
			t.Fatal("the call that was given up has a result")
		}
		began := time.Now()
		if _, err := source.List(t.Context()); err != nil || time.Since(began) > time.Second/2 {
			t.Errorf("the next call took %v: %v", time.Since(began), err)
		}
		if err := <-waiting; err != nil {
			t.Errorf("the call that waited: %v", err)
		}
	})
}
