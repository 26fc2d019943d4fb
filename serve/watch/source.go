package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
)

// maxRetryDelay limits the delay between two calls while the store fails: a change must
// be in force within seconds after the store responds again.
const maxRetryDelay = time.Second

// watchWait is how long a watch waits for changes. The store allows 30 s and keeps its
// history for 20 s.
const watchWait = 15 * time.Second

// coalesceDelay is the pause between a change and the next watch, so that changes in
// quick succession cost one call. It is a tenth of the time within which a change must
// be in force.
const coalesceDelay = 300 * time.Millisecond

// A Source lists the objects of a kind and waits for their changes.
type Source[T any] interface {
	Kind() string
	List(ctx context.Context) (platform.Listing[T], error)
	// Changes waits for changes after a version, and returns them with the version to
	// continue from. It returns no changes if there are none within wait.
	Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error)
}

// A Probeable source also has a call that checks for changes at a fraction of the cost
// of the others.
type Probeable[T any] interface {
	Source[T]
	// Look reports whether there are changes after a version. It may miss those of the
	// last seconds, and costs a tenth of a call. With version 0 it only checks that the
	// store responds.
	Look(ctx context.Context, after platform.StoreVersion) (changed bool, err error)
}

// A Handler receives the objects and changes of a source. Its functions must not block
// for long.
type Handler[T any] struct {
	// Listed receives all objects of the source.
	Listed func(ctx context.Context, items []platform.Change[T])
	// Changed receives the changes since the last call; it may receive none.
	Changed func(ctx context.Context, changes []platform.Change[T])
	// Failed receives the error of each failed call, except for dropped history.
	Failed func(ctx context.Context, kind string, err error)
}

// Follow lists a source and then passes its changes to the handler until the context is
// done.
func Follow[T any](ctx context.Context, source Source[T], handler Handler[T]) {
	backoff := platform.Backoff{MaxDelay: maxRetryDelay}
	p := position{}
	for ctx.Err() == nil {
		err := step(ctx, source, handler, &p)
		if err == nil {
			backoff.Reset()
			continue
		}
		p.caughtUp = false
		var e *platform.Error
		if errors.As(err, &e) && e.Kind == platform.Compacted {
			// The store dropped the history but holds the objects: list them again.
			p.listed = false
			clock.Sleep(ctx, coalesceDelay)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		handler.Failed(ctx, source.Kind(), err)
		var w *Error
		if errors.As(err, &w) {
			// No delay is needed: if the store is still silent, the next call waits for it.
			continue
		}
		clock.Sleep(ctx, backoff.Next(rand.Float64()))
	}
}

// A position is the point up to which a source was followed.
type position struct {
	version platform.StoreVersion
	listed  bool
	// caughtUp is false from a failed call until one succeeds. Until then calls do not
	// wait for changes, so that the recovery of the source is detected at once.
	caughtUp bool
}

// step lists the source or waits for changes once, and updates the position.
func step[T any](ctx context.Context, source Source[T], handler Handler[T], p *position) error {
	if !p.listed {
		l, err := source.List(ctx)
		if err != nil {
			return err
		}
		handler.Listed(ctx, l.Items)
		*p = position{version: l.Version, listed: true, caughtUp: true}
		return nil
	}
	wait := watchWait
	if !p.caughtUp {
		wait = 0
	}
	changes, version, err := source.Changes(ctx, p.version, wait)
	if err != nil {
		return err
	}
	handler.Changed(ctx, changes)
	p.version, p.caughtUp = version, true
	if len(changes) > 0 {
		clock.Sleep(ctx, coalesceDelay)
	}
	return nil
}
