package mirror

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
)

const (
	// firstReaders is the number of VMs in the order of a region that call the store at once
	// if their mirrors are disconnected. If only the first VM lost the store, the others
	// find a mirror again through the next ones.
	firstReaders = 3
	// minTakeoverDelay is the time that the first readers have to list all objects.
	minTakeoverDelay = 200 * time.Millisecond
	// maxTakeoverDelay is the delay of the last VM in the order. With the time to detect a
	// silent store it stays below the time in which a change must be in force.
	maxTakeoverDelay = time.Second
)

// takeoverDelay returns how long this VM waits before it calls the store because its
// mirrors are disconnected. A VM waits longer than the mirrors that it asks, which precede
// it in the order.
func (s *Selector) takeoverDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, n := s.countBefore(s.regionOrder), len(s.regionOrder)
	if s.alwaysReadStore || position < firstReaders || n <= firstReaders {
		return 0
	}
	share := float64(position) / float64(n)
	return minTakeoverDelay + time.Duration(share*float64(maxTakeoverDelay-minTakeoverDelay))
}

// awaitTakeover waits until the mirrors of this VM, if it read from them last, had time to
// find another mirror or the store, and returns those to ask again.
func (r *Reader[T]) awaitTakeover(ctx context.Context) []Member {
	delay := r.selector.takeoverDelay()
	if delay == 0 || r.cache.Version() == 0 || r.cache.fromStore() {
		return nil
	}
	if r.Sleep != nil {
		r.Sleep(ctx, delay)
	} else {
		clock.Sleep(ctx, delay)
	}
	return r.selector.allMirrors()
}

// awaitChanges asks the mirrors for the changes after a version once more, before this VM
// calls the store.
func (r *Reader[T]) awaitChanges(ctx context.Context, after platform.StoreVersion) (Answer[T], bool) {
	for _, m := range r.awaitTakeover(ctx) {
		if a, ok := r.ask(ctx, m, Question{Kind: r.Kind(), After: after}); ok {
			r.selector.readmit(m.VM)
			return a, true
		}
	}
	return Answer[T]{}, false
}

// awaitListing is awaitChanges for all objects.
func (r *Reader[T]) awaitListing(ctx context.Context) (platform.Listing[T], []ident.VMID, bool) {
	for _, m := range r.awaitTakeover(ctx) {
		if l, path, ok := r.askListing(ctx, m, Question{Kind: r.Kind()}); ok {
			r.selector.readmit(m.VM)
			return l, path, true
		}
	}
	return platform.Listing[T]{}, nil, false
}

// readmit ends the exclusion of a VM that answered as a connected mirror.
func (s *Selector) readmit(vm ident.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedUntil, vm)
	delete(s.disconnectedUntil, vm)
}
