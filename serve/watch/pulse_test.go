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

var errAway = errors.New("away")

// fakeStore answers watches only while it is not away, and then after a long wait.
type fakeStore struct {
	away, behind atomic.Bool
	beats, calls atomic.Int64
}

func (s *fakeStore) Look(ctx context.Context, _ platform.StoreVersion) (bool, error) {
	s.beats.Add(1)
	if s.away.Load() {
		<-ctx.Done()
		return false, errAway
	}
	return s.behind.Load(), nil
}

func (s *fakeStore) Kind() string { return "things" }

func (s *fakeStore) List(ctx context.Context) (platform.Listing[string], error) {
	s.calls.Add(1)
	return platform.Listing[string]{Version: 1}, ctx.Err()
}

func (s *fakeStore) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[string], platform.StoreVersion, error) {
	s.calls.Add(1)
	s.behind.Store(false)
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// follow runs a pulse and a follower, and returns how often the follower was told
// of a failure and of an answer.
func follow(ctx context.Context, store *fakeStore) (failed, heard *atomic.Int64) {
	failed, heard = &atomic.Int64{}, &atomic.Int64{}
	pulse := &watch.Prober{}
	go pulse.Run(ctx)
	go watch.Follow(ctx, watch.Guarded[string]{Probeable: store, Prober: pulse}, watch.Handler[string]{
		Listed:  func(context.Context, []platform.Change[string]) { heard.Add(1) },
		Changed: func(context.Context, []platform.Change[string]) { heard.Add(1) },
		Failed:  func(context.Context, string, error) { failed.Add(1) },
	})
	return failed, heard
}

// TestSilentStoreIsNoticed: a watch that waits for a store which falls silent ends
// within the time that callers count on, and while the store is away only signs of
// life are asked for.
func TestSilentStoreIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{}
		failed, _ := follow(ctx, store)
		time.Sleep(5500 * time.Millisecond)
		if store.calls.Load() != 2 || failed.Load() != 0 {
			t.Fatalf("%d calls and %d failures in a calm start, expected a listing and a watch", store.calls.Load(), failed.Load())
		}
		store.away.Store(true)
		time.Sleep(watch.SilenceDetectionTime)
		if failed.Load() != 1 {
			t.Fatalf("%d failures were told of after %v", failed.Load(), watch.SilenceDetectionTime)
		}
		calls, beats := store.calls.Load(), store.beats.Load()
		time.Sleep(10 * time.Second)
		if store.calls.Load() != calls {
			t.Errorf("%d calls to a store that is away", store.calls.Load()-calls)
		}
		if n := store.beats.Load() - beats; n < 9 || n > 15 {
			t.Errorf("%d signs of life were asked for in 10 s", n)
		}
		store.away.Store(false)
		time.Sleep(watch.SilenceDetectionTime)
		// One that does not wait, to catch up, and one that does.
		if store.calls.Load() != calls+2 {
			t.Errorf("%d watches after the return of the store, expected 2", store.calls.Load()-calls)
		}
	})
}

// TestSilentWatchIsNoticed: of four watches one tells of nothing although the store
// has changes and answers. It ends when its turn comes.
func TestSilentWatchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		pulse := &watch.Prober{}
		go pulse.Run(ctx)
		stores := make([]*fakeStore, 4)
		for i := range stores {
			stores[i] = &fakeStore{}
			go func() {
				for ctx.Err() == nil {
					// The error is counted as one more call.
					_, _, _ = watch.Guarded[string]{Probeable: stores[i], Prober: pulse}.Changes(ctx, 1, time.Minute)
				}
			}()
		}
		time.Sleep(5500 * time.Millisecond)
		stores[2].behind.Store(true)
		time.Sleep(3 * time.Second)
		for i, s := range stores {
			if want := int64(1); i != 2 && s.calls.Load() != want {
				t.Errorf("watch %d was asked for %d times, expected once", i, s.calls.Load())
			}
		}
		if n := stores[2].calls.Load(); n != 2 {
			t.Errorf("the silent watch was asked for %d times in 3 s, expected 2", n)
		}
	})
}

// TestNoBeatsWithoutCalls: a VM that reads through another one asks the store for
// nothing.
func TestNoBeatsWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, pulse := &fakeStore{}, &watch.Prober{}
		go pulse.Run(ctx)
		time.Sleep(time.Minute)
		if n := store.beats.Load(); n != 0 {
			t.Fatalf("%d looks without a call", n)
		}
		call, end := context.WithTimeout(ctx, 2500*time.Millisecond)
		defer end()
		if _, _, err := (watch.Guarded[string]{Probeable: store, Prober: pulse}).Changes(call, 1, time.Minute); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if n := store.beats.Load(); n != 4 {
			t.Fatalf("%d looks in 2.5 s of a call", n)
		}
	})
}

// TestCallsWaitForAStoreThatIsBackSoon: a call does not fail at once while the
// store is silent; it ends when the store is back, and the next one is made.
func TestCallsWaitForAStoreThatIsBackSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, pulse := &fakeStore{}, &watch.Prober{}
		store.away.Store(true)
		go pulse.Run(ctx)
		source := watch.Guarded[string]{Probeable: store, Prober: pulse}
		var ended *watch.Error
		if _, _, err := source.Changes(ctx, 1, time.Minute); !errors.As(err, &ended) || ended.Kind != watch.Silent {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := source.List(ctx); err == nil || time.Since(began) != time.Second {
			t.Fatalf("a silent store was awaited for %v (%v)", time.Since(began), err)
		}
		store.away.Store(false)
		began = time.Now()
		if _, err := source.List(ctx); !errors.As(err, &ended) || time.Since(began) >= time.Second {
			t.Fatalf("it was told of the return after %v (%v)", time.Since(began), err)
		}
		if _, err := source.List(ctx); err != nil {
			t.Fatal(err)
		}
	})
}
