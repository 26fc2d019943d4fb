package watch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/watch"
)

// A listStore counts the reads of the list of VMs, which fail while it is down.
type listStore struct {
	platform.Store
	down  atomic.Bool
	reads atomic.Int64
}

func (s *listStore) VMs(context.Context) ([]platform.ListedVM, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return nil, errors.New("down")
	}
	return nil, nil
}

// A listListener counts the lists of VMs.
type listListener struct{ lists atomic.Int64 }

func (l *listListener) VMsListed([]platform.ListedVM)          { l.lists.Add(1) }
func (l *listListener) ConfigurationRead(config.Configuration) {}
func (l *listListener) PlatformFailed(string)                  {}
func (l *listListener) ConfigurationInForce(context.Context) config.Configuration {
	return config.Configuration{}
}

// TestListOfVMsIsNotReadMoreOftenWhileTheStoreIsDown checks that a VM that has a list of VMs
// does not read the next one more often while the store is down, and reads it soon after.
// A VM without a list tries each second.
func TestListOfVMsIsNotReadMoreOftenWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, listener := &listStore{}, &listListener{}
		store.down.Store(true)
		w := watch.Watcher{Store: store, Listener: listener, MaxListInterval: 10 * time.Second}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { w.PollVMs(ctx); close(ended) }()
		time.Sleep(5 * time.Second)
		if n := store.reads.Load(); n < 5 {
			t.Errorf("%d reads in 5 s without a list", n)
		}
		store.down.Store(false)
		time.Sleep(time.Minute)
		store.down.Store(true)
		store.reads.Store(0)
		time.Sleep(time.Minute)
		if n := store.reads.Load(); n > 13 {
			t.Errorf("%d reads in a minute while the store is down, expected at most 13", n)
		}
		store.down.Store(false)
		listener.lists.Store(0)
		time.Sleep(10 * time.Second)
		if listener.lists.Load() == 0 {
			t.Error("no list 10 s after the return of the store")
		}
		cancel()
		<-ended
	})
}
