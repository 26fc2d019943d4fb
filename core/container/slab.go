package container

// A Handle names a value in a Slab. A handle of a value that was freed never
// becomes valid again within 2^32 reuses of its slot.
type Handle uint64

type slot[T any] struct {
	v          T
	generation uint32
	used       bool
}

// A Slab stores values under handles and reuses their slots. The zero value is
// empty and ready.
type Slab[T any] struct {
	slots []slot[T]
	// Free lists the indexes of the unused slots.
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
	at := &s.slots[i]
	at.v, at.used = v, true
	at.generation++
	return Handle(uint64(at.generation)<<32 | uint64(i))
}

// Get returns the value of h, or nil when h is not in use.
func (s *Slab[T]) Get(h Handle) *T {
	i := uint32(h)
	if int(i) >= len(s.slots) {
		return nil
	}
	at := &s.slots[i]
	if !at.used || at.generation != uint32(h>>32) {
		return nil
	}
	return &at.v
}

// Free releases h; a handle not in use is ignored.
func (s *Slab[T]) Free(h Handle) {
	if s.Get(h) == nil {
		return
	}
	at := &s.slots[uint32(h)]
	var zero T
	at.v, at.used = zero, false
	s.free = append(s.free, uint32(h))
}

// Len returns the number of values stored.
func (s *Slab[T]) Len() int { return len(s.slots) - len(s.free) }
