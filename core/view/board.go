package view

import "sync/atomic"

// A Board publishes views from the one control goroutine to any number of
// readers. The zero value has no view.
type Board struct {
	current atomic.Pointer[View]
	// Subscribers is written before the first Publish only.
	subscribers []chan struct{}
}

// Subscribe returns a channel that receives after a view is published. It must
// be called before the first Publish.
func (b *Board) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	b.subscribers = append(b.subscribers, c)
	return c
}

// Publish makes v the current view. V must not be written afterwards.
func (b *Board) Publish(v *View) {
	b.current.Store(v)
	for _, c := range b.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Current returns the last published view, or nil.
func (b *Board) Current() *View { return b.current.Load() }
