package container

import (
	"container/heap"

	"carawaycross.example/carawaycross/core/ident"
)

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

// A flow is the state of one flow at one rank.
type flow[K comparable, T any] struct {
	key    K
	values []T
	// start is the start tag of the next value: the turn of the level in which it is due.
	start int64
	// order breaks ties between start tags.
	order uint64
	// index is the position in level.waiting; -1 while the flow has no values.
	index int
}

// A level holds the flows of one rank.
type level[K comparable, T any] struct {
	size int
	// flows has the waiting flows and, until they are swept, flows without values.
	flows map[K]*flow[K, T]
	// waiting is a heap of the flows with values, ordered by start tag.
	waiting flowHeap[K, T]
	// turn is the start tag of the value that was popped last: the virtual time. It is 0
	// again once the level is empty.
	turn   int64
	orders uint64
	// sweepAt is the number of flows from which those without values are swept.
	sweepAt int
	// owed is the number of turns, and fractions of one, that the floor grants to the level.
	owed float64
}

// minSweep is the least number of flows of a level that a sweep examines.
const minSweep = 16

func (l *level[K, T]) push(key K, v T) {
	f := l.flows[key]
	if f == nil {
		f = l.add(key)
	}
	f.values = append(f.values, v)
	l.size++
	if f.index < 0 {
		f.start = max(f.start, l.turn)
		l.orders++
		f.order = l.orders
		heap.Push(&l.waiting, f)
	}
}

// add creates a flow. A flow without values whose start tag has passed equals a new one,
// so that it can be swept.
func (l *level[K, T]) add(key K) *flow[K, T] {
	if l.flows == nil {
		l.flows = map[K]*flow[K, T]{}
	}
	if len(l.flows) >= max(l.sweepAt, minSweep) {
		for k, f := range l.flows {
			if f.index < 0 && f.start <= l.turn {
				delete(l.flows, k)
			}
		}
		l.sweepAt = 2 * len(l.flows)
	}
	f := &flow[K, T]{key: key, index: -1}
	l.flows[key] = f
	return f
}

// pop removes the first value of the flow whose turn it is.
func (l *level[K, T]) pop() (T, *flow[K, T]) {
	f := l.waiting[0]
	v := f.values[0]
	copy(f.values, f.values[1:])
	l.shrink(f)
	l.turn = f.start
	if l.size == 0 {
		l.reset()
	}
	return v, f
}

// shrink drops the last element of the values of f.
func (l *level[K, T]) shrink(f *flow[K, T]) {
	last := len(f.values) - 1
	clear(f.values[last:])
	f.values = f.values[:last]
	l.size--
	if last == 0 {
		heap.Remove(&l.waiting, f.index)
	}
}

// reset forgets the flows of an empty level. A single one is kept for reuse.
func (l *level[K, T]) reset() {
	l.turn, l.owed, l.sweepAt = 0, 0, 0
	if len(l.flows) > 1 {
		l.flows = nil
		return
	}
	for _, f := range l.flows {
		f.start = 0
	}
}

func (l *level[K, T]) charge(f *flow[K, T]) {
	f.start++
	l.orders++
	f.order = l.orders
	if f.index >= 0 {
		heap.Fix(&l.waiting, f.index)
	}
}

// evict removes the newest value of a flow with the most values.
func (l *level[K, T]) evict() T {
	most := l.waiting[0]
	for _, f := range l.waiting {
		if len(f.values) > len(most.values) {
			most = f
		}
	}
	v := most.values[len(most.values)-1]
	l.shrink(most)
	if l.size == 0 {
		l.reset()
	}
	return v
}

// largest returns the most values that a flow holds.
func (l *level[K, T]) largest() int {
	n := 0
	for _, f := range l.waiting {
		n = max(n, len(f.values))
	}
	return n
}

// held returns the number of values that a flow holds.
func (l *level[K, T]) held(key K) int {
	if f := l.flows[key]; f != nil {
		return len(f.values)
	}
	return 0
}

// ahead returns the number of values that would be popped before a new one of the flow.
func (l *level[K, T]) ahead(key K) int {
	if l.size == 0 {
		return 0
	}
	own := flow[K, T]{start: l.turn, order: l.orders + 1}
	f := l.flows[key]
	if f != nil {
		own.start, own.values = max(f.start, l.turn), f.values
		if f.index >= 0 {
			own.order = f.order
		}
	}
	n := len(own.values)
	last := own.start + int64(n)
	for _, other := range l.waiting {
		if other == f {
			continue
		}
		turns := last - other.start
		// Of two flows, the one with the lower tag now follows at equal tags.
		if other.start > own.start || (other.start == own.start && other.order < own.order) {
			turns++
		}
		n += min(len(other.values), max(int(turns), 0))
	}
	return n
}

// A flowHeap implements heap.Interface.
type flowHeap[K comparable, T any] []*flow[K, T]

func (h flowHeap[K, T]) Len() int { return len(h) }

func (h flowHeap[K, T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h flowHeap[K, T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a *flow.
func (h *flowHeap[K, T]) Push(x any) {
	f := x.(*flow[K, T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last element.
func (h *flowHeap[K, T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
