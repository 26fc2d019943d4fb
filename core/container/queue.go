package container

// A Queue is a bounded priority queue. Rank 0 has the highest priority, and values
// of the same rank leave in the order in which they were pushed. The zero value
// has capacity 0.
type Queue[T any] struct {
	// levels is indexed by rank; size is the sum of their lengths. It exceeds
	// capacity only after Resize reduced it.
	levels   [][]T
	size     int
	capacity int
}

// NewQueue returns a Queue of the given capacity with ranks 0 to ranks-1.
func NewQueue[T any](capacity, ranks int) *Queue[T] {
	return &Queue[T]{levels: make([][]T, max(ranks, 1)), capacity: capacity}
}

// Push adds v at rank. When the queue is full, it evicts and returns the newest
// value of the lowest priority below that of v, or v itself if there is none.
func (q *Queue[T]) Push(rank int, v T) (evicted T, full bool) {
	rank = min(max(rank, 0), len(q.levels)-1)
	if q.size < q.capacity {
		q.levels[rank] = append(q.levels[rank], v)
		q.size++
		return evicted, false
	}
	for lower := len(q.levels) - 1; lower > rank; lower-- {
		if n := len(q.levels[lower]); n > 0 {
			evicted = q.levels[lower][n-1]
			q.levels[lower] = q.levels[lower][:n-1]
			q.levels[rank] = append(q.levels[rank], v)
			return evicted, true
		}
	}
	return v, true
}

// Pop removes and returns the oldest value of the highest priority.
func (q *Queue[T]) Pop() (v T, ok bool) {
	for rank, level := range q.levels {
		if len(level) == 0 {
			continue
		}
		v = level[0]
		copy(level, level[1:])
		q.levels[rank] = level[:len(level)-1]
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
	for rank := ranks; rank < len(q.levels); rank++ {
		q.levels[ranks-1] = append(q.levels[ranks-1], q.levels[rank]...)
	}
	if len(q.levels) > ranks {
		q.levels = q.levels[:ranks]
	}
	for len(q.levels) < ranks {
		q.levels = append(q.levels, nil)
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
	for lower := len(q.levels) - 1; lower > rank; lower-- {
		if len(q.levels[lower]) > 0 {
			return true
		}
	}
	return false
}

// Ahead returns the number of queued values that would be popped before a new one
// of this rank.
func (q *Queue[T]) Ahead(rank int) int {
	n := 0
	for i := 0; i <= rank && i < len(q.levels); i++ {
		n += len(q.levels[i])
	}
	return n
}

// RemoveIf removes every value for which drop returns true.
func (q *Queue[T]) RemoveIf(drop func(T) bool) {
	for rank, level := range q.levels {
		kept := level[:0]
		for _, v := range level {
			if !drop(v) {
				kept = append(kept, v)
			}
		}
		q.size -= len(level) - len(kept)
		q.levels[rank] = kept
	}
}
