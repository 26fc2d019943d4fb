package mirror

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/platform"
)

// listHedgeDelay is how long the store may take to list its objects before other VMs are
// asked too.
const listHedgeDelay = 300 * time.Millisecond

// listAhead returns all objects of the VM that does not hold the history asked for, if it
// answers: it has a path, and has restarted or is far ahead.
func (r *Reader[T]) listAhead(ctx context.Context) (platform.Listing[T], bool) {
	m := r.ahead
	if m.VM == "" {
		return platform.Listing[T]{}, false
	}
	r.ahead = Member{}
	return r.listOther(ctx, m)
}

// listOther returns all objects of a VM that is no mirror of this one, if it answers.
func (r *Reader[T]) listOther(ctx context.Context, m Member) (platform.Listing[T], bool) {
	l, origin, result := r.askListing(ctx, m, Question{Kind: r.Kind(), Disconnected: true})
	if result != accepted {
		return platform.Listing[T]{}, false
	}
	r.cache.MarkDisconnected()
	r.cache.SetListingWhileDisconnected(l, origin)
	r.recordAnswer(origin.Path)
	return l, true
}

// listStoreOrOthers lists the store, unless it is the turn of other VMs to call it, and asks
// other VMs if the store fails or, with a maximum age, does not respond soon.
func (r *Reader[T]) listStoreOrOthers(ctx context.Context, responded bool) (platform.Listing[T], error) {
	if !r.mayCallStore(responded) {
		r.outages.current.Deferred++
		r.cache.MarkDisconnected()
		if l, ok := r.listOthers(ctx, nil); ok {
			return l, nil
		}
		return platform.Listing[T]{}, noPath()
	}
	calledAt := r.time()
	r.storeCalledAt, r.storeRecoveredAt = calledAt, time.Time{}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	var l platform.Listing[T]
	var err error
	askedOthers := false
	go func() {
		defer close(ended)
		l, err = r.source.List(call)
	}()
	if r.MaxAge > 0 {
		timer := time.NewTimer(listHedgeDelay)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
			askedOthers = true
			if other, ok := r.listOthers(ctx, ended); ok {
				cancel()
				<-ended
				return other, nil
			}
		}
	}
	<-ended
	if err == nil {
		r.cache.SetListing(l, Origin{ConfirmedAt: calledAt})
		r.recordPath()
		r.recordAnswer(nil)
		return l, nil
	}
	r.recordStoreFailure(err)
	r.cache.MarkDisconnected()
	if !askedOthers {
		if other, ok := r.listOthers(ctx, nil); ok {
			return other, nil
		}
	}
	return platform.Listing[T]{}, err
}

// listOthers asks VMs that are no mirrors of this one in turn for all objects, until one
// answers or ended is closed.
func (r *Reader[T]) listOthers(ctx context.Context, ended <-chan struct{}) (platform.Listing[T], bool) {
	for _, m := range r.selector.Others(r.time(), r.relays()) {
		select {
		case <-ended:
			return platform.Listing[T]{}, false
		default:
		}
		if l, ok := r.listOther(ctx, m); ok {
			return l, true
		}
	}
	return platform.Listing[T]{}, false
}
