// Package task starts goroutines that take a context and report their end on a
// channel that their owner reads.
package task

import "context"

// A Group owns a bounded number of goroutines. See NewGroup.
type Group struct {
	// Ends holds one token for each goroutine that may start: starting one
	// takes a token, and its end puts it back.
	ends chan struct{}
}

// NewGroup returns a Group of up to n goroutines at once.
func NewGroup(n int) *Group {
	g := &Group{ends: make(chan struct{}, n)}
	for range n {
		g.ends <- struct{}{}
	}
	return g
}

// Go starts a goroutine as soon as there is room; it returns false when the
// context is done first.
func (g *Group) Go(ctx context.Context, run func(context.Context)) bool {
	select {
	case <-g.ends:
	case <-ctx.Done():
		return false
	}
	go func() {
		defer func() { g.ends <- struct{}{} }()
		run(ctx)
	}()
	return true
}

// Wait returns after every goroutine has ended; none can start afterwards.
func (g *Group) Wait() {
	for range cap(g.ends) {
		<-g.ends
	}
}
