package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/task"
)

const (
	// beatEvery is the time between two looks at the store: the four watches of a VM
	// have their turn within three seconds.
	beatEvery = 700 * time.Millisecond
	// beatWithin is how long a look may take: two hundred times what the store
	// usually takes.
	beatWithin = 800 * time.Millisecond
	// SilenceDetectionTime is the longest time from the store's last sign of life
	// until all calls that wait for it have ended.
	SilenceDetectionTime = beatEvery + beatWithin
	// awaitLife is how long a call waits for a store that is silent.
	awaitLife = time.Second
	// looksOldAfter is the age from which the last look tells nothing of the store:
	// two have been left out, since no call waited.
	looksOldAfter = 2 * beatEvery
)

// A look asks the store whether there are changes that a waiting call should have
// told of.
type look func(context.Context) (behind bool, err error)

// A waiting call is one that the store has not answered yet, or one that waits for
// the store to come back, whose end is nil.
type waitingCall struct {
	look look
	end  context.CancelCauseFunc
	// Beat is the number of the last beat that looked for this call.
	beat uint64
}

// A Prober finds watches that fell silent. While calls wait for the store, it looks
// at the store from time to time, for one of them in turn. A look that finds changes
// ends the call that should have told of them. One that fails ends all calls, and
// no new ones are made until the store is back. Watches can then wait long, and a
// store that is away costs little. The zero value is ready.
type Prober struct {
	mu      sync.Mutex
	waiting map[uint64]*waitingCall
	next    uint64
	beats   uint64
	// Silent is why the last look failed; nil after one that did not.
	silent error
	// BeganAt is when the last look began.
	beganAt time.Time
	// Changed moves when silent changes or a first call waits.
	changed task.Signal
}

// Run looks at the store until the context is done.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		n, at, changed, rest := p.turn()
		if rest > 0 {
			clock.Sleep(ctx, rest)
			continue
		}
		if at == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		behind, err := p.try(ctx, at)
		p.looked(n, behind, err)
	}
}

func (p *Prober) try(ctx context.Context, at look) (bool, error) {
	p.mu.Lock()
	p.beganAt = time.Now()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, beatWithin)
	defer cancel()
	return at(ctx)
}

// turn returns the call whose look was longest ago, or what to wait for when no
// call waits, or how long to rest first.
func (p *Prober) turn() (n uint64, at look, changed <-chan struct{}, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rest = beatEvery - time.Since(p.beganAt); rest > 0 {
		return 0, nil, nil, rest
	}
	var first *waitingCall
	for number, c := range p.waiting {
		if first == nil || c.beat < first.beat || (c.beat == first.beat && number < n) {
			n, first = number, c
		}
	}
	if first == nil {
		return 0, nil, p.changed.Next(), 0
	}
	p.beats++
	first.beat = p.beats
	return n, first.look, nil, 0
}

// looked takes the result of a look for call n.
func (p *Prober) looked(n uint64, behind bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasSilent := p.silent != nil
	p.silent = err
	for number, c := range p.waiting {
		switch {
		case c.end == nil:
		case err != nil:
			c.end(&Error{"wait", Silent, err})
			delete(p.waiting, number)
		case behind && number == n:
			c.end(&Error{"wait", Behind, errors.New("the store has changes that the watch did not tell of")})
			delete(p.waiting, number)
		}
	}
	if wasSilent != (err != nil) {
		p.changed.Broadcast()
	}
}

// guard returns a context for a call that waits for the store; it ends when the
// call fell silent. Release must be called after the call. While the store is
// silent, guard returns an error as soon as it is back, or after a while.
func (p *Prober) guard(ctx context.Context, at look) (guarded context.Context, release func(), err error) {
	if p.looksAreOld() {
		_, err := p.try(ctx, at)
		p.looked(0, false, err)
	}
	if err := p.awaitLife(ctx, at); err != nil {
		return nil, nil, err
	}
	guarded, end := context.WithCancelCause(ctx)
	n := p.enter(&waitingCall{look: at, end: end})
	return guarded, func() {
		end(context.Canceled)
		p.leave(n)
	}, nil
}

func (p *Prober) looksAreOld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.beganAt) > looksOldAfter
}

func (p *Prober) enter(c *waitingCall) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]*waitingCall{}
	}
	p.next++
	c.beat = p.beats
	p.waiting[p.next] = c
	if len(p.waiting) == 1 {
		p.changed.Broadcast()
	}
	return p.next
}

func (p *Prober) leave(n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, n)
}

func (p *Prober) awaitLife(ctx context.Context, at look) error {
	_, silent := p.state()
	if silent == nil {
		return nil
	}
	n := p.enter(&waitingCall{look: at})
	defer p.leave(n)
	timer := time.NewTimer(awaitLife)
	defer timer.Stop()
	for {
		changed, now := p.state()
		if now == nil {
			return &Error{"await", Silent, silent}
		}
		select {
		case <-changed:
		case <-timer.C:
			return &Error{"await", Silent, now}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Prober) state() (changed <-chan struct{}, silent error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed.Next(), p.silent
}

// A Guarded source makes its calls under a pulse.
type Guarded[T any] struct {
	Probeable[T]
	Prober *Prober
}

// List returns all objects.
func (g Guarded[T]) List(ctx context.Context) (platform.Listing[T], error) {
	guarded, release, err := g.Prober.guard(ctx, g.look(0))
	if err != nil {
		return platform.Listing[T]{}, err
	}
	defer release()
	l, err := g.Probeable.List(guarded)
	return l, cause(guarded, err)
}

// Changes waits for changes after a version.
func (g Guarded[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error) {
	guarded, release, err := g.Prober.guard(ctx, g.look(after))
	if err != nil {
		return nil, after, err
	}
	defer release()
	changes, version, err := g.Probeable.Changes(guarded, after, wait)
	return changes, version, cause(guarded, err)
}

func (g Guarded[T]) look(after platform.StoreVersion) look {
	return func(ctx context.Context) (bool, error) { return g.Look(ctx, after) }
}

// cause returns why a call was ended, where the pulse ended it.
func cause(ctx context.Context, err error) error {
	var ended *Error
	if err != nil && errors.As(context.Cause(ctx), &ended) {
		return ended
	}
	return err
}
