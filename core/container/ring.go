// Package container provides the generic containers of the decision code: a ring
// buffer, a priority queue, one that is fair among flows, a sliding-window sum, a timer
// heap, a slab with generational handles and a copy-on-write map. They are not safe for
// concurrent use unless the documentation of the type says so.
package container

// A Ring is a ring buffer that keeps the last values pushed, up to its capacity.
type Ring[T any] struct {
	// slots has at most capacity elements; next is the slot to overwrite.
	slots    []T
	next     int
	capacity int
}

// NewRing returns a Ring of the given capacity, at least one.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{capacity: max(capacity, 1)}
}

// Push adds a value and overwrites the oldest one when the ring is full.
func (r *Ring[T]) Push(v T) {
	if len(r.slots) < max(r.capacity, 1) {
		r.slots = append(r.slots, v)
		return
	}
	r.slots[r.next] = v
	r.next = (r.next + 1) % len(r.slots)
}

// Len returns the number of values kept.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Values returns the kept values, oldest first.
func (r *Ring[T]) Values() []T {
	out := make([]T, 0, len(r.slots))
	out = append(out, r.slots[r.next:]...)
	return append(out, r.slots[:r.next]...)
}
