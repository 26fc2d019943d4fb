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
	// probeInterval is the time between two probes of the store. The four watches of a
	// VM are each probed within three seconds.
	probeInterval = 700 * time.Millisecond
	// probeTimeout limits a probe: 200 times the store's usual response time.
	probeTimeout = 800 * time.Millisecond
	// SilenceDetectionTime is the longest time from the store's last response until all
	// calls that wait for it are cancelled.
	SilenceDetectionTime = probeInterval + probeTimeout
	// recoveryWait is how long a call waits for a silent store to respond again.
	recoveryWait = time.Second
	// maxProbeAge is the age up to which the last probe shows the state of the store. An
	// older one means that two probes were left out because no call waited.
	maxProbeAge = 2 * probeInterval
)

// A probeFunc checks whether the store has changes that a waiting call should have
// returned.
type probeFunc func(context.Context) (behind bool, err error)

// A waitingCall is a call that the store has not answered yet, or one that waits for the
// store to respond again, whose cancel is nil.
type waitingCall struct {
	probe  probeFunc
	cancel context.CancelCauseFunc
	// confirm, if not nil, is called with the start of each probe that finds the store
	// responsive.
	confirm func(at time.Time)
	// addedAt is when the call was added.
	addedAt time.Time
	// lastProbe is the number of the last probe for this call.
	lastProbe uint64
}

// A Prober detects watches that the store no longer serves. While calls wait for the
// store, it probes the store periodically, for each of the calls in turn. If a probe
// finds changes, it cancels the call that should have returned them. If a probe fails,
// it cancels all calls, and no new ones are made until the store responds again. Watches
// can therefore wait long, and an unavailable store receives few calls. The zero value
// is ready to use.
type Prober struct {
	// Now replaces time.Now unless nil. It must be set before Run.
	Now func() time.Time

	mu      sync.Mutex
	waiting map[uint64]*waitingCall
	lastID  uint64
	// probes counts the probes, to number them.
	probes uint64
	// lastErr is the error of the last probe, or nil if the store responded.
	lastErr error
	// probedAt is when the last probe started, and running is closed when it ends.
	probedAt time.Time
	running  chan struct{}
	// updated signals that the store became silent or responds again, or that a first
	// call waits.
	updated task.Signal
}

func (p *Prober) time() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

// Run probes the store while calls wait for it, until the context is done.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		id, probe, updated, delay := p.nextProbe()
		if delay > 0 {
			clock.Sleep(ctx, delay)
			continue
		}
		if probe == nil {
			select {
			case <-updated:
			case <-ctx.Done():
			}
			continue
		}
		p.runProbe(ctx, id, probe)
	}
}

// runProbe runs a probe, for the call id or for none if id is 0, for at most probeTimeout
// and records its result.
func (p *Prober) runProbe(ctx context.Context, id uint64, probe probeFunc) {
	ended := make(chan struct{})
	defer close(ended)
	startedAt := p.time()
	p.mu.Lock()
	p.probedAt, p.running = startedAt, ended
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	behind, err := probe(ctx)
	p.recordProbe(id, behind && id != 0, err)
	if err == nil {
		p.confirmCalls(startedAt)
	}
}

// confirmCalls reports a probe that found the store responsive to the calls that waited for
// it when the probe started: the store would have answered them if it had changes.
func (p *Prober) confirmCalls(startedAt time.Time) {
	var confirms []func(time.Time)
	p.mu.Lock()
	for _, c := range p.waiting {
		if c.confirm != nil && !c.addedAt.After(startedAt) {
			confirms = append(confirms, c.confirm)
		}
	}
	p.mu.Unlock()
	for _, confirm := range confirms {
		confirm(startedAt)
	}
}

// nextProbe selects the waiting call whose last probe was longest ago. If the next probe
// is not due yet, it returns the delay; if no call waits, it returns a channel that is
// closed at the next update.
func (p *Prober) nextProbe() (id uint64, probe probeFunc, updated <-chan struct{}, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delay = probeInterval - p.time().Sub(p.probedAt); delay > 0 {
		return 0, nil, nil, delay
	}
	var oldest *waitingCall
	for callID, c := range p.waiting {
		if oldest == nil || c.lastProbe < oldest.lastProbe || (c.lastProbe == oldest.lastProbe && callID < id) {
			id, oldest = callID, c
		}
	}
	if oldest == nil {
		return 0, nil, p.updated.Next(), 0
	}
	p.probes++
	oldest.lastProbe = p.probes
	return id, oldest.probe, nil, 0
}

// recordProbe records the result of a probe for the call id, or for none if id is 0, and
// cancels the calls that it shows to be silent or behind.
func (p *Prober) recordProbe(id uint64, behind bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasSilent := p.lastErr != nil
	p.lastErr = err
	for callID, c := range p.waiting {
		switch {
		case c.cancel == nil:
		case err != nil:
			c.cancel(&Error{"wait", Silent, err})
			delete(p.waiting, callID)
		case behind && callID == id:
			c.cancel(&Error{"wait", Behind, errors.New("the store has changes that the watch did not return")})
			delete(p.waiting, callID)
		}
	}
	if wasSilent != (err != nil) {
		p.updated.Broadcast()
	}
}

// guard returns a context for a call that waits for the store; it is cancelled if a
// probe shows that the call is silent or behind. The caller must call release after the
// call. While the store is silent, guard returns an error as soon as the store responds
// again, or after recoveryWait.
func (p *Prober) guard(ctx context.Context, probe probeFunc, confirm func(time.Time)) (guarded context.Context, release func(), err error) {
	if p.probeIsStale() {
		p.runProbe(ctx, 0, probe)
	} else {
		p.awaitProbe(ctx)
	}
	if err := p.awaitRecovery(ctx, probe); err != nil {
		return nil, nil, err
	}
	guarded, cancel := context.WithCancelCause(ctx)
	id := p.addCall(&waitingCall{probe: probe, cancel: cancel, confirm: confirm})
	return guarded, func() {
		cancel(context.Canceled)
		p.removeCall(id)
	}, nil
}

// awaitProbe waits until the latest probe has ended, unless the store is known to be
// silent. Several kinds that lose their mirror together then cost one call.
func (p *Prober) awaitProbe(ctx context.Context) {
	p.mu.Lock()
	running, isSilent := p.running, p.lastErr != nil
	p.mu.Unlock()
	if running == nil || isSilent {
		return
	}
	select {
	case <-running:
	case <-ctx.Done():
	}
}

func (p *Prober) probeIsStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.time().Sub(p.probedAt) > maxProbeAge
}

// addCall adds a waiting call and returns its ID for removeCall.
func (p *Prober) addCall(c *waitingCall) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]*waitingCall{}
	}
	p.lastID++
	c.lastProbe, c.addedAt = p.probes, p.time()
	p.waiting[p.lastID] = c
	if len(p.waiting) == 1 {
		p.updated.Broadcast()
	}
	return p.lastID
}

func (p *Prober) removeCall(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// awaitRecovery returns nil if the store is not silent. Otherwise it returns an error as
// soon as the store responds again, or after recoveryWait.
func (p *Prober) awaitRecovery(ctx context.Context, probe probeFunc) error {
	_, firstErr := p.state()
	if firstErr == nil {
		return nil
	}
	id := p.addCall(&waitingCall{probe: probe})
	defer p.removeCall(id)
	timer := time.NewTimer(recoveryWait)
	defer timer.Stop()
	for {
		updated, lastErr := p.state()
		if lastErr == nil {
			return &Error{"await", Recovered, firstErr}
		}
		select {
		case <-updated:
		case <-timer.C:
			return &Error{"await", Silent, lastErr}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// state returns a channel that is closed at the next update, and lastErr.
func (p *Prober) state() (updated <-chan struct{}, lastErr error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.updated.Next(), p.lastErr
}

// A Guarded source cancels its calls when its Prober finds that the store no longer
// serves them.
type Guarded[T any] struct {
	Probeable[T]
	Prober *Prober
	// Confirmed, if not nil, is called while Changes waits, with each time at which the
	// store responded and had no changes to return. It must not block.
	Confirmed func(at time.Time)
}

// List returns all objects.
func (g Guarded[T]) List(ctx context.Context) (platform.Listing[T], error) {
	guarded, release, err := g.Prober.guard(ctx, g.probe(0), nil)
	if err != nil {
		return platform.Listing[T]{}, err
	}
	defer release()
	l, err := g.Probeable.List(guarded)
	return l, cause(guarded, err)
}

// Changes waits for changes after a version.
func (g Guarded[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error) {
	guarded, release, err := g.Prober.guard(ctx, g.probe(after), g.Confirmed)
	if err != nil {
		return nil, after, err
	}
	defer release()
	changes, version, err := g.Probeable.Changes(guarded, after, wait)
	return changes, version, cause(guarded, err)
}

func (g Guarded[T]) probe(after platform.StoreVersion) probeFunc {
	return func(ctx context.Context) (bool, error) { return g.Look(ctx, after) }
}

// cause returns the Error with which a Prober cancelled the call, or else err.
func cause(ctx context.Context, err error) error {
	var ended *Error
	if err != nil && errors.As(context.Cause(ctx), &ended) {
		return ended
	}
	return err
}
