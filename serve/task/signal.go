package task

// A Signal wakes those who wait for a change of its owner's state. The owner's lock
// must be held for each call. The zero value is ready.
type Signal struct {
	// Moved is closed at the next change; nil while nobody waits.
	moved chan struct{}
}

// Next returns a channel that is closed at the next change.
func (s *Signal) Next() <-chan struct{} {
	if s.moved == nil {
		s.moved = make(chan struct{})
	}
	return s.moved
}

// Broadcast wakes those who wait.
func (s *Signal) Broadcast() {
	if s.moved != nil {
		close(s.moved)
		s.moved = nil
	}
}
