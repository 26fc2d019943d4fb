package container

// A Handle identifies a value in a Slab: the generation of its slot in the upper 32
// bits, the index of the slot in the lower 32. After a value is freed, its handle
// stays invalid for 2^32 reuses of the slot.
type Handle uint64

type slot[T any] struct {
	v          T
	generation uint32
	used       bool
}

// A Slab stores values under handles and reuses the slots of freed values. The zero
// value is empty and ready for use.
type Slab[T any] struct {
	slots []slot[T]
	// free lists the indexes of unused slots.
	free []uint32
}

// Put stores v and returns its handle, which is never 0.
func (s *Slab[T]) Put(v T) Handle {
	var i uint32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, slot[T]{})
	}
	entry := &s.slots[i]
	entry.v, entry.used = v, true
	entry.generation++
	return Handle(uint64(entry.generation)<<32 | uint64(i))
}

// Get returns the value of h, or nil when h is not in use.
func (s *Slab[T]) Get(h Handle) *T {
	i := uint32(h)
	if int(i) >= len(s.slots) {
		return nil
	}
	entry := &s.slots[i]
	if !entry.used || entry.generation != uint32(h>>32) {
		return nil
	}
	return &entry.v
}

// Free removes the value of h; it ignores a handle that is not in use.
func (s *Slab[T]) Free(h Handle) {
	if s.Get(h) == nil {
		return
	}
	entry := &s.slots[uint32(h)]
	var zero T
	entry.v, entry.used = zero, false
	s.free = append(s.free, uint32(h))
}

// Handles returns the handles of all stored values.
func (s *Slab[T]) Handles() []Handle {
	out := make([]Handle, 0, s.Len())
	for i := range s.slots {
		if s.slots[i].used {
			out = append(out, Handle(uint64(s.slots[i].generation)<<32|uint64(i)))
		}
	}
	return out
}

// Len returns the number of stored values.
func (s *Slab[T]) Len() int { return len(s.slots) - len(s.free) }
