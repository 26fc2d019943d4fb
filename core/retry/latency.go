package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	maxTracked = 60 * time.Second
	// latencyDigits is the number of significant decimal digits of the histograms.
	latencyDigits = 2
	latencySpan   = 5 * time.Second
	refreshAfter  = 50 * time.Millisecond
	// minSamples is the number of samples from which quantiles are computed.
	minSamples = 50
	// fastestSpan is the least time for which a latency counts towards Fastest; an
	// older one does not predict the next. Latencies expire even if no new ones are
	// recorded, because requests that are refused due to Fastest produce none.
	fastestSpan = time.Second
	// At each refresh the base rises towards a higher median by 1/baseWeight of the
	// difference. It follows a change of the service in about a minute.
	baseWeight = 1000
)

// A Latency tracks the quantiles of recent latencies. The zero value is ready to
// use. Its memory is fixed. Quantiles are recomputed when they are read, at most once
// per refreshAfter unless the quantile changes.
type Latency struct {
	// current and previous cover adjacent spans of latencySpan; older samples are
	// dropped.
	current, previous  *hdrhistogram.Histogram
	rotated, refreshed ident.Instant
	// fastest is the least latency since fastestSince, and fastestBefore that of the
	// span before it; 0 for none.
	fastest, fastestBefore time.Duration
	fastestSince           ident.Instant
	quantile               ident.Share
	median, atQuantile     time.Duration
	// base falls to a lower median at once and rises slowly towards a higher one.
	base time.Duration
}

// Record adds one latency. For an attempt that was cancelled it is the time until
// then, a lower bound of the latency.
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
	// Latencies above maxTracked are recorded as maxTracked, so RecordValue does not
	// fail.
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

// rotateFastest starts a new span when the current one is over.
func (l *Latency) rotateFastest(now ident.Instant) {
	switch age := now.Sub(l.fastestSince); {
	case age > 2*fastestSpan:
		l.fastest, l.fastestBefore, l.fastestSince = 0, 0, now
	case age > fastestSpan:
		l.fastest, l.fastestBefore, l.fastestSince = 0, l.fastest, now
	}
}

// Fastest returns the least latency of the current and the previous fastestSpan; 0 if
// there was none. A request with less time left than that is not expected to finish.
func (l *Latency) Fastest(now ident.Instant) time.Duration {
	l.rotateFastest(now)
	if l.fastest == 0 || (l.fastestBefore > 0 && l.fastestBefore < l.fastest) {
		return l.fastestBefore
	}
	return l.fastest
}

// Base returns an estimate of the median without queueing; 0 while there are too
// few samples.
func (l *Latency) Base(now ident.Instant) time.Duration {
	l.refresh(now, l.quantile)
	return l.base
}

// Quantile returns the latency at q; 0 while there are too few samples.
func (l *Latency) Quantile(now ident.Instant, q ident.Share) time.Duration {
	l.refresh(now, q)
	return l.atQuantile
}

// refresh recomputes the median, the quantile q and the base if they are outdated.
// It uses the previous span while the current one has too few samples.
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
