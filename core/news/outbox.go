package news

import (
	"cmp"
	"slices"
)

// An Outbox holds the values that are still to be sent to other VMs, each a
// limited number of times. The zero value is empty.
type Outbox[K comparable, V any] struct {
	// entries has at most one entry per key.
	entries []outboxEntry[K, V]
}

type outboxEntry[K comparable, V any] struct {
	key       K
	v         V
	remaining int
}

// Add queues v to be sent the given number of times. It replaces the entry of
// the same key.
func (o *Outbox[K, V]) Add(key K, v V, transmissions int) {
	i := slices.IndexFunc(o.entries, func(e outboxEntry[K, V]) bool { return e.key == key })
	if i >= 0 {
		o.entries = slices.Delete(o.entries, i, i+1)
	}
	o.entries = append(o.entries, outboxEntry[K, V]{key, v, transmissions})
}

// Take returns up to n values and counts one transmission of each. If there are
// more than n, those with the most remaining transmissions come first. A value
// without remaining transmissions is removed.
func (o *Outbox[K, V]) Take(n int) []V {
	if len(o.entries) > n {
		slices.SortStableFunc(o.entries, func(a, b outboxEntry[K, V]) int { return cmp.Compare(b.remaining, a.remaining) })
	}
	n = min(n, len(o.entries))
	out := make([]V, 0, n)
	for i := range n {
		out = append(out, o.entries[i].v)
		o.entries[i].remaining--
	}
	o.entries = slices.DeleteFunc(o.entries, func(e outboxEntry[K, V]) bool { return e.remaining <= 0 })
	return out
}

// Len returns the number of queued values.
func (o *Outbox[K, V]) Len() int { return len(o.entries) }
