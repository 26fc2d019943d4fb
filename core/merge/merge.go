// Package merge joins the results of many shards into one answer.
package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// Top returns the greatest n records of the bodies, greatest first, compared
// byte by byte. A record has size bytes; a shorter remainder of a body is none.
// With n 0 it returns all. Equal records all count.
func Top(bodies [][]byte, size, n int) []byte {
	h := &records{}
	for _, body := range bodies {
		for len(body) >= size {
			h.offer(body[:size], n)
			body = body[size:]
		}
	}
	slices.SortFunc(h.list, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(h.list)*size)
	for _, r := range h.list {
		out = append(out, r...)
	}
	return out
}

// records is a heap whose least record is first.
type records struct {
	list [][]byte
}

func (h *records) Len() int           { return len(h.list) }
func (h *records) Less(i, j int) bool { return bytes.Compare(h.list[i], h.list[j]) < 0 }
func (h *records) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push adds x; it is called by package heap only.
func (h *records) Push(x any) { h.list = append(h.list, x.([]byte)) }

// Pop removes the last record; it is called by package heap only.
func (h *records) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

func (h *records) offer(r []byte, n int) {
	switch {
	case n == 0:
		h.list = append(h.list, r)
	case len(h.list) < n:
		heap.Push(h, r)
	case bytes.Compare(r, h.list[0]) > 0:
		h.list[0] = r
		heap.Fix(h, 0)
	}
}
