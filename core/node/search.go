package node

import (
	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

func (c *Core) startSearch(now ident.Instant, q *query) {
	at, m := q.svc.chooseSnapshot(now)
	if pinned := q.arrival.Snapshot; pinned != 0 {
		at, m = pinned, q.svc.maps.At(pinned)
	}
	if m == nil || len(m.Shards) == 0 {
		c.refuse(now, q, booking.NotRun, admission.UnknownService, "the service has no shards")
		return
	}
	c.pinSnapshot(q, at, m)
	c.startParts(now, q)
}

func (c *Core) pinSnapshot(q *query, at ident.SnapshotID, m *snapshot.Map) {
	q.snapshot, q.shardMap = at, *m
	clear(q.parts)
	q.parts = q.parts[:0]
	for _, id := range m.Shards {
		q.parts = append(q.parts, part{svc: q.svc, shard: q.svc.shards[id]})
	}
	q.unsettledCount, q.coveredCount = len(q.parts), 0
}

// startParts sends the first attempt of each part. The query may be answered and freed
// meanwhile, when its last part settles.
func (c *Core) startParts(now ident.Instant, q *query) {
	if c.poison.Suspect(now, q.fingerprint) && !q.restarted {
		c.startCanary(now, q)
		return
	}
	h := q.handle
	for i := range q.parts {
		c.startPart(now, q, i)
		if c.queries.Get(h) == nil {
			return
		}
	}
	c.scheduleHedges(now, q)
}

// startCanary sends one part of a request that is suspected of crashing upstreams; the
// other parts wait for its result.
func (c *Core) startCanary(now ident.Instant, q *query) {
	mostWarm := 0
	for i := range q.parts {
		p := &q.parts[i]
		p.state, p.reason = partParked, coverage.UpstreamLost
		if p.shard == nil {
			continue
		}
		// A crash has the least impact on the shard with the most warm replicas.
		if warm := p.shard.Warm(now); warm > mostWarm {
			q.canary, mostWarm = i, warm
		}
	}
	if q.canary < 0 {
		q.canary = 0
	}
	q.crashRounds = 1
	c.startPart(now, q, q.canary)
}

// sendHedges sends a second attempt for each part whose reply is overdue.
func (c *Core) sendHedges(now ident.Instant, q *query) {
	if q.answered || !q.repeatable() {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partInFlight || p.inFlightCount == 0 || p.attemptsExhausted(q.allowedAttempts) {
			continue
		}
		r := c.chooseHedgeReplica(now, q, p)
		if r == nil || !c.allowExtra(now, q, p, true) {
			continue
		}
		q.extraAttempts++
		c.sendAttempt(now, q, i, r)
	}
	c.scheduleHedges(now, q)
}

func (c *Core) scheduleHedges(now ident.Instant, q *query) {
	delay := c.policies.HedgeDelay.Decide(HedgeInput{
		Now: now, Latency: &q.profile.latency, Quantile: q.preset.HedgeQuantile, Route: q.arrival.Route,
	})
	if at := now.Add(delay); delay > 0 && at < q.deadline {
		c.timers.Add(at, timer{kind: hedgeTimer, query: q.handle})
	}
}

// settlePart ends a part, and answers the query once further results are not needed.
func (c *Core) settlePart(now ident.Instant, q *query, i int, s partState, reason coverage.Reason) {
	p := &q.parts[i]
	if p.settled() {
		return
	}
	c.detachAttempts(now, q, i)
	p.state, p.reason = s, reason
	q.unsettledCount--
	if s == partCovered {
		q.coveredCount++
	}
	if q.arrival.Key != "" || q.answered {
		return
	}
	if q.canary == i && reason != coverage.UpstreamLost {
		h := q.handle
		c.clearSuspicion(now, q, i)
		if c.queries.Get(h) == nil {
			return
		}
	}
	if q.unsettledCount == 0 || (q.coveredCount > 0 && q.covers(q.wantedCoverage)) || c.isDecided(q) {
		c.finishSearch(now, q)
	}
}

// finishSearch answers a search or routed query with the covered parts.
func (c *Core) finishSearch(now ident.Instant, q *query) {
	if q.arrival.Route != nil {
		c.finishRouted(now, q)
		return
	}
	if q.crashRounds > 0 && q.lostUpstream && q.coveredCount == 0 {
		q.crashRounds = 1
		c.reportCrashes(now, q)
	}
	a := &Answer{Snapshot: q.snapshot, Map: q.shardMap.Version}
	a.Parts = make([]Part, 0, q.coveredCount)
	a.Coverage.Covered = make([]ident.ShardID, 0, q.coveredCount)
	for i := range q.parts {
		p := &q.parts[i]
		id := q.shardMap.Shards[i]
		if p.state != partCovered {
			a.Coverage.Missing = append(a.Coverage.Missing, coverage.Missing{Shard: id, Reason: p.missingReason()})
			continue
		}
		a.Parts = append(a.Parts, Part{Shard: id, Replica: p.servedBy, Result: p.result})
		a.Coverage.Covered = append(a.Coverage.Covered, id)
		for _, below := range p.missingBelow {
			a.Coverage.Missing = append(a.Coverage.Missing, coverage.Missing{Shard: below, Reason: coverage.MissingBelow})
		}
	}
	if len(q.parts) > 0 && a.Coverage.Share() < q.leastCoverage {
		a.Refusal = &Refusal{Outcome: booking.MayHaveRun, Reason: "coverage-too-low"}
		if q.firstAttempts == 0 {
			a.Refusal.Outcome = booking.NotRun
		}
	}
	c.finish(now, q, a)
}

func (p *part) missingReason() coverage.Reason {
	if p.state == partMissing || (p.state == partParked && p.reason != coverage.None) {
		return p.reason
	}
	if p.state == partQueued {
		return coverage.Overload
	}
	return coverage.DeadlineExceeded
}

// restart starts the search again at a newer snapshot after a shard no longer holds the
// pinned one, once per query and only if two median latencies are left. It drops the parts
// of the old snapshot: an answer never mixes two snapshots.
func (c *Core) restart(now ident.Instant, q *query) bool {
	at, m := q.svc.chooseSnapshot(now)
	median := q.profile.latency.Median(now)
	if q.restarted || q.arrival.Snapshot != 0 || m == nil || at == 0 || at == q.snapshot || q.deadline.Sub(now) < 2*median {
		return false
	}
	q.restarted = true
	for i := range q.parts {
		c.abortAttempts(now, q, i)
	}
	q.extraAttempts += q.firstAttempts
	q.firstAttempts = 0
	q.canary, q.crashRounds = -1, 0
	c.pinSnapshot(q, at, m)
	c.startParts(now, q)
	return true
}
