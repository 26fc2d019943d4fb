package vm

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/watch"
)

// TestWatchBehindIsNotALostDependency guards against a store that seems to be lost while
// only one watch missed a change.
func TestWatchBehindIsNotALostDependency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		lines, store := &logBuffer{}, &stillStore{behind: true}
		v, r := newObservedReader(store, lines)
		d := &dependency{vm: v, kind: "things"}
		ignore := func(context.Context, []platform.Change[[]byte]) {}
		f := watch.Follower[[]byte]{Source: r, Handler: watch.Handler[[]byte]{
			Listed: ignore, Changed: ignore, Failed: func(_ context.Context, _ string, err error) { d.recordFailure(err) },
		}}
		ended := make(chan struct{}, 1)
		go func() { v.mirrors.prober.Run(ctx); ended <- struct{}{} }()
		if _, err := f.Step(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := f.Step(ctx); !isBehind(err) {
			t.Fatalf("the watch ended with %v", err)
		}
		expectLine(t, lines.events(t, "watch-behind"), map[string]any{"level": "warn", "kind": "things", "version": 3})
		if got := lines.events(t, "dependency-lost"); len(got) > 0 {
			t.Errorf("the store serves, but the log has %v", got)
		}
		d.recordFailure(errors.New("refused"))
		if got := lines.events(t, "dependency-lost"); len(got) != 1 {
			t.Errorf("the log has %d lines for a store that refuses", len(got))
		}
		cancel()
		<-ended
	})
}
