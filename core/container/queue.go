package container

// A Queue is a bounded priority queue. Rank 0 has the highest priority, and values
// of the same rank leave in the order in which they were pushed. The zero value
// has capacity 0.
type Queue[T any] struct {
	// lanes is indexed by rank; size is the sum of their lengths. It exceeds
	// capacity only after Resize reduced it.
	lanes    [][]T
	size     int
	capacity int
}

// NewQueue returns a Queue of the given capacity with ranks 0 to ranks-1.
func NewQueue[T any](capacity, ranks int) *Queue[T] {
	return &Queue[T]{lanes: make([][]T, max(ranks, 1)), capacity: capacity}
}

// Push adds v at rank. When the queue is full, it evicts and returns the newest
// value of the lowest priority below that of v, or v itself if there is none.
func (q *Queue[T]) Push(rank int, v T) (evicted T, full bool) {
	rank = min(max(rank, 0), len(q.lanes)-1)
	if q.size < q.capacity {
		q.lanes[rank] = append(q.lanes[rank], v)
		q.size++
		return evicted, false
	}
	for lower := len(q.lanes) - 1; lower > rank; lower-- {
		if n := len(q.lanes[lower]); n > 0 {
			evicted = q.lanes[lower][n-1]
			q.lanes[lower] = q.lanes[lower][:n-1]
			q.lanes[rank] = append(q.lanes[rank], v)
			return evicted, true
		}
	}
	return v, true
}

// Pop removes and returns the oldest value of the highest priority.
func (q *Queue[T]) Pop() (v T, ok bool) {
	for rank, lane := range q.lanes {
		if len(lane) == 0 {
			continue
		}
		v = lane[0]
		copy(lane, lane[1:])
		q.lanes[rank] = lane[:len(lane)-1]
		q.size--
		return v, true
	}
	return v, false
}

// Resize sets the capacity and the number of ranks, and keeps the order. Values of
// removed ranks move to the last rank; values beyond the capacity stay until they
// are popped.
func (q *Queue[T]) Resize(capacity, ranks int) {
	ranks = max(ranks, 1)
	for rank := ranks; rank < len(q.lanes); rank++ {
		q.lanes[ranks-1] = append(q.lanes[ranks-1], q.lanes[rank]...)
	}
	if len(q.lanes) > ranks {
		q.lanes = q.lanes[:ranks]
	}
	for len(q.lanes) < ranks {
		q.lanes = append(q.lanes, nil)
	}
	q.capacity = capacity
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return q.size }

// CanPush reports whether Push at this rank would add its value.
func (q *Queue[T]) CanPush(rank int) bool {
	if q.size < q.capacity {
		return true
	}
	for lower := len(q.lanes) - 1; lower > rank; lower-- {
		if len(q.lanes[lower]) > 0 {
			return true
		}
	}
	return false
}

// Ahead returns the number of queued values that would be popped before a new one
// of this rank.
func (q *Queue[T]) Ahead(rank int) int {
	n := 0
	for i := 0; i <= rank && i < len(q.lanes); i++ {
		n += len(q.lanes[i])
	}
	return n
}

// RemoveIf removes every value for which drop returns true.
func (q *Queue[T]) RemoveIf(drop func(T) bool) {
	for rank, lane := range q.lanes {
		kept := lane[:0]
		for _, v := range lane {
			if !drop(v) {
				kept = append(kept, v)
			}
		}
		q.size -= len(lane) - len(kept)
		q.lanes[rank] = kept
	}
}
