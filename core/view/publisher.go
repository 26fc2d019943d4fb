package view

import "sync/atomic"

// A Publisher publishes views from the one control goroutine to any number of
// readers. The zero value has no view.
type Publisher struct {
	current atomic.Pointer[View]
	// subscribers is only written before the first Publish, so Publish reads it
	// without a lock.
	subscribers []chan struct{}
}

// Subscribe returns a channel that receives a value after a view is published;
// several publications may be combined into one value. It must be called before
// the first Publish.
func (p *Publisher) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	p.subscribers = append(p.subscribers, c)
	return c
}

// Publish makes v the current view and notifies all subscribers. v must not be
// modified afterwards.
func (p *Publisher) Publish(v *View) {
	p.current.Store(v)
	for _, c := range p.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Current returns the last published view, or nil if there is none.
func (p *Publisher) Current() *View { return p.current.Load() }
