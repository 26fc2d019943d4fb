package task

// A Signal notifies goroutines of changes to the state that a lock protects, like a
// condition variable that can be waited for in a select. The lock must be held for
// each call. The zero value is ready to use.
type Signal struct {
	// changed is closed by the next Broadcast; nil while no goroutine waits.
	changed chan struct{}
}

// Next returns a channel that the next Broadcast closes.
func (s *Signal) Next() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Broadcast wakes all goroutines that wait for a change.
func (s *Signal) Broadcast() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
