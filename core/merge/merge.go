// Package merge combines the results of several shards into one answer.
package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// Top returns the greatest records of all bodies, at most limit of them, in
// descending bytewise order; a limit of 0 returns all. Each record has recordSize
// bytes, and a shorter remainder at the end of a body is ignored. Equal records
// are kept.
func Top(bodies [][]byte, recordSize, limit int) []byte {
	h := &records{}
	for _, body := range bodies {
		for len(body) >= recordSize {
			h.offer(body[:recordSize], limit)
			body = body[recordSize:]
		}
	}
	slices.SortFunc(h.list, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(h.list)*recordSize)
	for _, r := range h.list {
		out = append(out, r...)
	}
	return out
}

// records is a min-heap of records.
type records struct {
	list [][]byte
}

func (h *records) Len() int           { return len(h.list) }
func (h *records) Less(i, j int) bool { return bytes.Compare(h.list[i], h.list[j]) < 0 }
func (h *records) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push adds x. Only package heap calls it.
func (h *records) Push(x any) { h.list = append(h.list, x.([]byte)) }

// Pop removes the last record. Only package heap calls it.
func (h *records) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// offer adds r if it is among the greatest limit records so far.
func (h *records) offer(r []byte, limit int) {
	switch {
	case limit == 0:
		h.list = append(h.list, r)
	case len(h.list) < limit:
		heap.Push(h, r)
	case bytes.Compare(r, h.list[0]) > 0:
		h.list[0] = r
		heap.Fix(h, 0)
	}
}
