package container

import "carawaycross.example/carawaycross/core/ident"

// A FairQueue is a bounded priority queue whose values belong to flows. Rank 0 has the
// highest priority. Within a rank, the flows take turns, as in start-time fair queueing
// (Goyal, Vin and Cheng, 1996) with values of equal cost, and the values of a flow leave
// in the order in which they were pushed. With a single flow and no Floor it behaves as a
// Queue. The zero value has capacity 0.
type FairQueue[K comparable, T any] struct {
	// levels is indexed by rank; size is the sum of their sizes. It exceeds capacity only
	// after Resize reduced it.
	levels   []level[K, T]
	size     int
	capacity int
	floor    Floor
	// popped is the flow of the value that was popped last, poppedRank its rank, until
	// Charge is called; popOwed is true if the pop was due to the floor.
	popped     *flow[K, T]
	poppedRank int
	popOwed    bool
}

// A Floor keeps low ranks from starving. While values of higher ranks wait, those of the
// ranks from 1 to Ranks-1 together get at least Share of the turns, in equal parts for the
// ranks that wait, and each rank an equal part of Share of the capacity. The zero value is
// strict priority.
type Floor struct {
	Share ident.Share
	Ranks int
}

// NewFairQueue returns a FairQueue of the given capacity with ranks 0 to ranks-1.
func NewFairQueue[K comparable, T any](capacity, ranks int) *FairQueue[K, T] {
	return &FairQueue[K, T]{levels: make([]level[K, T], max(ranks, 1)), capacity: capacity}
}

// SetFloor sets the floor of the low ranks.
func (q *FairQueue[K, T]) SetFloor(f Floor) { q.floor = f }

// low reports whether the floor covers a rank.
func (q *FairQueue[K, T]) low(rank int) bool {
	return q.floor.Share > 0 && rank >= 1 && rank < min(q.floor.Ranks, len(q.levels))
}

// reserved returns the part of the capacity that the floor reserves for a rank.
func (q *FairQueue[K, T]) reserved(rank int) int {
	if !q.low(rank) {
		return 0
	}
	return int(float64(q.floor.Share) * float64(q.capacity) / float64(q.floor.Ranks-1))
}

// turnShare returns the share of the turns that the floor grants to a low rank while it and
// the present ones wait.
func (q *FairQueue[K, T]) turnShare(rank int) float64 {
	waiting := 1
	for other := 1; q.low(other); other++ {
		if other != rank && q.levels[other].size > 0 {
			waiting++
		}
	}
	return float64(q.floor.Share) / float64(waiting)
}

func (q *FairQueue[K, T]) clamp(rank int) int { return min(max(rank, 0), len(q.levels)-1) }

// Push adds v to a flow at rank. When the queue is full, it evicts and returns the newest
// value of the flow that holds the most places of the lowest priority: of a lower rank, of
// the same rank if that flow holds at least two more than this one, or of a higher rank if
// this rank holds less than the floor. Without such a value it returns v itself.
func (q *FairQueue[K, T]) Push(rank int, key K, v T) (evicted T, full bool) {
	rank = q.clamp(rank)
	if q.size >= q.capacity {
		victim := q.victim(rank, key)
		if victim < 0 {
			return v, true
		}
		evicted, full = q.levels[victim].evict(), true
		q.size--
	}
	q.levels[rank].push(key, v)
	q.size++
	return evicted, full
}

// victim returns the rank from which Push evicts a value, or -1.
func (q *FairQueue[K, T]) victim(rank int, key K) int {
	for lower := len(q.levels) - 1; lower > rank; lower-- {
		if q.levels[lower].size > q.reserved(lower) {
			return lower
		}
	}
	own := &q.levels[rank]
	if own.largest() > own.held(key)+1 {
		return rank
	}
	if own.size >= q.reserved(rank) {
		return -1
	}
	for higher := rank - 1; higher >= 0; higher-- {
		if q.levels[higher].size > q.reserved(higher) {
			return higher
		}
	}
	return -1
}

// CanPush reports whether Push would add its value.
func (q *FairQueue[K, T]) CanPush(rank int, key K) bool {
	return q.size < q.capacity || q.victim(q.clamp(rank), key) >= 0
}

// Pop removes and returns the next value: of the highest priority that waits, unless the
// floor of a lower one is due, and there of the flow whose turn it is. The flow keeps its
// turn until Charge is called.
func (q *FairQueue[K, T]) Pop() (v T, ok bool) {
	rank, owed := q.nextRank()
	if rank < 0 {
		return v, false
	}
	v, q.popped = q.levels[rank].pop()
	q.poppedRank, q.popOwed = rank, owed
	q.size--
	return v, true
}

// Peek returns the value that Pop would remove.
func (q *FairQueue[K, T]) Peek() (v T, ok bool) {
	rank, _ := q.nextRank()
	if rank < 0 {
		return v, false
	}
	return q.levels[rank].waiting[0].values[0], true
}

// nextRank returns the rank of the next value, -1 for an empty queue, and whether it is
// served before a higher one because of the floor.
func (q *FairQueue[K, T]) nextRank() (rank int, owed bool) {
	first := -1
	for rank := range q.levels {
		l := &q.levels[rank]
		switch {
		case l.size == 0:
		case first < 0:
			first = rank
		case l.owed >= 1:
			return rank, true
		}
	}
	return first, false
}

// Charge ends the turn of the flow whose value was popped last. Without it, that value
// cost the flow nothing: it was dropped or moved to another rank.
func (q *FairQueue[K, T]) Charge() {
	if q.popped == nil {
		return
	}
	l := &q.levels[q.poppedRank]
	l.charge(q.popped)
	q.popped = nil
	if q.floor.Share <= 0 {
		return
	}
	l.owed = max(l.owed-1, 0)
	if q.popOwed {
		return
	}
	for rank := q.poppedRank + 1; q.low(rank); rank++ {
		if lower := &q.levels[rank]; lower.size > 0 {
			lower.owed += q.turnShare(rank) / (1 - float64(q.floor.Share))
		}
	}
}

// Resize sets the capacity and the number of ranks, and keeps the order. Values of
// removed ranks move to the last rank; values beyond the capacity stay until they are
// popped.
func (q *FairQueue[K, T]) Resize(capacity, ranks int) {
	ranks = max(ranks, 1)
	q.capacity = capacity
	if ranks == len(q.levels) {
		return
	}
	q.popped = nil
	for rank := ranks; rank < len(q.levels); rank++ {
		for removed := &q.levels[rank]; removed.size > 0; {
			v, f := removed.pop()
			removed.charge(f)
			q.levels[ranks-1].push(f.key, v)
		}
	}
	if len(q.levels) > ranks {
		q.levels = q.levels[:ranks]
	}
	for len(q.levels) < ranks {
		q.levels = append(q.levels, level[K, T]{})
	}
}

// Len returns the number of queued values.
func (q *FairQueue[K, T]) Len() int { return q.size }

// Ahead returns the number of queued values that would be popped before a new one of this
// flow and rank.
func (q *FairQueue[K, T]) Ahead(rank int, key K) int {
	if q.size == 0 {
		return 0
	}
	rank = q.clamp(rank)
	higher := 0
	for i := range rank {
		higher += q.levels[i].size
	}
	own := q.levels[rank].ahead(key)
	if q.low(rank) {
		higher = min(higher, int(float64(own+1)*(1/q.turnShare(rank)-1)))
	}
	return higher + own
}
