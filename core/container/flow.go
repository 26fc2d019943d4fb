package container

import "container/heap"

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
