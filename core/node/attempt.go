package node

import (
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// startPart sends the first attempt of a part, or queues the part for a free slot.
func (c *Core) startPart(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	if p.shard == nil || p.shard.Usable(now) == 0 {
		c.settlePart(now, q, i, partMissing, coverage.NoReplica)
		return
	}
	r := c.chooseReplica(now, q, p, true)
	if r == nil {
		c.enqueue(now, q, i)
		return
	}
	c.sendFirst(now, q, i, r)
}

func (c *Core) sendFirst(now ident.Instant, q *query, i int, r *replica.State) {
	q.firstAttempts++
	q.parts[i].svc.budget(q.rank).CountFirst(now, q.preset.ExtraShare, q.preset.FaultExtraShare)
	q.parts[i].svc.quota.CountFirst(now)
	q.parts[i].svc.countFirst()
	c.sendAttempt(now, q, i, r)
}

// newSelection returns the input of a replica choice in a buffer that the next call reuses.
func (c *Core) newSelection(now ident.Instant, q *query, p *part) *replica.Selection {
	c.selectionBuf = replica.Selection{
		Now: now, Shard: &p.shard.Shard, Snapshot: q.snapshot,
		Tried: p.tried[:p.attemptCount], Random: c.config.Random,
		MedianLatency: q.profile.latency.Median(now), AtMostOnce: !q.repeatable(),
	}
	return &c.selectionBuf
}

// chooseHedgeReplica picks a replica that the part has not tried. It may exceed the
// in-flight limit of the replica by one.
func (c *Core) chooseHedgeReplica(now ident.Instant, q *query, p *part) *replica.State {
	in := c.newSelection(now, q, p)
	in.Overcommit = 1
	return c.decide(in, p.svc)
}

// chooseReplica picks a replica that the part has not tried. With allowTried set, it
// falls back to any eligible replica.
func (c *Core) chooseReplica(now ident.Instant, q *query, p *part, allowTried bool) *replica.State {
	in := c.newSelection(now, q, p)
	r := c.decide(in, p.svc)
	if r == nil && allowTried && p.attemptCount > 0 {
		in.Tried = nil
		r = c.decide(in, p.svc)
	}
	return r
}

// allowExtra takes one extra attempt from the budget or quota of the service, and reports
// whether it may be sent.
func (c *Core) allowExtra(now ident.Instant, q *query, p *part, hedge bool) bool {
	if !hedge && p.svc.hasQuota && p.svc.quota.BelowReserve(now, q.quotaReserve()) && !q.requires(p) {
		return false
	}
	if c.exceedsExtras(now, q, p, hedge) {
		return false
	}
	input := SpendInput{Now: now, Budget: p.svc.budget(q.rank), Hedge: hedge}
	if p.svc.hasQuota {
		input.Quota = &p.svc.quota
	}
	if !c.policies.Spend.Decide(input) {
		return false
	}
	c.countExtra(now, q, p.svc, hedge)
	return true
}

func (c *Core) sendAttempt(now ident.Instant, q *query, i int, r *replica.State) {
	p := &q.parts[i]
	h := c.attempts.Put(attempt{
		query: q.handle, part: i, replica: r, svc: p.svc, profile: q.profile, shard: p.shard, sent: now, requestedSnapshot: q.snapshot,
		route: q.routeName(),
	})
	p.state = partInFlight
	p.inFlight[p.inFlightCount] = h
	p.inFlightCount++
	p.tried[p.attemptCount] = r
	p.attemptCount++
	r.Sent(now)
	p.svc.countSent(r)
	c.actions = append(c.actions, Action{
		Kind: Send, Query: ident.QueryID(q.handle), Attempt: ident.AttemptID(h),
		Replica: r.ID, Address: r.Address, Connections: r.Shares.ConnectionShare(), Borrowed: r.Reserve,
		Service: p.svc.id, Shard: r.Shard, Incarnation: r.Incarnation,
		Snapshot: q.snapshot, Body: q.arrival.Body, Message: q.arrival.Message, AtMostOnce: !q.repeatable(),
		Key: q.arrival.Key, Deadline: q.deadline, Left: q.deadline.Sub(now),
	})
}

// enqueue adds a part to the queue of its shard until a slot is free.
func (c *Core) enqueue(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	p.state = partQueued
	evicted, full := p.shard.queue.Push(q.rank, q.flow, queuedPart{query: q.handle, part: i})
	c.scheduleQueue(now, p.svc, p.shard)
	if !full {
		return
	}
	if evictedQuery := c.query(ident.QueryID(evicted.query)); evictedQuery != nil {
		c.evict(now, evictedQuery, evicted.part)
	}
}

// evict ends a part that was evicted from a queue. A search without any attempt sent
// is refused as a whole: its remaining parts would only take slots from other queries.
func (c *Core) evict(now ident.Instant, q *query, i int) {
	if q.arrival.Key == "" && q.firstAttempts == 0 && !q.answered && q.arrival.Route == nil {
		c.refuse(now, q, booking.NotRun, admission.TooMany, "")
		return
	}
	c.giveUp(now, q, i, coverage.Overload)
}

// scheduleQueue sets a timer to serve the shard's queue again soon. Slots also become
// free without a reply, when the ramp of a cold replica rises or an ejection ends.
func (c *Core) scheduleQueue(now ident.Instant, svc *service, sh *shard) {
	if sh.timerPending {
		return
	}
	sh.timerPending = true
	c.timers.Add(now.Add(parkedRetryInterval), timer{kind: queueTimer, svc: svc, shard: sh})
}

// serveQueue sends attempts for queued parts while the shard has a free slot. A part
// that can be deferred moves behind those that cannot.
func (c *Core) serveQueue(now ident.Instant, svc *service, sh *shard) {
	for sh.queue.Len() > 0 && c.hasFreeSlot(now, svc, sh) {
		queued, _ := sh.queue.Pop()
		q := c.query(ident.QueryID(queued.query))
		if q == nil || q.answered || queued.part >= len(q.parts) || q.parts[queued.part].state != partQueued {
			continue
		}
		if !queued.deferred && c.canDefer(now, q, &q.parts[queued.part]) {
			queued.deferred = true
			// The Pop above left room for this Push.
			sh.queue.Push(len(q.preset.Classes), q.flow, queued)
			continue
		}
		sh.queue.Charge()
		c.serveQueued(now, q, queued.part)
	}
	if sh.queue.Len() > 0 {
		c.scheduleQueue(now, svc, sh)
	}
}

func (c *Core) serveQueued(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	r := c.chooseReplica(now, q, p, true)
	switch {
	case r == nil:
		// No replica that holds the snapshot has a free slot: retry after an interval.
		c.park(now, q, i)
	case p.attemptCount == 0:
		c.sendFirst(now, q, i, r)
	default:
		c.retryOn(now, q, i, r)
	}
}

// hasFreeSlot reports whether an attempt for the next queued part may be sent.
func (c *Core) hasFreeSlot(now ident.Instant, svc *service, sh *shard) bool {
	if sh.Usable(now) == 0 {
		return false
	}
	in := replica.Selection{Now: now, Shard: &sh.Shard}
	in.Versions = svc.queueVersions(&in)
	if next, ok := sh.queue.Peek(); ok {
		if q := c.query(ident.QueryID(next.query)); q != nil {
			in.MedianLatency, in.AtMostOnce = q.profile.latency.Median(now), !q.repeatable()
		}
	}
	return in.CanSend()
}

func (c *Core) park(now ident.Instant, q *query, i int) {
	if q.goalMissed {
		// The retry budget refused the part, and it can no longer meet the goal.
		c.giveUp(now, q, i, coverage.Overload)
		return
	}
	q.parts[i].state = partParked
	c.timers.Add(now.Add(parkedRetryInterval), timer{kind: retryTimer, query: q.handle, part: i})
}

// resumeParked starts or retries a parked part.
func (c *Core) resumeParked(now ident.Instant, q *query, i int) {
	if q.answered || i >= len(q.parts) || q.parts[i].state != partParked || q.awaitsCanary(i) {
		return
	}
	p := &q.parts[i]
	if p.attemptCount == 0 {
		c.startPart(now, q, i)
		return
	}
	c.retry(now, q, i, p.reason)
}

// Reply handles the end of an attempt. It ignores a reply to an attempt that was aborted
// or never sent, so that no reply is attributed to another request.
func (c *Core) Reply(now ident.Instant, reply Reply) {
	c.detectStall(now)
	h := container.Handle(reply.Attempt)
	stored := c.attempts.Get(h)
	if stored == nil {
		return
	}
	a := *stored
	c.attempts.Free(h)
	c.recordOutcome(now, &a, &reply)
	if q := c.query(ident.QueryID(a.query)); q != nil {
		p := &q.parts[a.part]
		p.removeAttempt(h)
		if reply.Outcome.NotRun() {
			p.notRunCount++
		}
		if reply.Outcome == replica.Unsent {
			p.unsentCount++
		}
		c.handleReply(now, q, &a, &reply)
	}
	c.serveQueue(now, a.svc, a.shard)
}

// recordOutcome updates the state of the replica from the end of an attempt.
func (c *Core) recordOutcome(now ident.Instant, a *attempt, reply *Reply) {
	r := a.replica
	r.Ended(a.sent)
	if c.losses.Len() > 0 && reply.Outcome.Replied() {
		c.losses.Clear(processOf(a))
	}
	defer c.applyRequests(now, a, reply)
	if !c.isEvidence(a, reply.Outcome) {
		return
	}
	if reply.Held.Known() && reply.Held != r.Held {
		r.Held = reply.Held
		a.svc.choiceStale = true
	}
	r.ReportedLoad = reply.Load
	took := now.Sub(a.sent)
	a.recordRollout(now, reply.Outcome)
	r.RecordResult(now, replica.AttemptResult{Outcome: reply.Outcome, Took: took, MedianLatency: a.profile.latency.Median(now)})
	if reply.Outcome == replica.OK {
		a.profile.latency.Record(now, took)
		a.shard.CountEnded(now)
	}
	if reply.Outcome == replica.Broken || reply.Outcome == replica.Unsent {
		if q := c.query(ident.QueryID(a.query)); q != nil {
			a.svc.budget(q.rank).CountLost()
		}
	}
	if reply.Outcome == replica.Shed {
		if q := c.query(ident.QueryID(a.query)); q != nil {
			a.svc.budget(q.rank).CountShed(now)
		}
	}
	if r.Observe(now, c.newSample(now, a, reply.Outcome, took)) {
		a.svc.choiceStale = true
		c.reportCondition(now, r, reply.Outcome)
	}
}

// applyRequests applies what the replica asks for in a reply: no further attempts, or
// none for a time. Unlike evidence, this holds also after a stall of this VM.
func (c *Core) applyRequests(now ident.Instant, a *attempt, reply *Reply) {
	r := a.replica
	if reply.Draining {
		if r.Condition(now) != replica.Leaving {
			c.notify(News{Kind: Leaving, Replica: r.ID})
		}
		if a.svc.distinctStarts {
			r.MarkDeparted(now)
			c.notices.RecordDeparture(now, r.ID, r.Incarnation)
		} else {
			r.MarkLeaving(now)
		}
	}
	if reply.RetryAfter > 0 {
		until := r.Hold(now, reply.RetryAfter, c.randomFraction())
		c.notices.RecordHold(now, r.ID, r.Incarnation, until)
	}
}

func (c *Core) newSample(now ident.Instant, a *attempt, o replica.Outcome, took time.Duration) replica.Sample {
	latency := &a.profile.latency
	return c.policies.Evidence.Decide(replica.Sample{
		Outcome: o, Took: took, Base: latency.Base(now),
		SlowThreshold: slowFactor * latency.Median(now),
		MayEject:      c.policies.Eject.Decide(EjectInput{now, &a.shard.Shard, a.replica}),
	})
}

// reportCondition notifies control of a condition that the end of an attempt caused.
func (c *Core) reportCondition(now ident.Instant, r *replica.State, o replica.Outcome) {
	switch r.Condition(now) {
	case replica.Leaving:
		c.notify(News{Kind: Leaving, Replica: r.ID})
	case replica.Lost:
		c.notify(News{Kind: Lost, Replica: r.ID})
	case replica.Cold:
		if o == replica.RefusedCold || o == replica.OK {
			c.notify(News{Kind: Cold, Replica: r.ID})
		}
	case replica.Warm, replica.Ejected:
	}
}

func (c *Core) notify(n News) {
	c.actions = append(c.actions, Action{Kind: Notify, News: n})
}

// detachAttempts detaches a part's attempts in flight from their query. The linger policy
// may let them run on for a while: this keeps their connections open, and their outcomes
// still count as evidence.
func (c *Core) detachAttempts(now ident.Instant, q *query, i int) {
	linger := time.Duration(0)
	if !q.callerGone {
		linger = c.policies.Linger.Decide(LingerInput{Route: q.arrival.Route})
	}
	if linger == 0 {
		c.abortAttempts(now, q, i)
		return
	}
	p := &q.parts[i]
	for p.inFlightCount > 0 {
		p.inFlightCount--
		h := p.inFlight[p.inFlightCount]
		c.attempts.Get(h).query = 0
		c.timers.Add(now.Add(linger), timer{kind: lingerTimer, attempt: h})
	}
}

// abortAttempts cancels the part's attempts in flight.
func (c *Core) abortAttempts(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	for p.inFlightCount > 0 {
		p.inFlightCount--
		c.abort(now, p.inFlight[p.inFlightCount])
	}
}

// recordAborted records an aborted attempt, whose latency is at least the time it took.
func (c *Core) recordAborted(now ident.Instant, a *attempt) {
	took := now.Sub(a.sent)
	median := a.profile.latency.Median(now)
	a.recordRollout(now, replica.Aborted)
	a.replica.RecordResult(now, replica.AttemptResult{Outcome: replica.Aborted, Took: took, MedianLatency: median})
	if median > 0 && took >= median {
		a.profile.latency.Record(now, took)
	}
	if a.replica.Observe(now, c.newSample(now, a, replica.Aborted, took)) {
		a.svc.choiceStale = true
	}
}

// abort cancels one attempt that is still in flight.
func (c *Core) abort(now ident.Instant, h container.Handle) {
	stored := c.attempts.Get(h)
	if stored == nil {
		return
	}
	a := *stored
	c.attempts.Free(h)
	a.replica.Ended(a.sent)
	if c.isEvidence(&a, replica.Aborted) {
		c.recordAborted(now, &a)
	}
	c.actions = append(c.actions, Action{Kind: Abort, Attempt: ident.AttemptID(h)})
	if a.shard.queue.Len() > 0 {
		c.scheduleQueue(now, a.svc, a.shard)
	}
}
