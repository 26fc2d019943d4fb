package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/task"
)

const (
	// probeInterval is the time between two probes of the store for the calls in turn.
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
	// id is the number of the call, and addedAt when it was added.
	id      uint64
	addedAt time.Time
	// lastProbe is the number of the last probe in turn for this call.
	lastProbe uint64
	// check is the probe of a call that is checked; nil for one that is probed in turn.
	check probeFunc
	// kind is the kind of object that the call waits for, and checkInterval the time between
	// two checks of it. Both are set if check is.
	kind          string
	checkInterval time.Duration
}

// A Prober detects watches that the store no longer serves. While calls wait for the
// store, it probes the store periodically, for each of the calls in turn. Calls with a check
// are probed by it instead, each at its own interval, unless the store is silent. If a probe
// finds changes, it cancels the call that should have returned them: its connection may be
// dead while new ones work. If a probe fails, it cancels all calls, and no new ones are made
// until the store responds again. Watches can therefore wait long, and an unavailable store
// receives few calls. The zero value is ready to use.
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
	// turnAt is when the last probe in turn started, and checkedAt when the last check of a
	// kind did.
	turnAt    time.Time
	checkedAt map[string]time.Time
	// updated signals that the store became silent or responds again, or that a first call or
	// one with a check waits.
	updated task.Signal
}

func (p *Prober) time() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

// A probe is one probe of the store.
type probe struct {
	// callID is the call that it was made for; 0 for none.
	callID uint64
	run    probeFunc
	// isCheck reports whether it is the check of the call, and confirm, which may be nil, is
	// that of the call.
	isCheck bool
	confirm func(at time.Time)
}

// Run probes the store while calls wait for it, until the context is done.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next, updated, delay := p.nextProbe()
		if next.run != nil {
			p.runProbe(ctx, next)
			continue
		}
		p.awaitNext(ctx, updated, delay)
	}
}

// awaitNext waits for the next probe or, if delay is 0, for the next update.
func (p *Prober) awaitNext(ctx context.Context, updated <-chan struct{}, delay time.Duration) {
	var due <-chan time.Time
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-updated:
	case <-ctx.Done():
	}
}

// runProbe runs a probe and records its result.
func (p *Prober) runProbe(ctx context.Context, probe probe) {
	ended := make(chan struct{})
	defer close(ended)
	startedAt := p.time()
	p.mu.Lock()
	p.probedAt, p.running = startedAt, ended
	if !probe.isCheck {
		p.turnAt = startedAt
	}
	p.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	behind, err := probe.run(limited)
	if err != nil && ctx.Err() != nil {
		// The caller gave up, which says nothing about the store.
		return
	}
	p.recordProbe(probe.callID, behind && probe.callID != 0, err)
	if err == nil && !behind {
		p.confirmCalls(startedAt, probe)
	}
}

// confirmCalls reports a probe that found no changes. A check is reported to the call that it
// was made for, which may have ended since; a probe in turn to the calls without a check that
// waited for the store when it started: a store that is responsive would have answered them.
func (p *Prober) confirmCalls(startedAt time.Time, probe probe) {
	if probe.isCheck {
		if probe.confirm != nil {
			probe.confirm(startedAt)
		}
		return
	}
	var confirms []func(time.Time)
	p.mu.Lock()
	for _, c := range p.waiting {
		if c.confirm != nil && c.check == nil && !c.addedAt.After(startedAt) {
			confirms = append(confirms, c.confirm)
		}
	}
	p.mu.Unlock()
	for _, confirm := range confirms {
		confirm(startedAt)
	}
}

// nextProbe returns the next probe, if one is due. Otherwise its run is nil, and nextProbe
// returns a channel that is closed at the next update, and the delay until a probe is due; 0
// if no call waits.
func (p *Prober) nextProbe() (next probe, updated <-chan struct{}, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.time()
	check, checkIn := p.nextCheck(now)
	inTurn, callID := p.nextInTurn()
	turnIn := probeInterval - now.Sub(p.turnAt)
	switch {
	case check == nil && inTurn == nil:
		return probe{}, p.updated.Next(), 0
	case inTurn == nil || check != nil && checkIn < turnIn:
		if checkIn > 0 {
			return probe{}, p.updated.Next(), checkIn
		}
		if p.checkedAt == nil {
			p.checkedAt = map[string]time.Time{}
		}
		p.checkedAt[check.kind] = now
		return probe{callID: check.id, run: check.check, isCheck: true, confirm: check.confirm}, nil, 0
	case turnIn > 0:
		return probe{}, p.updated.Next(), turnIn
	}
	p.probes++
	inTurn.lastProbe = p.probes
	return probe{callID: callID, run: inTurn.probe}, nil, 0
}

// nextCheck returns the call whose check is due first, and the time until then; nil without a
// call that is checked, and while the store is silent. The lock must be held.
func (p *Prober) nextCheck(now time.Time) (first *waitingCall, left time.Duration) {
	for _, c := range p.waiting {
		if c.check == nil || p.lastErr != nil {
			continue
		}
		if l := p.untilCheck(now, c); first == nil || l < left {
			first, left = c, l
		}
	}
	return first, left
}

// untilCheck returns the time until the next check of a call. The lock must be held.
func (p *Prober) untilCheck(now time.Time, c *waitingCall) time.Duration {
	last := p.checkedAt[c.kind]
	if last.IsZero() {
		last = c.addedAt
	}
	return c.checkInterval - now.Sub(last)
}

// nextInTurn returns the call whose last probe in turn was longest ago, or nil without a
// call. While the store is silent, calls with a check are probed in turn too. The lock must be
// held.
func (p *Prober) nextInTurn() (oldest *waitingCall, id uint64) {
	for callID, c := range p.waiting {
		if c.check != nil && p.lastErr == nil {
			continue
		}
		if oldest == nil || c.lastProbe < oldest.lastProbe || (c.lastProbe == oldest.lastProbe && callID < id) {
			id, oldest = callID, c
		}
	}
	return oldest, id
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
func (p *Prober) guard(ctx context.Context, call waitingCall) (guarded context.Context, release func(), err error) {
	if p.probeIsStale() {
		p.runProbe(ctx, probe{run: call.probe})
	} else {
		p.awaitProbe(ctx)
	}
	if err := p.awaitRecovery(ctx, call.probe); err != nil {
		return nil, nil, err
	}
	guarded, call.cancel = context.WithCancelCause(ctx)
	id := p.addCall(&call)
	return guarded, func() {
		call.cancel(context.Canceled)
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
	c.id, c.lastProbe, c.addedAt = p.lastID, p.probes, p.time()
	p.waiting[p.lastID] = c
	if len(p.waiting) == 1 || c.check != nil {
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
	// CheckInterval is the time between two checks for changes that a waiting call did not
	// return. 0 means that stale reads in turn with those of other kinds suffice.
	CheckInterval time.Duration
	// StaleChecks makes the checks stale reads, which miss the changes of the last seconds
	// and cost a tenth.
	StaleChecks bool
}

// List returns all objects.
func (g Guarded[T]) List(ctx context.Context) (platform.Listing[T], error) {
	guarded, release, err := g.Prober.guard(ctx, waitingCall{probe: g.probe(0)})
	if err != nil {
		return platform.Listing[T]{}, err
	}
	defer release()
	l, err := g.Probeable.List(guarded)
	return l, cause(guarded, err)
}

// Changes waits for changes after a version.
func (g Guarded[T]) Changes(ctx context.Context, after platform.StoreVersion, wait time.Duration) ([]platform.Change[T], platform.StoreVersion, error) {
	call := waitingCall{probe: g.probe(after), confirm: g.Confirmed}
	if g.CheckInterval > 0 {
		call.check, call.kind, call.checkInterval = g.check(after), g.Kind(), g.CheckInterval
		if g.StaleChecks {
			call.check = call.probe
		}
	}
	guarded, release, err := g.Prober.guard(ctx, call)
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

// check reports whether there are changes after a version, by a read that is not stale.
func (g Guarded[T]) check(after platform.StoreVersion) probeFunc {
	return func(ctx context.Context) (bool, error) {
		changes, _, err := g.Probeable.Changes(ctx, after, 0)
		var dropped *platform.Error
		if errors.As(err, &dropped) && dropped.Kind == platform.Compacted {
			return true, nil
		}
		return len(changes) > 0, err
	}
}

// cause returns the Error with which a Prober cancelled the call, or else err.
func cause(ctx context.Context, err error) error {
	var ended *Error
	if err != nil && errors.As(context.Cause(ctx), &ended) {
		return ended
	}
	return err
}
