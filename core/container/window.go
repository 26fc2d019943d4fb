package container

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Number is a type that a Window can sum.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// windowBuckets is the number of buckets that divide the span of a Window.
const windowBuckets = 8

// A Window is a sliding-window sum: it sums the values added during the last Span,
// with a resolution of one eighth of Span. The zero value sums over one second.
type Window[N Number] struct {
	// Span is the duration that the sum covers; zero means one second.
	Span time.Duration
	// buckets[epoch%windowBuckets] is the sum of epoch, where an epoch lasts one
	// eighth of Span.
	buckets [windowBuckets]N
	epoch   int64
}

// advance moves to the epoch of now and clears the buckets of the epochs since the
// last call.
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

// Add adds n to the sum at now.
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
