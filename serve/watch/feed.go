package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
)

// longestRetry bounds the wait between two calls while the store fails: a change
// must be in force within seconds of the store's return.
const longestRetry = time.Second

// waitForChange is how long a watch waits. The store allows 30 s, and keeps its
// history for 20 s.
const waitForChange = 15 * time.Second

// gatherFor passes after a change before the next watch, so that changes that
// come close together cost one call. It is a tenth of the time within which a
// change must be in force.
const gatherFor = 300 * time.Millisecond

// A Source lists the objects of a kind and waits for their changes.
type Source[T any] interface {
	Kind() string
	List(ctx context.Context) (platform.Listing[T], error)
	// Changes waits for changes after a version and returns none when the wait ends
	// without one.
	Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error)
}

// A Probeable source can also be looked at, for a fraction of the cost of a call.
type Probeable[T any] interface {
	Source[T]
	// Look reports whether there are changes after a version, as the store knew it
	// some seconds ago; 0 only asks for a sign of life. It costs a tenth of a call.
	Look(ctx context.Context, after platform.StoreVersion) (behind bool, err error)
}

// A Handler takes what a source tells. Its methods do not block for long.
type Handler[T any] struct {
	Listed  func(ctx context.Context, items []platform.Change[T])
	Changed func(ctx context.Context, changes []platform.Change[T])
	Failed  func(ctx context.Context, kind string, err error)
}

// Follow lists a source and then follows its changes until the context is done.
func Follow[T any](ctx context.Context, source Source[T], taker Handler[T]) {
	backoff := platform.Backoff{MaxDelay: longestRetry}
	p := place{}
	for ctx.Err() == nil {
		err := step(ctx, source, taker, &p)
		if err == nil {
			backoff.Reset()
			continue
		}
		p.caughtUp = false
		var e *platform.Error
		if errors.As(err, &e) && e.Kind == platform.Compacted {
			// The history is gone, the objects are not.
			p.listed = false
			clock.Sleep(ctx, gatherFor)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		taker.Failed(ctx, source.Kind(), err)
		var w *Error
		if errors.As(err, &w) {
			// The next call waits for the store to come back, or tells at once.
			continue
		}
		clock.Sleep(ctx, backoff.Next(rand.Float64()))
	}
}

// A place is how far a source was followed.
type place struct {
	at     platform.StoreVersion
	listed bool
	// CaughtUp is false until a call has succeeded after one that failed: that call
	// does not wait, so that it is soon known that the source answers again.
	caughtUp bool
}

func step[T any](ctx context.Context, source Source[T], taker Handler[T], p *place) error {
	if !p.listed {
		l, err := source.List(ctx)
		if err != nil {
			return err
		}
		taker.Listed(ctx, l.Items)
		*p = place{at: l.Version, listed: true, caughtUp: true}
		return nil
	}
	wait := waitForChange
	if !p.caughtUp {
		wait = 0
	}
	changes, version, err := source.Changes(ctx, p.at, wait)
	if err != nil {
		return err
	}
	taker.Changed(ctx, changes)
	p.at, p.caughtUp = version, true
	if len(changes) > 0 {
		clock.Sleep(ctx, gatherFor)
	}
	return nil
}
