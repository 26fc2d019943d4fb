package watch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/platform"
)

// pollStore fails from failsFrom to failsUntil, counted from its first call.
type pollStore struct {
	platform.Store
	first                 time.Time
	failsFrom, failsUntil time.Duration
	calls                 []time.Duration
}

func (s *pollStore) VMs(context.Context) ([]platform.ListedVM, error) {
	if s.first.IsZero() {
		s.first = time.Now()
	}
	at := time.Since(s.first)
	s.calls = append(s.calls, at)
	if at >= s.failsFrom && at < s.failsUntil {
		return nil, errors.New("down")
	}
	return nil, nil
}

func (s *pollStore) callsBetween(from, until time.Duration) int {
	n := 0
	for _, at := range s.calls {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

type countingListener struct{ lists int }

func (*countingListener) ConfigurationRead(config.Configuration) {}
func (*countingListener) PlatformFailed(string)                  {}
func (l *countingListener) VMsListed([]platform.ListedVM)        { l.lists++ }
func (*countingListener) ConfigurationInForce(context.Context) config.Configuration {
	return config.Configuration{}
}

func pollFor(t *testing.T, store *pollStore, span time.Duration) (lists int) {
	synctest.Test(t, func(t *testing.T) {
		l := &countingListener{}
		w := &Watcher{Store: store, Listener: l, MaxListInterval: 10 * time.Second}
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		w.PollVMs(ctx)
		lists = l.lists
	})
	return lists
}

// TestOutageCostsFewPollsOfTheList answers an outage of the store at a large deployment,
// whose VMs hold a list of VMs already.
func TestOutageCostsFewPollsOfTheList(t *testing.T) {
	store := &pollStore{failsFrom: 30 * time.Second, failsUntil: 40 * time.Second}
	pollFor(t, store, time.Minute)
	if n := store.callsBetween(store.failsFrom, store.failsUntil); n > 2 {
		t.Errorf("%d calls in an outage of 10 s, allowed: 2", n)
	}
	if n := store.callsBetween(store.failsUntil, store.failsUntil+10*time.Second); n == 0 {
		t.Error("no call within 10 s after the outage")
	}
}

// TestFirstListIsRetriedSoon answers a store that is down when a VM starts: without the
// list the VM serves nobody.
func TestFirstListIsRetriedSoon(t *testing.T) {
	store := &pollStore{failsUntil: 3 * time.Second}
	if lists := pollFor(t, store, 4*time.Second+maxRetryDelay); lists == 0 {
		t.Error("no list within a second after the outage")
	}
}

// TestRefreshReadsTheList guards against VMs that restarted and stay refused, by their new
// certificates, until the list of VMs is read at its usual interval of seconds.
func TestRefreshReadsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refresh := make(chan struct{}, 1)
		store := &pollStore{}
		w := &Watcher{Store: store, Listener: &countingListener{}, MaxListInterval: 10 * time.Second, Refresh: refresh}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { w.PollVMs(ctx); close(ended) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		at := time.Since(store.first)
		for range 20 {
			select {
			case refresh <- struct{}{}:
			default:
			}
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		<-ended
		if n := store.callsBetween(at, at+2*minListInterval); n < 1 || n > 3 {
			t.Errorf("%d reads of the list in %v, expected 1 to 3", n, 2*minListInterval)
		}
	})
}

// TestVMThatIsAddedReadsTheListSoon guards against VMs of a new deployment that each read
// the list before the others are added, and know no VM to read through for the second until
// the next read.
func TestVMThatIsAddedReadsTheListSoon(t *testing.T) {
	for _, tc := range []struct {
		wasListed bool
		soon      int
	}{{false, 2}, {true, 1}} {
		synctest.Test(t, func(t *testing.T) {
			store := &pollStore{}
			w := &Watcher{Store: store, Listener: &countingListener{}, WasListed: func() bool { return tc.wasListed }, MaxListInterval: 10 * time.Second}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			w.PollVMs(ctx)
			if n := store.callsBetween(0, minListInterval/2); n != tc.soon {
				t.Errorf("was listed: %v: %d reads of the list in the first %v, expected %d", tc.wasListed, n, minListInterval/2, tc.soon)
			}
			if n := store.callsBetween(0, time.Minute); n > 13 {
				t.Errorf("was listed: %v: %d reads of the list in a minute, allowed: 13", tc.wasListed, n)
			}
		})
	}
}

// A stuckStore holds no configuration and answers no write before the context is done.
type stuckStore struct{ platform.Store }

func (stuckStore) Get(context.Context, string) (platform.Object, error) {
	return platform.Object{}, nil
}

func (stuckStore) Put(ctx context.Context, _ string, _ []byte, _ platform.StoreVersion) (platform.StoreVersion, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// A failureListener counts the failures of the platform.
type failureListener struct {
	countingListener
	failures int
}

func (l *failureListener) PlatformFailed(string) { l.failures++ }

// TestOwnStopIsNoFailureOfThePlatform guards against a platform that seems to fail when a VM
// stops, or passes its turn to watch on, during a write.
func TestOwnStopIsNoFailureOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &failureListener{}
		w := &Watcher{Store: stuckStore{}, Listener: l}
		ctx, cancel := context.WithTimeout(t.Context(), 2*createDelay)
		defer cancel()
		w.follow(ctx)
		if l.failures > 0 {
			t.Errorf("%d failures", l.failures)
		}
	})
}
