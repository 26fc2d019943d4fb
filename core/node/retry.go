package node

import (
	"slices"

	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/replica"
)

// handleReply settles, retries or restarts after the end of a query's attempt.
func (c *Core) handleReply(now ident.Instant, q *query, a *attempt, reply *Reply) {
	if q.arrival.Key != "" {
		c.handleBookingReply(now, q, a, reply)
		return
	}
	p := &q.parts[a.part]
	if p.settled() || q.answered {
		return
	}
	if q.arrival.Route != nil {
		c.handleRoutedReply(now, q, a, reply)
		return
	}
	switch reply.Outcome {
	case replica.OK:
		c.acceptResult(now, q, a, reply)
	case replica.SnapshotGone:
		c.handleSnapshotGone(now, q, a.part)
	case replica.Broken:
		c.handleUpstreamLoss(now, q, a.part)
	case replica.Failed:
		c.retry(now, q, a.part, coverage.Failed)
	case replica.Unsent:
		c.retry(now, q, a.part, coverage.UpstreamLost)
	case replica.Shed, replica.RefusedCold, replica.Draining:
		c.retry(now, q, a.part, coverage.Overload)
	case replica.Aborted:
	}
}

func (c *Core) acceptResult(now ident.Instant, q *query, a *attempt, reply *Reply) {
	p := &q.parts[a.part]
	if q.snapshot == 0 && reply.Snapshot != 0 && !c.adoptSnapshot(now, q, reply.Snapshot) {
		return
	}
	if reply.Snapshot != q.snapshot || reply.Shard != p.shard.ID {
		c.handleMismatch(now, q, a)
		return
	}
	p.result, p.servedBy = reply.Result, a.replica.ID
	p.missingBelow = append(p.missingBelow[:0], reply.MissingBelow...)
	h := q.handle
	if q.canary >= 0 {
		// A request that crashes upstreams crashes every upstream that runs it, so this
		// result clears the suspicion.
		c.clearSuspicion(now, q, a.part)
	}
	if c.queries.Get(h) != nil {
		c.settlePart(now, q, a.part, partCovered, coverage.None)
	}
}

// handleMismatch handles a reply with another shard or snapshot than required. An attempt
// without a requested snapshot is repeated with the pinned one.
func (c *Core) handleMismatch(now ident.Instant, q *query, a *attempt) {
	p := &q.parts[a.part]
	if a.requestedSnapshot == 0 && p.inFlightCount == 0 && !p.attemptsExhausted(q.allowedAttempts) {
		if r := c.chooseReplica(now, q, p, true); r != nil {
			q.extraAttempts++
			c.sendAttempt(now, q, a.part, r)
			return
		}
	}
	c.retry(now, q, a.part, coverage.Failed)
}

// adoptSnapshot pins the snapshot of the first reply, for a query that started while no
// replica had reported its snapshots. It returns false if this restarted the query.
func (c *Core) adoptSnapshot(now ident.Instant, q *query, at ident.SnapshotID) bool {
	m := q.svc.maps.At(at)
	if m == nil {
		return true
	}
	if m.Version == q.shardMap.Version {
		q.snapshot = at
		return true
	}
	return !c.restart(now, q)
}

// handleSnapshotGone handles a reply of a replica that does not hold the pinned snapshot.
func (c *Core) handleSnapshotGone(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	if p.inFlightCount > 0 {
		return
	}
	for _, r := range p.shard.Replicas {
		if r.Usable(now) && r.Held.Holds(q.snapshot) {
			c.retry(now, q, i, coverage.SnapshotGone)
			return
		}
	}
	if !c.restart(now, q) {
		c.giveUp(now, q, i, coverage.SnapshotGone)
	}
}

// retry sends another attempt of a part after its last one failed with reason, queues or
// parks the part, or gives it up.
func (c *Core) retry(now ident.Instant, q *query, i int, reason coverage.Reason) {
	p := &q.parts[i]
	p.reason = reason
	if p.inFlightCount > 0 {
		return
	}
	switch {
	case p.attemptsExhausted(q.allowedAttempts):
		c.giveUp(now, q, i, reason)
	case p.shard.Usable(now) == 0:
		c.giveUp(now, q, i, coverage.NoReplica)
	default:
		c.retryNow(now, q, i)
	}
}

func (c *Core) retryNow(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	if r := c.chooseReplica(now, q, p, p.reason != coverage.UpstreamLost); r != nil {
		c.retryOn(now, q, i, r)
		return
	}
	// No free slot: queue the part, or first attempts would take every slot.
	c.enqueue(now, q, i)
}

// retryOn sends a retry, or parks the part until the budget allows one.
func (c *Core) retryOn(now ident.Instant, q *query, i int, r *replica.State) {
	if !c.allowExtra(now, q, &q.parts[i], false) {
		c.park(now, q, i)
		return
	}
	q.extraAttempts++
	c.sendAttempt(now, q, i, r)
}

// giveUp settles a part as missing, or ends a booking that did not run.
func (c *Core) giveUp(now ident.Instant, q *query, i int, reason coverage.Reason) {
	if q.arrival.Key != "" {
		c.bookingNotRun(now, q, reason)
		return
	}
	c.settlePart(now, q, i, partMissing, reason)
}

// handleUpstreamLoss handles the loss of an upstream during an attempt. The query may have
// caused the crash, so only one part, the canary, is retried; the others wait for its
// result.
func (c *Core) handleUpstreamLoss(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	p.reason = coverage.UpstreamLost
	c.recentLosses.Push(upstreamLoss{now, q.fingerprint, p.tried[p.attemptCount-1]})
	q.lostUpstream = true
	if p.inFlightCount > 0 {
		return
	}
	switch q.canary {
	case -1:
		q.canary, q.crashRounds = i, 1
		c.retry(now, q, i, coverage.UpstreamLost)
	case i:
		q.crashRounds = poison.Threshold
		c.failAfterCanary(now, q)
	default:
		p.state = partParked
	}
}

// awaitsCanary reports whether part i waits for the result of the canary.
func (q *query) awaitsCanary(i int) bool {
	return q.canary >= 0 && q.canary != i && q.parts[i].reason == coverage.UpstreamLost
}

// clearSuspicion resumes the parts that wait for the canary, after part i ended without
// losing its upstream.
func (c *Core) clearSuspicion(now ident.Instant, q *query, i int) {
	q.canary, q.crashRounds = -1, 0
	c.poison.Clear(q.fingerprint)
	h := q.handle
	for j := range q.parts {
		if j == i || q.parts[j].state != partParked || q.parts[j].reason != coverage.UpstreamLost {
			continue
		}
		if q.parts[j].attemptCount == 0 {
			c.startPart(now, q, j)
		} else {
			c.retry(now, q, j, coverage.UpstreamLost)
		}
		if c.queries.Get(h) == nil {
			return
		}
	}
	c.scheduleHedges(now, q)
}

// failAfterCanary settles the parts that lost their upstreams, after the canary lost one too.
func (c *Core) failAfterCanary(now ident.Instant, q *query) {
	c.reportCrashes(now, q)
	h := q.handle
	for i := range q.parts {
		if !q.parts[i].settled() && q.parts[i].reason == coverage.UpstreamLost && q.parts[i].inFlightCount == 0 {
			c.settlePart(now, q, i, partMissing, coverage.UpstreamLost)
			if c.queries.Get(h) == nil {
				return
			}
		}
	}
}

// reportCrashes records the crashes of the query here and sends them to the other VMs,
// unless a mass loss explains them.
func (c *Core) reportCrashes(now ident.Instant, q *query) {
	if q.crashRounds == 0 {
		return
	}
	if c.massLoss(now, q) {
		q.crashRounds = 0
		return
	}
	c.poison.RecordCrashes(now, q.fingerprint, q.crashRounds)
	c.notify(News{Kind: Crash, Fingerprint: q.fingerprint, Crashes: q.crashRounds})
	q.crashRounds = 0
}

// massLoss reports whether several upstreams that the query did not use were lost
// recently. The query's own losses are then no evidence against it.
func (c *Core) massLoss(now ident.Instant, q *query) bool {
	var others []*replica.State
	for _, loss := range c.recentLosses.Values() {
		if loss.fingerprint != q.fingerprint && now.Sub(loss.at) < massLossWindow &&
			!q.hasTried(loss.replica) && !slices.Contains(others, loss.replica) {
			others = append(others, loss.replica)
		}
	}
	return len(others) >= massLossThreshold
}

func (q *query) hasTried(r *replica.State) bool {
	for i := range q.parts {
		p := &q.parts[i]
		if slices.Contains(p.tried[:p.attemptCount], r) {
			return true
		}
	}
	return false
}
