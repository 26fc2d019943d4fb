package news

import (
	"cmp"
	"slices"
)

// An Outbox holds what is still to be told to others, each piece a bounded
// number of times. The zero value is empty.
type Outbox[K comparable, V any] struct {
	// Entries has one entry a key, in the order of addition.
	entries []outgoing[K, V]
}

type outgoing[K comparable, V any] struct {
	key  K
	v    V
	left int
}

// Add tells v times times; it replaces an earlier piece of the same key.
func (o *Outbox[K, V]) Add(key K, v V, times int) {
	i := slices.IndexFunc(o.entries, func(e outgoing[K, V]) bool { return e.key == key })
	if i >= 0 {
		o.entries = slices.Delete(o.entries, i, i+1)
	}
	o.entries = append(o.entries, outgoing[K, V]{key, v, times})
}

// Take returns up to n pieces, those told least first, and counts them told.
func (o *Outbox[K, V]) Take(n int) []V {
	if len(o.entries) > n {
		slices.SortStableFunc(o.entries, func(a, b outgoing[K, V]) int { return cmp.Compare(b.left, a.left) })
	}
	n = min(n, len(o.entries))
	out := make([]V, 0, n)
	for i := range n {
		out = append(out, o.entries[i].v)
		o.entries[i].left--
	}
	o.entries = slices.DeleteFunc(o.entries, func(e outgoing[K, V]) bool { return e.left <= 0 })
	return out
}

// Len returns the number of pieces.
func (o *Outbox[K, V]) Len() int { return len(o.entries) }
