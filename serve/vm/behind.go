package vm

import (
	"context"
	"errors"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/watch"
)

// An observedSource reports the watches of a source that were ended because the store had
// changes that they did not return.
type observedSource[T any] struct {
	watch.Source[T]
	// behind is called with the kind and the version after which changes were missed.
	behind func(kind string, after platform.StoreVersion)
}

// Changes waits for changes after a version.
func (s observedSource[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error) {
	changes, version, err := s.Source.Changes(ctx, after, wait)
	if isBehind(err) {
		s.behind(s.Kind(), after)
	}
	return changes, version, err
}

func (v *VM) logWatchBehind(kind string, after platform.StoreVersion) {
	v.log.Warn().Str("kind", kind).Uint64("version", uint64(after)).Msg("watch-behind")
}

// isBehind reports whether a watch was ended because the store had changes that it did not
// return. The store serves this VM then.
func isBehind(err error) bool {
	var e *watch.Error
	return errors.As(err, &e) && e.Kind == watch.Behind
}
