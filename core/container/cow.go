package container

import "maps"

// A COW is an immutable map; With and Without return changed copies. The zero
// value is empty. Readers on any goroutine may share it.
type COW[K comparable, V any] struct {
	// M is never written after the COW that holds it is returned.
	m map[K]V
}

// Get returns the value of k.
func (c COW[K, V]) Get(k K) (V, bool) {
	v, ok := c.m[k]
	return v, ok
}

// Len returns the number of entries.
func (c COW[K, V]) Len() int { return len(c.m) }

// All calls yield for each entry, in no order.
func (c COW[K, V]) All(yield func(K, V) bool) {
	for k, v := range c.m {
		if !yield(k, v) {
			return
		}
	}
}

// With returns a copy that maps k to v.
func (c COW[K, V]) With(k K, v V) COW[K, V] {
	m := make(map[K]V, len(c.m)+1)
	maps.Copy(m, c.m)
	m[k] = v
	return COW[K, V]{m}
}

// Without returns a copy that lacks k.
func (c COW[K, V]) Without(k K) COW[K, V] {
	if _, ok := c.m[k]; !ok {
		return c
	}
	m := maps.Clone(c.m)
	delete(m, k)
	return COW[K, V]{m}
}

// NewCOW returns a COW with the entries of m.
func NewCOW[K comparable, V any](m map[K]V) COW[K, V] {
	return COW[K, V]{maps.Clone(m)}
}
