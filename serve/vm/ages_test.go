package vm

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

// A stillStore is a source with one object. Its watches return nothing until release is
// closed.
type stillStore struct {
	behind  bool
	release chan struct{}
}

func (s *stillStore) Kind() string { return "things" }

func (s *stillStore) Look(context.Context, platform.StoreVersion) (bool, error) {
	return s.behind, nil
}

func (s *stillStore) List(context.Context) (platform.Listing[[]byte], error) {
	return platform.Listing[[]byte]{Version: 3}, nil
}

func (s *stillStore) Changes(ctx context.Context, after platform.StoreVersion, _ time.Duration) ([]platform.Change[[]byte], platform.StoreVersion, error) {
	select {
	case <-s.release:
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// newObservedReader returns a VM that reads a store, and its reader.
func newObservedReader(store *stillStore, lines *logBuffer) (*VM, *mirror.Reader[[]byte]) {
	self := mirror.Member{VM: "vm-0", Zone: "z"}
	v := &VM{log: zerolog.New(lines), discovery: &Discovery{ApplyWithin: 4 * time.Second}}
	v.mirrors = &mirrors{
		prober: &watch.Prober{}, selector: mirror.NewSelector(self, nil), clock: &clock.Continuous{},
		answerFuncs: map[string]func(context.Context, mirror.Question) mirror.Answer[[]byte]{},
		monitors:    map[string]*kindMonitor{},
	}
	v.mirrors.selector.AlwaysReadStore()
	same := func(b []byte) ([]byte, error) { return b, nil }
	return v, newReader(v, v.mirrors, store, probedInTurn, mirror.Codec[[]byte]{Marshal: same, Unmarshal: same})
}

// TestOverdueObjectsAreLoggedDuringARead guards against a VM that holds old objects without
// any line about it, because it waits for an answer meanwhile.
func TestOverdueObjectsAreLoggedDuringARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		lines, store := &logBuffer{}, &stillStore{release: make(chan struct{})}
		v, r := newObservedReader(store, lines)
		before := v.mirrors.vars()["things"]
		if before.Age != -1 || before.GreatestAge != 0 {
			t.Errorf("without objects, the metrics have %+v", before)
		}
		if _, err := r.List(ctx); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{}, 2)
		go func() { v.monitorAges(ctx); ended <- struct{}{} }()
		go func() { _, _, _ = r.Changes(ctx, 3, time.Minute); ended <- struct{}{} }()
		time.Sleep(1900 * time.Millisecond)
		if got := lines.events(t, "objects-overdue"); len(got) > 0 {
			t.Errorf("logged below half of the time for a change: %v", got)
		}
		time.Sleep(3*time.Second + 50*time.Millisecond)
		expectLine(t, lines.events(t, "objects-overdue"), map[string]any{
			"level": "warn", "kind": "things", "version": 3, "age-ms": 2500, "path": "[]",
		})
		if got := lines.events(t, "objects-current"); len(got) > 0 {
			t.Errorf("the span ended early: %v", got)
		}
		close(store.release)
		<-ended
		r.Confirm(v.mirrors.clock.Now())
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-ended
		expectLine(t, lines.events(t, "objects-current"), map[string]any{
			"level": "info", "kind": "things", "lasted-ms": 3000, "greatest-age-ms": 4500,
		})
		after := v.mirrors.vars()["things"]
		if after.OverdueSpans != 1 || after.GreatestAge != 4500 || after.Age != 100 || after.Version != 3 {
			t.Errorf("the metrics have %+v", after)
		}
	})
}

// TestOverdueSpansAreReportedOnce checks the spans of a series of ages.
func TestOverdueSpansAreReportedOnce(t *testing.T) {
	const limit = 2 * time.Second
	var s overdueSpans
	var began, lasted []time.Duration
	for i, age := range []time.Duration{-1, 0, 2, 3, 4, 3, 2, 1, 3, 0} {
		at := time.Duration(i) * time.Second
		event, span := s.observe(time.Unix(0, 0).Add(at), age*time.Second, limit)
		switch event {
		case spanBegan:
			began = append(began, at)
		case spanEnded:
			lasted = append(lasted, span.lasted)
		case noEvent:
		}
	}
	if !slices.Equal(began, []time.Duration{3 * time.Second, 8 * time.Second}) ||
		!slices.Equal(lasted, []time.Duration{4 * time.Second, 2 * time.Second}) || s.count != 2 || s.greatestAge != 4*time.Second {
		t.Errorf("began at %v, lasted %v, state %+v", began, lasted, s)
	}
}

// BenchmarkAgeCheck measures one check of the age of five kinds.
func BenchmarkAgeCheck(b *testing.B) {
	v, r := newObservedReader(&stillStore{}, &logBuffer{})
	monitor := v.mirrors.monitors[r.Kind()]
	for i := range 4 {
		kind := r.Kind() + strconv.Itoa(i)
		v.mirrors.monitors[kind] = &kindMonitor{kind: kind, freshness: monitor.freshness}
	}
	b.ReportAllocs()
	for b.Loop() {
		v.checkAges(v.mirrors.clock.Now())
	}
}
