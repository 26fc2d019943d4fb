package view

import "sync/atomic"

// A Publisher publishes views from the one control goroutine to any number of
// readers. The zero value has no view.
type Publisher struct {
	current atomic.Pointer[View]
	// Subscribers is written before the first Publish only.
	subscribers []chan struct{}
}

// Subscribe returns a channel that receives after a view is published. It must
// be called before the first Publish.
func (b *Publisher) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	b.subscribers = append(b.subscribers, c)
	return c
}

// Publish makes v the current view. V must not be written afterwards.
func (b *Publisher) Publish(v *View) {
	b.current.Store(v)
	for _, c := range b.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Current returns the last published view, or nil.
func (b *Publisher) Current() *View { return b.current.Load() }
