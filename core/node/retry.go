package node

import (
	"slices"

	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/replica"
)

// handleReply decides what follows from the end of a query's attempt.
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
	case replica.Gone:
		c.handleSnapshotGone(now, q, a.part)
	case replica.Broken:
		c.handleUpstreamLoss(now, q, a.part)
	case replica.Failed:
		c.retry(now, q, a.part, coverage.Failed)
	case replica.Unsent:
		c.retry(now, q, a.part, coverage.Lost)
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
		// A request that crashes upstreams crashes each that runs it.
		c.clearSuspicion(now, q, a.part)
	}
	if c.queries.Get(h) != nil {
		c.settlePart(now, q, a.part, partCovered, coverage.None)
	}
}

// handleMismatch follows from a reply that is no result of its part. One that was
// asked for no certain snapshot is asked again for the pinned one.
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

// adoptSnapshot pins the first snapshot that a reply names, for a query that started
// while nothing was known. It reports false when the query started again.
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

// handleSnapshotGone follows from a replica that does not hold the pinned snapshot.
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

// retry sends another attempt of a part whose last one failed for reason, or
// parks it until the budget allows one.
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
	if r := c.chooseReplica(now, q, p, p.reason != coverage.Lost); r != nil {
		c.retryOn(now, q, i, r)
		return
	}
	// No place: wait in the queue, else first attempts take every one.
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

// giveUp settles a part as missing, or ends a booking that was not run.
func (c *Core) giveUp(now ident.Instant, q *query, i int, reason coverage.Reason) {
	if q.arrival.Key != "" {
		c.bookingNotRun(now, q, reason)
		return
	}
	c.settlePart(now, q, i, partMissing, reason)
}

// handleUpstreamLoss follows from an upstream lost with the attempt on it. The query may be
// what crashed it, so only one part, the canary, is retried; the others wait
// for its result.
func (c *Core) handleUpstreamLoss(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	p.reason = coverage.Lost
	c.recentLosses.Push(upstreamLoss{now, q.fingerprint, p.tried[p.attemptCount-1]})
	q.lostUpstream = true
	if p.inFlightCount > 0 {
		return
	}
	switch q.canary {
	case -1:
		q.canary, q.crashRounds = i, 1
		c.retry(now, q, i, coverage.Lost)
	case i:
		q.crashRounds = poison.Threshold
		c.failAfterCanary(now, q)
	default:
		p.state = partParked
	}
}

// awaitsCanary reports whether part i waits for the canary.
func (q *query) awaitsCanary(i int) bool {
	return q.canary >= 0 && q.canary != i && q.parts[i].reason == coverage.Lost
}

// clearSuspicion lets the held parts go on after part i ended without losing its
// upstream.
func (c *Core) clearSuspicion(now ident.Instant, q *query, i int) {
	q.canary, q.crashRounds = -1, 0
	c.poison.Clear(q.fingerprint)
	h := q.handle
	for j := range q.parts {
		if j == i || q.parts[j].state != partParked || q.parts[j].reason != coverage.Lost {
			continue
		}
		if q.parts[j].attemptCount == 0 {
			c.startPart(now, q, j)
		} else {
			c.retry(now, q, j, coverage.Lost)
		}
		if c.queries.Get(h) == nil {
			return
		}
	}
	c.scheduleHedges(now, q)
}

// failAfterCanary ends the parts that lost their upstreams: the canary lost one too.
func (c *Core) failAfterCanary(now ident.Instant, q *query) {
	c.reportCrashes(now, q)
	h := q.handle
	for i := range q.parts {
		if !q.parts[i].settled() && q.parts[i].reason == coverage.Lost && q.parts[i].inFlightCount == 0 {
			c.settlePart(now, q, i, partMissing, coverage.Lost)
			if c.queries.Get(h) == nil {
				return
			}
		}
	}
}

// reportCrashes reports the query's unexplained crashes, here and to other VMs.
func (c *Core) reportCrashes(now ident.Instant, q *query) {
	if q.crashRounds == 0 {
		return
	}
	if c.massLoss(now, q) {
		q.crashRounds = 0
		return
	}
	c.poison.Crash(now, q.fingerprint, q.crashRounds)
	c.notify(News{Kind: Crash, Fingerprint: q.fingerprint, Crashes: q.crashRounds})
	q.crashRounds = 0
}

// massLoss reports whether several upstreams were just lost that the query had
// not touched: then its own losses say little about it.
func (c *Core) massLoss(now ident.Instant, q *query) bool {
	var others []*replica.State
	for _, b := range c.recentLosses.Values() {
		if b.fingerprint != q.fingerprint && now.Sub(b.at) < massLossWindow &&
			!q.hasTried(b.replica) && !slices.Contains(others, b.replica) {
			others = append(others, b.replica)
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
