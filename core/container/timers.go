package container

import "carawaycross.example/carawaycross/core/ident"

type timer[T any] struct {
	at ident.Instant
	v  T
}

// Timers is a heap of values ordered by the instant at which each is due. The
// zero value is empty and ready for use.
type Timers[T any] struct {
	// heap is a binary min-heap: heap[i].at <= heap[2i+1].at and heap[2i+2].at.
	heap []timer[T]
}

// Add schedules v for the instant.
func (t *Timers[T]) Add(at ident.Instant, v T) {
	t.heap = append(t.heap, timer[T]{at, v})
	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if t.heap[parent].at <= t.heap[i].at {
			return
		}
		t.heap[parent], t.heap[i] = t.heap[i], t.heap[parent]
		i = parent
	}
}

// Next returns the earliest scheduled instant, or ident.Never for an empty heap.
func (t *Timers[T]) Next() ident.Instant {
	if len(t.heap) == 0 {
		return ident.Never
	}
	return t.heap[0].at
}

// Len returns the number of scheduled values.
func (t *Timers[T]) Len() int { return len(t.heap) }

// Pop removes and returns the earliest value if it is due at now.
func (t *Timers[T]) Pop(now ident.Instant) (v T, ok bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return v, false
	}
	v = t.heap[0].v
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer[T]{}
	t.heap = t.heap[:last]
	t.siftDown()
	return v, true
}

// siftDown moves the root down until the heap is ordered again.
func (t *Timers[T]) siftDown() {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if t.heap[child].at < t.heap[least].at {
				least = child
			}
		}
		if least == i {
			return
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}
