package container

// A Queue is a bounded priority queue: lower rank leaves first, and within a
// rank the order is first in, first out. The zero value has no room.
type Queue[T any] struct {
	// Lanes are indexed by rank; their lengths sum to size, at most room.
	lanes [][]T
	size  int
	room  int
}

// NewQueue returns a Queue of the given room over ranks 0 to ranks-1.
func NewQueue[T any](room, ranks int) *Queue[T] {
	return &Queue[T]{lanes: make([][]T, max(ranks, 1)), room: room}
}

// Push adds v at rank. When the queue is full it evicts the newest value of a
// lower priority and returns it; with none, v itself is returned as evicted.
func (q *Queue[T]) Push(rank int, v T) (evicted T, full bool) {
	rank = min(max(rank, 0), len(q.lanes)-1)
	if q.size < q.room {
		q.lanes[rank] = append(q.lanes[rank], v)
		q.size++
		return evicted, false
	}
	for worst := len(q.lanes) - 1; worst > rank; worst-- {
		if n := len(q.lanes[worst]); n > 0 {
			evicted = q.lanes[worst][n-1]
			q.lanes[worst] = q.lanes[worst][:n-1]
			q.lanes[rank] = append(q.lanes[rank], v)
			return evicted, true
		}
	}
	return v, true
}

// Pop removes the first value of the highest priority.
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

// Resize sets the room and the number of ranks, and keeps the order. Values
// beyond the room stay until they are popped.
func (q *Queue[T]) Resize(room, ranks int) {
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
	q.room = room
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return q.size }

// CanPush reports whether Push at this rank would queue its value.
func (q *Queue[T]) CanPush(rank int) bool {
	if q.size < q.room {
		return true
	}
	for worst := len(q.lanes) - 1; worst > rank; worst-- {
		if len(q.lanes[worst]) > 0 {
			return true
		}
	}
	return false
}

// Ahead returns the number of queued values that leave before a new one of
// this rank.
func (q *Queue[T]) Ahead(rank int) int {
	n := 0
	for i := 0; i <= rank && i < len(q.lanes); i++ {
		n += len(q.lanes[i])
	}
	return n
}

// RemoveIf drops every value for which drop returns true.
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
