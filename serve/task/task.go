// Package task provides groups that bound and await goroutines, and signals that
// notify goroutines of changes.
package task

import "context"

// A Group runs a bounded number of goroutines. Use NewGroup to create one.
type Group struct {
	// tokens holds one token for each goroutine that may still start. A goroutine
	// takes a token when it starts and returns it when it ends.
	tokens chan struct{}
}

// NewGroup returns a Group that runs up to n goroutines at once.
func NewGroup(n int) *Group {
	g := &Group{tokens: make(chan struct{}, n)}
	for range n {
		g.tokens <- struct{}{}
	}
	return g
}

// Go starts a goroutine as soon as a token is free. It returns false if the context
// is done first.
func (g *Group) Go(ctx context.Context, run func(context.Context)) bool {
	select {
	case <-g.tokens:
	case <-ctx.Done():
		return false
	}
	go func() {
		defer func() { g.tokens <- struct{}{} }()
		run(ctx)
	}()
	return true
}

// Wait returns after all goroutines have ended. No goroutine can start afterwards.
func (g *Group) Wait() {
	for range cap(g.tokens) {
		<-g.tokens
	}
}
