package mirror

import (
	"math"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
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

// maxListingAge is the age, in maximum ages, beyond which all objects of a VM that is no
// mirror are not used. Changes follow a listing, which takes its time if it is large.
const maxListingAge = 2

// isTooOld reports whether a reply must not be used because its objects exceed the maximum
// age: one with nothing new, or all objects of a VM that is no mirror of this one.
func (r *Reader[T]) isTooOld(reply vmReply) bool {
	a, q := reply.answer, reply.question
	switch {
	case a.Outcome != OK:
		return false
	case q.After == 0 && q.Disconnected:
		return r.MaxAge > 0 && -a.Confirmed > maxListingAge*r.maxAge()
	case len(a.Changes) > 0:
		return false
	}
	left, limited := r.timeLeft(reply.asked.Add(a.Confirmed))
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
// exceed the maximum age during a pause, unless the store has just failed to serve this VM.
func (r *Reader[T]) RetryWithin() time.Duration {
	left, limited := r.timeLeft(r.cache.ConfirmedAt())
	if !limited {
		return math.MaxInt64
	}
	return max(left, overdueRetryInterval-r.time().Sub(r.storeFailedAt), minRetryDelay)
}

// Confirm records that the store had no other objects at a time, if this VM reads the store
// itself. It may be called from several goroutines.
func (r *Reader[T]) Confirm(at time.Time) { r.cache.ConfirmFromStore(at) }

// Freshness describes the objects that a Reader holds.
type Freshness struct {
	Version platform.StoreVersion
	// Age is the time since the store is known to have had no other objects; negative
	// without any objects.
	Age time.Duration
	// Path holds the VMs through which the objects came, nearest first; none if they came
	// from the store.
	Path []ident.VMID
}

// Freshness describes the objects that the reader holds. It may be called from several
// goroutines.
func (r *Reader[T]) Freshness() Freshness { return r.cache.freshness(r.time()) }

// ConfirmFromStore records that the store had no other objects at a time, if this VM reads
// the store itself.
func (c *Cache[T]) ConfirmFromStore(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected && len(c.path) == 0 && c.confirm(at) {
		c.updated.Broadcast()
	}
}

// confirm advances confirmedAt and reports whether it did. The lock must be held.
func (c *Cache[T]) confirm(at time.Time) bool {
	if !at.After(c.confirmedAt) {
		return false
	}
	c.confirmedAt = at
	return true
}

// ConfirmedAt returns the latest time at which the store is known to have had no other
// objects; zero if nothing was read yet.
func (c *Cache[T]) ConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// freshness describes the objects at a time.
func (c *Cache[T]) freshness(now time.Time) Freshness {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := Freshness{Version: c.version, Age: -1, Path: c.path}
	if !c.confirmedAt.IsZero() {
		f.Age = now.Sub(c.confirmedAt)
	}
	return f
}
