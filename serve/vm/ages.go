package vm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/mirror"
)

const (
	ageCheckInterval = 500 * time.Millisecond
	// overdueFraction is the part of Discovery.ApplyWithin beyond which the age of objects is
	// logged. It exceeds the age at which the readers call the store.
	overdueFraction = 0.5
)

// A kindMonitor observes the objects of one kind for the log and the metrics. Its fields but
// spans must be set before it is used. Its methods may be called from several goroutines.
type kindMonitor struct {
	kind        string
	freshness   func() mirror.Freshness
	pathChanges atomic.Uint64

	mu    sync.Mutex
	spans overdueSpans
}

// observe adds the current age of the objects to the spans.
func (m *kindMonitor) observe(now time.Time, limit time.Duration) (mirror.Freshness, overdueEvent, overdueSpan) {
	f := m.freshness()
	m.mu.Lock()
	defer m.mu.Unlock()
	event, span := m.spans.observe(now, f.Age, limit)
	return f, event, span
}

// An overdueSpan is a time in which the objects of a kind exceeded an age.
type overdueSpan struct {
	lasted, greatestAge time.Duration
}

// An overdueEvent is what an observed age begins or ends.
type overdueEvent uint8

const (
	noEvent overdueEvent = iota
	spanBegan
	spanEnded
)

// overdueSpans finds the spans in which the objects of a kind exceed an age. The zero value
// is ready to use.
type overdueSpans struct {
	// count includes a span that has not ended.
	count int
	// greatestAge is the greatest age that was observed.
	greatestAge time.Duration
	// since is when the current span began; zero outside a span.
	since time.Time
	// greatestInSpan is the greatest age that was observed in the current span.
	greatestInSpan time.Duration
}

// observe adds an age; a negative one means that there are no objects yet. It returns the
// event and, if a span ended, the span.
func (s *overdueSpans) observe(now time.Time, age, limit time.Duration) (overdueEvent, overdueSpan) {
	s.greatestAge = max(s.greatestAge, age)
	switch {
	case age > limit && s.since.IsZero():
		s.count++
		s.since, s.greatestInSpan = now.Add(limit-age), age
		return spanBegan, overdueSpan{}
	case age > limit:
		s.greatestInSpan = max(s.greatestInSpan, age)
	case !s.since.IsZero():
		ended := overdueSpan{now.Sub(s.since), s.greatestInSpan}
		s.since, s.greatestInSpan = time.Time{}, 0
		return spanEnded, ended
	}
	return noEvent, overdueSpan{}
}

// monitorAges logs when the objects of a kind become older than overdueFraction allows, and
// when they no longer are. It does not wait for the readers, which may be blocked meanwhile.
func (v *VM) monitorAges(ctx context.Context) {
	ticker := time.NewTicker(ageCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			v.checkAges(v.mirrors.clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (v *VM) checkAges(now time.Time) {
	limit := time.Duration(overdueFraction * float64(v.discovery.ApplyWithin))
	for _, m := range v.mirrors.monitors {
		f, event, span := m.observe(now, limit)
		switch event {
		case spanBegan:
			withOrigin(v.log.Warn().Str("kind", m.kind).Uint64("version", uint64(f.Version)), f).Msg("objects-overdue")
		case spanEnded:
			v.log.Info().Str("kind", m.kind).Int64("lasted-ms", span.lasted.Milliseconds()).
				Int64("greatest-age-ms", span.greatestAge.Milliseconds()).Msg("objects-current")
		case noEvent:
		}
	}
}

// A mirrorVar describes the objects of one kind in the metrics.
type mirrorVar struct {
	Version platform.StoreVersion `json:"version"`
	// Age is in milliseconds; negative without any objects.
	Age  int64        `json:"age-ms"`
	Path []ident.VMID `json:"path"`
	// GreatestAge is the greatest age since the start, in milliseconds.
	GreatestAge int64 `json:"greatest-age-ms"`
	// PathChanges and OverdueSpans are counts since the start.
	PathChanges  uint64 `json:"path-changes"`
	OverdueSpans int    `json:"overdue-spans"`
}

// vars returns the metrics of each kind.
func (m *mirrors) vars() map[string]mirrorVar {
	out := make(map[string]mirrorVar, len(m.monitors))
	for kind, monitor := range m.monitors {
		out[kind] = monitor.vars()
	}
	return out
}

func (m *kindMonitor) vars() mirrorVar {
	f := m.freshness()
	m.mu.Lock()
	defer m.mu.Unlock()
	return mirrorVar{
		Version: f.Version, Age: ageMillis(f.Age), Path: f.Path,
		GreatestAge: max(f.Age, m.spans.greatestAge).Milliseconds(),
		PathChanges: m.pathChanges.Load(), OverdueSpans: m.spans.count,
	}
}
