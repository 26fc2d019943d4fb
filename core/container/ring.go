// Package container holds the generic containers of the decision code: a ring,
// a class queue, a windowed counter, a timer heap and a copy-on-write map.
// None of them is safe for use by several goroutines at once, except where a
// type says so.
package container

// A Ring keeps the last values pushed, up to its capacity.
type Ring[T any] struct {
	// Slots never grows past its capacity; next is the slot to overwrite.
	slots []T
	next  int
	size  int
}

// NewRing returns a Ring that keeps the last size values, at least one.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{size: max(size, 1)}
}

// Push adds a value and drops the oldest when the ring is full.
func (r *Ring[T]) Push(v T) {
	if len(r.slots) < max(r.size, 1) {
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
