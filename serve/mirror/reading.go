package mirror

import (
	"cmp"
	"context"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/serve/watch"
)

const (
	// storeHedgeDelay is how long the store may take to answer a VM that it does not serve
	// yet, before other VMs are asked too: several times its usual response time.
	storeHedgeDelay = 20 * time.Millisecond
	// hedgeDelay is the time between the questions to two VMs while the objects are older
	// than the maximum age.
	hedgeDelay = 100 * time.Millisecond
	// repeatDelay is the shortest time between two questions to the same VM if the first
	// answer was of no use.
	repeatDelay = 250 * time.Millisecond
)

// A storeReply is the result of a call to the store that began at calledAt.
type storeReply[T any] struct {
	calledAt time.Time
	changes  []platform.Change[T]
	version  platform.StoreVersion
	err      error
}

// A vmReply is the result of a question to another VM that was asked at a time.
type vmReply struct {
	from     Member
	question Question
	asked    time.Time
	answer   Answer[[]byte]
	err      error
}

// A reading is one read of changes from the store and from VMs that are no mirrors of this
// one, of which the first with changes counts. Neither waits for the other: a store or a VM
// that does not respond would otherwise delay this VM and all that read through it.
type reading[T any] struct {
	reader *Reader[T]
	after  platform.StoreVersion
	// wait is how long the store and other VMs may wait for changes.
	wait time.Duration
	// store and vms receive the replies. They have room for all that are outstanding, so
	// that no goroutine waits for the owner of the reading.
	store chan storeReply[T]
	vms   chan vmReply
	// storeCalled is when the call to the store began; zero if there is none in progress.
	storeCalled time.Time
	// calledStore reports whether the store was called, failedAt when the last call to it
	// failed, and err with which error; nil if none did.
	calledStore bool
	failedAt    time.Time
	err         error
	// asking holds the VMs whose replies are outstanding, at most maxCandidates.
	asking []ident.VMID
	// lastAsked is when the last question was sent, and askedAt when each VM was asked last.
	lastAsked time.Time
	askedAt   map[ident.VMID]time.Time
}

// readStoreOrOthers waits for changes after a version from the store, if callStore is true,
// and from other VMs as soon as the store does not serve this VM or does not respond.
func (r *Reader[T]) readStoreOrOthers(ctx context.Context, after platform.StoreVersion, wait time.Duration, callStore bool) ([]platform.Change[T], platform.StoreVersion, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &reading[T]{
		reader: r, after: after, wait: wait, store: make(chan storeReply[T], 1), vms: make(chan vmReply, maxCandidates),
		askedAt: map[ident.VMID]time.Time{},
	}
	defer s.end(cancel)
	if callStore {
		s.callStore(ctx)
	}
	for {
		if s.isStoreDue() {
			s.callStore(ctx)
		}
		delay, more := s.askNext(ctx)
		if !more {
			return nil, after, cmp.Or(s.err, noPath())
		}
		if done, changes, version, err := s.awaitReply(ctx, delay); done {
			return changes, version, err
		}
	}
}

// end cancels what is outstanding and waits for it.
func (s *reading[T]) end(cancel context.CancelFunc) {
	cancel()
	if !s.storeCalled.IsZero() {
		<-s.store
	}
	for range s.asking {
		<-s.vms
	}
}

// awaitReply waits for a reply for at most delay. It reports whether the reading is done,
// with its result.
func (s *reading[T]) awaitReply(ctx context.Context, delay time.Duration) (done bool, changes []platform.Change[T], version platform.StoreVersion, err error) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case reply := <-s.store:
		s.storeCalled = time.Time{}
		changes, version, err = s.reader.acceptStore(reply, s.after)
		if err == nil || storeAnswered(err) {
			return true, changes, version, err
		}
		s.err, s.failedAt = err, time.Now()
		if isWatchError(err, watch.Recovered) && s.reader.selector.ReadsStore() {
			s.callStore(ctx)
		}
	case reply := <-s.vms:
		s.asking = slices.DeleteFunc(s.asking, func(vm ident.VMID) bool { return vm == reply.from.VM })
		if s.isVouched(reply) {
			return false, nil, 0, nil
		}
		a, result := s.reader.acceptOther(reply, s.after)
		switch {
		case result == accepted && a.Outcome == Compacted:
			s.reader.ahead = reply.from
			return true, nil, s.after, compacted()
		case result == accepted:
			return true, a.Changes, a.Version, nil
		case result == silent && s.reader.MaxAge == 0:
			// One VM is asked after the other, so only one silent VM is waited for.
			s.wait = 0
		}
	case <-timer.C:
	case <-ctx.Done():
		return true, nil, s.after, ctx.Err()
	}
	return false, nil, 0, nil
}

// isStoreDue reports whether to call the store while other VMs are asked: if the objects
// have exceeded the maximum age since, or again if this VM should read the store.
func (s *reading[T]) isStoreDue() bool {
	r := s.reader
	switch {
	case r.MaxAge == 0 || !s.storeCalled.IsZero():
		return false
	case !s.calledStore:
		return r.isOverdue() && r.shouldReadStore(true)
	}
	return r.selector.ReadsStore() && len(s.asking) > 0 && time.Since(s.failedAt) >= repeatDelay
}

// isVouched reports whether a reply confirms the objects of a VM that waits for changes from
// the store, which is slow or does not respond. It then goes on to wait.
func (s *reading[T]) isVouched(reply vmReply) bool {
	r, a := s.reader, reply.answer
	if reply.err != nil || a.Outcome != OK || len(a.Changes) > 0 || s.storeCalled.IsZero() || !r.cache.readsStore() ||
		r.isTooOld(reply) || !r.selector.accepts(r.time(), a.Path) {
		return false
	}
	r.cache.ConfirmFromStore(reply.asked.Add(a.Confirmed))
	return true
}

// callStore calls the store. A VM that the store did not serve last does not wait for
// changes, so that it soon knows that the store serves it again.
func (s *reading[T]) callStore(ctx context.Context) {
	r, wait := s.reader, s.wait
	if !r.selector.ReadsStore() {
		wait = min(wait, minStoreWait<<min(r.storeReads, maxStoreDoublings))
		r.storeReads++
	}
	if r.MaxAge > 0 && !r.cache.readsStore() {
		wait = 0
	}
	calledAt := r.time()
	s.calledStore, s.storeCalled = true, time.Now()
	r.storeCalledAt, r.storeRecoveredAt = calledAt, time.Time{}
	from := r.emptyWatches.continueFrom(calledAt, s.after)
	s.start(func() {
		changes, version, err := r.source.Changes(ctx, from, wait)
		s.store <- storeReply[T]{calledAt, changes, version, err}
	})
}

// start runs a call that sends its reply to the reading. Without a maximum age nothing else is
// done meanwhile.
func (s *reading[T]) start(call func()) {
	if s.reader.MaxAge == 0 {
		call()
		return
	}
	go call()
}

// askNext asks the next VM if it is time to. It returns how long to wait until it may be time
// for another one, and false if nothing is outstanding any more.
func (s *reading[T]) askNext(ctx context.Context) (delay time.Duration, more bool) {
	delay = s.untilNext()
	if delay > 0 {
		return delay, true
	}
	now := time.Now()
	if len(s.asking) < maxCandidates && s.askedSince(now.Add(-repeatDelay)) < maxCandidates {
		for _, m := range s.reader.selector.Others(s.reader.time(), s.reader.relays()) {
			if !slices.Contains(s.asking, m.VM) && s.mayAsk(m.VM, now) {
				s.ask(ctx, m)
				return max(s.untilNext(), time.Millisecond), true
			}
		}
	}
	delay = repeatDelay
	if left, limited := s.reader.timeLeft(s.reader.cache.ConfirmedAt()); limited && left > 0 {
		delay = min(delay, left)
	}
	return delay, len(s.asking) > 0 || !s.storeCalled.IsZero()
}

// askedSince returns the number of VMs that were asked since a time.
func (s *reading[T]) askedSince(since time.Time) int {
	n := 0
	for _, at := range s.askedAt {
		if at.After(since) {
			n++
		}
	}
	return n
}

// mayAsk reports whether to ask a VM. While the store is called, VMs are asked again, and as
// many as there are. Without a wait an answer would be the same again.
func (s *reading[T]) mayAsk(vm ident.VMID, now time.Time) bool {
	if s.reader.MaxAge > 0 && s.wait > 0 && !s.storeCalled.IsZero() {
		return now.Sub(s.askedAt[vm]) >= repeatDelay
	}
	_, asked := s.askedAt[vm]
	return !asked && len(s.askedAt) < maxCandidates
}

// untilNext returns the time until another VM may be asked. Without a maximum age, one is
// asked at a time, and none while the store is called.
func (s *reading[T]) untilNext() time.Duration {
	const never = time.Hour
	r := s.reader
	left, limited := r.timeLeft(r.cache.ConfirmedAt())
	isWaiting := !s.storeCalled.IsZero()
	switch {
	case !limited && (isWaiting || len(s.asking) > 0):
		return never
	case isWaiting && r.cache.readsStore():
		return max(left, 0)
	case len(s.asking) > 0 && s.wait > 0:
		return max(left, hedgeDelay-time.Since(s.lastAsked), 0)
	case len(s.asking) > 0:
		return max(hedgeDelay-time.Since(s.lastAsked), 0)
	case isWaiting && !r.cache.isRelayed():
		return max(storeHedgeDelay-time.Since(s.storeCalled), 0)
	}
	return 0
}

// ask sends a question to another VM.
func (s *reading[T]) ask(ctx context.Context, m Member) {
	r := s.reader
	q := Question{Kind: r.Kind(), After: s.after, Wait: min(s.wait, questionWait), Disconnected: true}
	asked := r.time()
	s.lastAsked = time.Now()
	s.askedAt[m.VM] = s.lastAsked
	s.asking = append(s.asking, m.VM)
	s.start(func() {
		answer, err := r.send(ctx, m, q)
		s.vms <- vmReply{m, q, asked, answer, err}
	})
}

// acceptStore records the reply of the store to a call for changes after a version.
func (r *Reader[T]) acceptStore(reply storeReply[T], after platform.StoreVersion) ([]platform.Change[T], platform.StoreVersion, error) {
	r.storeErr = reply.err
	if err := reply.err; err != nil {
		if !storeAnswered(err) {
			r.cache.MarkDisconnected()
			r.recordStoreFailure(err)
		} else {
			// The listing that follows an answer needs no further wait.
			r.storeCalledAt = time.Time{}
		}
		return nil, after, err
	}
	if len(reply.changes) == 0 {
		r.emptyWatches.add(reply.calledAt, after, reply.version)
	}
	r.cache.Apply(reply.changes, reply.version, Origin{ConfirmedAt: reply.calledAt})
	r.recordPath()
	r.lastDetour = Detour{}
	r.recordAnswer(nil)
	return reply.changes, reply.version, nil
}

// acceptOther applies the reply of a VM that is no mirror of this one, to a question for
// changes after a version, if it is of use.
func (r *Reader[T]) acceptOther(reply vmReply, after platform.StoreVersion) (Answer[T], askResult) {
	a, origin, result := r.accept(reply)
	if result != accepted {
		return Answer[T]{}, result
	}
	if a.Outcome == OK {
		r.cache.MarkDisconnected()
		r.cache.ApplyWhileDisconnected(a.Changes, a.Version, origin)
		r.reportDetour(Detour{Kind: r.Kind(), Path: a.Path, After: after, Version: a.Version, StoreErr: r.storeErr})
		r.recordAnswer(a.Path)
	}
	return a, accepted
}
