package mirror

import (
	"math"
	"time"
)

const (
	// maxAgeSpread is the part of MaxAge by which the limit of the last VM in the order
	// exceeds that of the first one, so that VMs that others read through call the store
	// before those.
	maxAgeSpread = 0.2
	// minRetryDelay is the least pause after a failed read.
	minRetryDelay = 50 * time.Millisecond
)

// maxAge returns the age beyond which this VM calls the store, or 0 without a limit.
func (r *Reader[T]) maxAge() time.Duration {
	if r.MaxAge == 0 {
		return 0
	}
	before, vms := r.selector.Position()
	return r.MaxAge + time.Duration(maxAgeSpread*float64(r.MaxAge)*float64(before)/float64(max(vms, 1)))
}

// timeLeft returns the time until objects that the store confirmed at a time reach the
// maximum age; limited is false if they have none.
func (r *Reader[T]) timeLeft(confirmedAt time.Time) (left time.Duration, limited bool) {
	limit := r.maxAge()
	if limit == 0 {
		return 0, false
	}
	return limit - r.time().Sub(confirmedAt), true
}

// isOverdue reports whether the objects of this VM exceed the maximum age.
func (r *Reader[T]) isOverdue() bool {
	left, limited := r.timeLeft(r.cache.ConfirmedAt())
	return limited && left <= 0
}

// isTooOld reports whether an answer with nothing new must not be used, because its objects
// exceed the maximum age.
func (r *Reader[T]) isTooOld(a Answer[[]byte], asked time.Time) bool {
	if a.Outcome != OK || len(a.Changes) > 0 {
		return false
	}
	left, limited := r.timeLeft(asked.Add(a.Confirmed))
	return limited && left <= 0
}

// limitWait shortens a wait for changes, and the time for the answer, so that the wait ends
// when the objects of this VM reach the maximum age. It does not end before: the VM would ask
// again and again until then.
func (r *Reader[T]) limitWait(wait, timeout time.Duration) (time.Duration, time.Duration) {
	left, limited := r.timeLeft(r.cache.ConfirmedAt())
	if !limited || left >= timeout {
		return wait, timeout
	}
	wait = min(wait, max(left, 0))
	return wait, min(timeout, wait+immediateAnswerTimeout)
}

// RetryWithin returns the longest pause after a read that failed: the objects must not
// exceed the maximum age during a pause, unless the store does not serve this VM.
func (r *Reader[T]) RetryWithin() time.Duration {
	left, limited := r.timeLeft(r.cache.ConfirmedAt())
	if !limited || r.time().Sub(r.storeFailedAt) < storeRetryInterval {
		return math.MaxInt64
	}
	return max(left, minRetryDelay)
}
