package container

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Number is a type that a Window can sum.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

const windowBuckets = 8

// A Window sums values over the last Span, in eighths of it. The zero value
// sums over one second.
type Window[N Number] struct {
	// Span is the time that the sum covers; zero means one second.
	Span time.Duration
	// Buckets[epoch%windowBuckets] belongs to epoch; older ones are cleared.
	buckets [windowBuckets]N
	epoch   int64
}

func (w *Window[N]) advance(now ident.Instant) {
	span := w.Span
	if span == 0 {
		span = time.Second
	}
	epoch := int64(now) / (int64(span) / windowBuckets)
	steps := min(epoch-w.epoch, windowBuckets)
	for i := int64(1); i <= steps; i++ {
		w.buckets[(w.epoch+i)%windowBuckets] = 0
	}
	if steps == windowBuckets {
		clear(w.buckets[:])
	}
	w.epoch = max(w.epoch, epoch)
}

// Add adds n at now.
func (w *Window[N]) Add(now ident.Instant, n N) {
	w.advance(now)
	w.buckets[w.epoch%windowBuckets] += n
}

// Sum returns the sum over the last Span.
func (w *Window[N]) Sum(now ident.Instant) N {
	w.advance(now)
	var sum N
	for _, b := range w.buckets {
		sum += b
	}
	return sum
}
