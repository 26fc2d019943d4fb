package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	maxTracked    = 60 * time.Second
	latencyDigits = 2
	latencySpan   = 5 * time.Second
	refreshAfter  = 50 * time.Millisecond
	minSamples    = 50
	// fastestSpan is how long a latency tells what the next one will be. A request that
	// is refused for it teaches nothing, so what refuses must end by itself.
	fastestSpan = time.Second
	// baseWeight lets the base follow a change of the service in about a minute.
	baseWeight = 1000
)

// A Latency follows the quantiles of recent latencies. The zero value is
// ready. Memory is fixed; quantiles are refreshed a few times a second.
type Latency struct {
	// Current and previous cover adjacent spans; older samples are dropped.
	current, previous  *hdrhistogram.Histogram
	rotated, refreshed ident.Instant
	// Fastest is the least latency since began, and before that, for freshFor.
	fastest, fastestBefore time.Duration
	fastestSince           ident.Instant
	quantile               ident.Share
	median, atQuantile     time.Duration
	// Base follows the lowest medians; it rises slowly.
	base time.Duration
}

// Record adds one latency, or the time after which an attempt was given up: its
// latency is at least that.
func (l *Latency) Record(now ident.Instant, took time.Duration) {
	if l.current == nil {
		l.current, l.previous = newHistogram(), newHistogram()
		l.rotated = now
	}
	l.recordFastest(now, took)
	if now.Sub(l.rotated) > latencySpan {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.rotated = now
	}
	// A value beyond the histogram's range is recorded at its end.
	_ = l.current.RecordValue(int64(min(took, maxTracked) / time.Microsecond))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTracked/time.Microsecond), latencyDigits)
}

// Median returns the median; 0 while there are too few samples.
func (l *Latency) Median(now ident.Instant) time.Duration {
	l.refresh(now, l.quantile)
	return l.median
}

func (l *Latency) recordFastest(now ident.Instant, took time.Duration) {
	l.rotateFastest(now)
	if l.fastest == 0 || took < l.fastest {
		l.fastest = took
	}
}

func (l *Latency) rotateFastest(now ident.Instant) {
	switch age := now.Sub(l.fastestSince); {
	case age > 2*fastestSpan:
		l.fastest, l.fastestBefore, l.fastestSince = 0, 0, now
	case age > fastestSpan:
		l.fastest, l.fastestBefore, l.fastestSince = 0, l.fastest, now
	}
}

// Fastest returns the least latency of the last seconds, 0 if there was none: less
// than that is surely not enough.
func (l *Latency) Fastest(now ident.Instant) time.Duration {
	l.rotateFastest(now)
	if l.fastest == 0 || (l.fastestBefore > 0 && l.fastestBefore < l.fastest) {
		return l.fastestBefore
	}
	return l.fastest
}

// Base returns the median without queueing; 0 while there are too few samples.
func (l *Latency) Base(now ident.Instant) time.Duration {
	l.refresh(now, l.quantile)
	return l.base
}

// Quantile returns the latency at q; 0 while there are too few samples.
func (l *Latency) Quantile(now ident.Instant, q ident.Share) time.Duration {
	l.refresh(now, q)
	return l.atQuantile
}

func (l *Latency) refresh(now ident.Instant, q ident.Share) {
	if l.current == nil || (now.Sub(l.refreshed) < refreshAfter && q == l.quantile) {
		return
	}
	l.refreshed, l.quantile = now, q
	h := l.current
	if h.TotalCount() < minSamples {
		h = l.previous
	}
	if h.TotalCount() < minSamples {
		return
	}
	l.median = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	l.atQuantile = time.Duration(h.ValueAtQuantile(float64(q)*100)) * time.Microsecond
	if l.base == 0 || l.median < l.base {
		l.base = l.median
	}
	l.base += (l.median - l.base) / baseWeight
}
