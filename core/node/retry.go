package node

import (
	"slices"

	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/replica"
)

// replied decides what follows from the end of a query's attempt.
func (c *Core) replied(now ident.Instant, q *query, a *attempt, reply *Reply) {
	if q.arrival.Key != "" {
		c.bookingReplied(now, q, a, reply)
		return
	}
	p := &q.parts[a.part]
	if p.settled() || q.answered {
		return
	}
	if q.arrival.Route != nil {
		c.passed(now, q, a, reply)
		return
	}
	switch reply.Outcome {
	case replica.OK:
		c.result(now, q, a, reply)
	case replica.Gone:
		c.gone(now, q, a.part)
	case replica.Broken:
		c.broken(now, q, a.part)
	case replica.Failed:
		c.retry(now, q, a.part, coverage.Failed)
	case replica.Unsent:
		c.retry(now, q, a.part, coverage.Lost)
	case replica.Shed, replica.RefusedCold, replica.Draining:
		c.retry(now, q, a.part, coverage.Overload)
	case replica.Aborted:
	}
}

func (c *Core) result(now ident.Instant, q *query, a *attempt, reply *Reply) {
	p := &q.parts[a.part]
	if q.at == 0 && reply.Snapshot != 0 && !c.adopt(now, q, reply.Snapshot) {
		return
	}
	if reply.Snapshot != q.at || reply.Shard != p.shard.ID {
		c.mismatched(now, q, a)
		return
	}
	p.result, p.by = reply.Result, a.replica.ID
	p.below = append(p.below[:0], reply.MissingBelow...)
	h := q.handle
	if q.canary >= 0 {
		// A request that crashes upstreams crashes each that runs it.
		c.vindicate(now, q, a.part)
	}
	if c.queries.Get(h) != nil {
		c.settle(now, q, a.part, covered, coverage.None)
	}
}

// mismatched follows from a reply that is no result of its part. One that was
// asked for no certain snapshot is asked again for the pinned one.
func (c *Core) mismatched(now ident.Instant, q *query, a *attempt) {
	p := &q.parts[a.part]
	if a.asked == 0 && p.liveCount == 0 && !p.spent(q.allowed) {
		if r := c.choose(now, q, p, true); r != nil {
			q.extra++
			c.send(now, q, a.part, r)
			return
		}
	}
	c.retry(now, q, a.part, coverage.Failed)
}

// adopt pins the first snapshot that a reply names, for a query that started
// while nothing was known. It reports false when the query started again.
func (c *Core) adopt(now ident.Instant, q *query, at ident.SnapshotID) bool {
	m := q.svc.maps.At(at)
	if m == nil {
		return true
	}
	if m.Version == q.pinned.Version {
		q.at = at
		return true
	}
	return !c.restart(now, q)
}

// gone follows from a replica that does not hold the pinned snapshot.
func (c *Core) gone(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	if p.liveCount > 0 {
		return
	}
	for _, r := range p.shard.Replicas {
		if r.Usable(now) && r.Held.Holds(q.at) {
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
	if p.liveCount > 0 {
		return
	}
	switch {
	case p.spent(q.allowed):
		c.giveUp(now, q, i, reason)
	case p.shard.Usable(now) == 0:
		c.giveUp(now, q, i, coverage.NoReplica)
	default:
		c.retryNow(now, q, i)
	}
}

func (c *Core) retryNow(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	if r := c.choose(now, q, p, p.reason != coverage.Lost); r != nil {
		c.retryAt(now, q, i, r)
		return
	}
	// No place: wait in the queue, else first attempts take every one.
	c.enqueue(now, q, i)
}

// retryAt sends a retry, or parks the part until the budget allows one.
func (c *Core) retryAt(now ident.Instant, q *query, i int, r *replica.State) {
	if !c.spend(now, q, &q.parts[i], false) {
		c.park(now, q, i)
		return
	}
	q.extra++
	c.send(now, q, i, r)
}

// giveUp settles a part as missing, or ends a booking that was not run.
func (c *Core) giveUp(now ident.Instant, q *query, i int, reason coverage.Reason) {
	if q.arrival.Key != "" {
		c.bookingNotRun(now, q, reason)
		return
	}
	c.settle(now, q, i, missing, reason)
}

// broken follows from an upstream lost with the attempt on it. The query may be
// what crashed it, so only one part, the canary, is retried; the others wait
// for its result.
func (c *Core) broken(now ident.Instant, q *query, i int) {
	p := &q.parts[i]
	p.reason = coverage.Lost
	c.breaks.Push(breakage{now, q.fingerprint, p.tried[p.attempts-1]})
	q.broke = true
	if p.liveCount > 0 {
		return
	}
	switch q.canary {
	case -1:
		q.canary, q.crashes = i, 1
		c.retry(now, q, i, coverage.Lost)
	case i:
		q.crashes = poison.Threshold
		c.condemn(now, q)
	default:
		p.state = parked
	}
}

// held reports whether part i waits for the canary.
func (q *query) held(i int) bool {
	return q.canary >= 0 && q.canary != i && q.parts[i].reason == coverage.Lost
}

// vindicate lets the held parts go on after part i ended without losing its
// upstream.
func (c *Core) vindicate(now ident.Instant, q *query, i int) {
	q.canary, q.crashes = -1, 0
	c.poison.Clear(q.fingerprint)
	h := q.handle
	for j := range q.parts {
		if j == i || q.parts[j].state != parked || q.parts[j].reason != coverage.Lost {
			continue
		}
		if q.parts[j].attempts == 0 {
			c.first(now, q, j)
		} else {
			c.retry(now, q, j, coverage.Lost)
		}
		if c.queries.Get(h) == nil {
			return
		}
	}
	c.armHedge(now, q)
}

// condemn ends the parts that lost their upstreams: the canary lost one too.
func (c *Core) condemn(now ident.Instant, q *query) {
	c.crashed(now, q)
	h := q.handle
	for i := range q.parts {
		if !q.parts[i].settled() && q.parts[i].reason == coverage.Lost && q.parts[i].liveCount == 0 {
			c.settle(now, q, i, missing, coverage.Lost)
			if c.queries.Get(h) == nil {
				return
			}
		}
	}
}

// crashed reports the query's unexplained crashes, here and to other VMs.
func (c *Core) crashed(now ident.Instant, q *query) {
	if q.crashes == 0 {
		return
	}
	if c.massLoss(now, q) {
		q.crashes = 0
		return
	}
	c.poison.Crash(now, q.fingerprint, q.crashes)
	c.tell(News{Kind: Crash, Fingerprint: q.fingerprint, Crashes: q.crashes})
	q.crashes = 0
}

// massLoss reports whether several upstreams were just lost that the query had
// not touched: then its own losses say little about it.
func (c *Core) massLoss(now ident.Instant, q *query) bool {
	var others []*replica.State
	for _, b := range c.breaks.Values() {
		if b.fingerprint != q.fingerprint && now.Sub(b.at) < massLossSpan &&
			!q.touched(b.replica) && !slices.Contains(others, b.replica) {
			others = append(others, b.replica)
		}
	}
	return len(others) >= massLossUpstreams
}

func (q *query) touched(r *replica.State) bool {
	for i := range q.parts {
		p := &q.parts[i]
		if slices.Contains(p.tried[:p.attempts], r) {
			return true
		}
	}
	return false
}
