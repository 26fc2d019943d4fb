package watch

import (
	"context"
	"errors"
	"fmt"
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

// An Urgent source limits the pause after a read that failed.
type Urgent interface {
	RetryWithin() time.Duration
}

// A Handler receives the objects and changes of a source. Its functions must not block
// for long.
type Handler[T any] struct {
	// Listed receives all objects of the source.
	Listed func(ctx context.Context, items []platform.Change[T])
	// Changed receives the changes since the last call; it may receive none.
	Changed func(ctx context.Context, changes []platform.Change[T])
	// Restored, if not nil, is called before the first objects or changes that were read
	// after the store came back from a copy: objects that are missing may be written again.
	Restored func(ctx context.Context)
	// Failed receives the error of each failed call, except for dropped history.
	Failed func(ctx context.Context, kind string, err error)
}

// Follow lists a source and then passes its changes to the handler until the context is
// done.
func Follow[T any](ctx context.Context, source Source[T], handler Handler[T]) {
	backoff := platform.Backoff{MaxDelay: maxRetryDelay}
	f := Follower[T]{Source: source, Handler: handler}
	for ctx.Err() == nil {
		changed, err := f.Step(ctx)
		var e *platform.Error
		var silent *Error
		switch {
		case ctx.Err() != nil:
		case err == nil:
			backoff.Reset()
			if changed {
				clock.Sleep(ctx, coalesceDelay)
			}
		case errors.As(err, &e) && e.Kind == platform.Compacted:
			clock.Sleep(ctx, urgent(source, coalesceDelay))
		case errors.As(err, &silent):
			// No delay is needed: if the store is still silent, the next call waits for it.
		default:
			clock.Sleep(ctx, urgent(source, backoff.Next(rand.Float64())))
		}
	}
}

// urgent returns the pause after a failed read, which an Urgent source may shorten.
func urgent[T any](source Source[T], delay time.Duration) time.Duration {
	if u, ok := source.(Urgent); ok {
		return min(delay, u.RetryWithin())
	}
	return delay
}

// A Follower follows a source one call at a time. Source and Handler must be set.
type Follower[T any] struct {
	Source  Source[T]
	Handler Handler[T]
	// version is the point up to which the source was followed.
	version platform.StoreVersion
	listed  bool
	// caughtUp is false from a failed call until one succeeds. Until then calls do not
	// wait for changes, so that the recovery of the source is detected at once.
	caughtUp bool
}

// Version returns the version up to which the source was followed; 0 before the first
// listing.
func (f *Follower[T]) Version() platform.StoreVersion { return f.version }

// State describes the position, for comparisons in tests.
func (f *Follower[T]) State() string {
	return fmt.Sprint(f.version, f.listed, f.caughtUp)
}

// Step lists the source or waits for changes once, passes the result to the handler and
// reports whether there were changes.
func (f *Follower[T]) Step(ctx context.Context) (changed bool, err error) {
	if !f.listed {
		err = f.list(ctx)
	} else {
		changed, err = f.awaitChanges(ctx)
	}
	if err == nil {
		f.caughtUp = true
		return changed, nil
	}
	f.caughtUp = false
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.Compacted {
		// The store dropped the history but holds the objects: list them again.
		f.listed = false
		return false, err
	}
	if ctx.Err() == nil {
		f.Handler.Failed(ctx, f.Source.Kind(), err)
	}
	return false, err
}

func (f *Follower[T]) list(ctx context.Context) error {
	l, err := f.Source.List(ctx)
	if err != nil {
		return err
	}
	f.noteEra(ctx, l.Version)
	f.Handler.Listed(ctx, l.Items)
	f.version, f.listed = l.Version, true
	return nil
}

// noteEra calls Handler.Restored if a version is of a later era than the last one.
func (f *Follower[T]) noteEra(ctx context.Context, version platform.StoreVersion) {
	if f.version > 0 && version.Era() > f.version.Era() && f.Handler.Restored != nil {
		f.Handler.Restored(ctx)
	}
}

func (f *Follower[T]) awaitChanges(ctx context.Context) (changed bool, err error) {
	wait := watchWait
	if !f.caughtUp {
		wait = 0
	}
	changes, version, err := f.Source.Changes(ctx, f.version, wait)
	if err != nil {
		return false, err
	}
	f.noteEra(ctx, version)
	f.Handler.Changed(ctx, changes)
	f.version = version
	return len(changes) > 0, nil
}
