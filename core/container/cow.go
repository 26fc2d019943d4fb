package container

import "maps"

// A COW is an immutable map that is copied on write: With and Without return
// changed copies. The zero value is empty. Goroutines may share it.
type COW[K comparable, V any] struct {
	// m is not modified after the COW that holds it is returned.
	m map[K]V
}

// Get returns the value of k and whether k is present.
func (c COW[K, V]) Get(k K) (V, bool) {
	v, ok := c.m[k]
	return v, ok
}

// Len returns the number of entries.
func (c COW[K, V]) Len() int { return len(c.m) }

// All iterates over the entries in unspecified order.
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

// Without returns a copy without k.
func (c COW[K, V]) Without(k K) COW[K, V] {
	if _, ok := c.m[k]; !ok {
		return c
	}
	m := maps.Clone(c.m)
	delete(m, k)
	return COW[K, V]{m}
}

// NewCOW returns a COW with a copy of the entries of m.
func NewCOW[K comparable, V any](m map[K]V) COW[K, V] {
	return COW[K, V]{maps.Clone(m)}
}
