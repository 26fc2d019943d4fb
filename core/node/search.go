package node

import (
	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

func (c *Core) startSearch(now ident.Instant, q *query) {
	at, m := q.svc.choose(now)
	if pinned := q.arrival.Snapshot; pinned != 0 {
		at, m = pinned, q.svc.maps.At(pinned)
	}
	if m == nil || len(m.Shards) == 0 {
		c.refuse(now, q, booking.NotRun, admission.NoService, "the service has no shards")
		return
	}
	c.pin(q, at, m)
	c.startParts(now, q)
}

func (c *Core) pin(q *query, at ident.SnapshotID, m *snapshot.Map) {
	q.at, q.pinned = at, *m
	clear(q.parts)
	q.parts = q.parts[:0]
	for _, id := range m.Shards {
		q.parts = append(q.parts, part{svc: q.svc, shard: q.svc.shards[id]})
	}
	q.unsettled, q.coveredCount = len(q.parts), 0
}

// startParts sends the first attempt of each part. The last part to settle may
// answer the query.
func (c *Core) startParts(now ident.Instant, q *query) {
	if c.poison.Suspect(now, q.fingerprint) && !q.restarted {
		c.startCanary(now, q)
		return
	}
	h := q.handle
	for i := range q.parts {
		c.first(now, q, i)
		if c.queries.Get(h) == nil {
			return
		}
	}
	c.armHedge(now, q)
}

// startCanary sends one part of a request that may have crashed upstreams
// before; the others wait for its result.
func (c *Core) startCanary(now ident.Instant, q *query) {
	most := 0
	for i := range q.parts {
		p := &q.parts[i]
		p.state, p.reason = parked, coverage.Lost
		if p.shard == nil {
			continue
		}
		// A crash hurts least where most replicas are left.
		if warm := p.shard.Warm(now); warm > most {
			q.canary, most = i, warm
		}
	}
	if q.canary < 0 {
		q.canary = 0
	}
	q.crashes = 1
	c.first(now, q, q.canary)
}

// hedge sends a second attempt for parts that take longer than most.
func (c *Core) hedge(now ident.Instant, q *query) {
	if q.answered || !q.repeatable() {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != open || p.liveCount == 0 || p.spent(q.allowed) {
			continue
		}
		r := c.chooseHedge(now, q, p)
		if r == nil || !c.spend(now, q, p, true) {
			continue
		}
		q.extra++
		c.send(now, q, i, r)
	}
	c.armHedge(now, q)
}

func (c *Core) armHedge(now ident.Instant, q *query) {
	delay := c.policies.HedgeDelay.Decide(HedgeQuestion{
		Now: now, Latency: &q.profile.latency, Quantile: q.preset.HedgeQuantile, Route: q.arrival.Route,
	})
	if at := now.Add(delay); delay > 0 && at < q.deadline {
		c.timers.Add(at, timer{kind: hedgeTimer, query: q.handle})
	}
}

// settle ends a part and answers the query when nothing more is wanted.
func (c *Core) settle(now ident.Instant, q *query, i int, s partState, reason coverage.Reason) {
	p := &q.parts[i]
	if p.settled() {
		return
	}
	c.leavePart(now, q, i)
	p.state, p.reason = s, reason
	q.unsettled--
	if s == covered {
		q.coveredCount++
	}
	if q.arrival.Key != "" || q.answered {
		return
	}
	if q.canary == i && reason != coverage.Lost {
		h := q.handle
		c.vindicate(now, q, i)
		if c.queries.Get(h) == nil {
			return
		}
	}
	if q.unsettled == 0 || (q.coveredCount > 0 && q.covers(q.wanted)) || c.decided(q) {
		c.finishSearch(now, q)
	}
}

// finishSearch answers with the parts that have come.
func (c *Core) finishSearch(now ident.Instant, q *query) {
	if q.arrival.Route != nil {
		c.finishPassing(now, q)
		return
	}
	if q.crashes > 0 && q.broke && q.coveredCount == 0 {
		q.crashes = 1
		c.crashed(now, q)
	}
	a := &Answer{Snapshot: q.at, Map: q.pinned.Version}
	a.Parts = make([]Part, 0, q.coveredCount)
	a.Coverage.Covered = make([]ident.ShardID, 0, q.coveredCount)
	for i := range q.parts {
		p := &q.parts[i]
		id := q.pinned.Shards[i]
		if p.state != covered {
			a.Coverage.Missing = append(a.Coverage.Missing, coverage.Missing{Shard: id, Reason: p.whyMissing()})
			continue
		}
		a.Parts = append(a.Parts, Part{Shard: id, Replica: p.by, Result: p.result})
		a.Coverage.Covered = append(a.Coverage.Covered, id)
		for _, below := range p.below {
			a.Coverage.Missing = append(a.Coverage.Missing, coverage.Missing{Shard: below, Reason: coverage.Below})
		}
	}
	if len(q.parts) > 0 && a.Coverage.Share() < q.least {
		a.Refusal = &Refusal{Outcome: booking.MayHaveRun, Reason: "coverage-too-low"}
		if q.firsts == 0 {
			a.Refusal.Outcome = booking.NotRun
		}
	}
	c.finish(now, q, a)
}

func (p *part) whyMissing() coverage.Reason {
	if p.state == missing || (p.state == parked && p.reason != coverage.None) {
		return p.reason
	}
	if p.state == waiting {
		return coverage.Overload
	}
	return coverage.Late
}

// restart begins the search again at a newer snapshot after the pinned one is
// gone from a shard, once per query and only while time is left. Parts of the
// old snapshot are dropped: an answer never mixes two.
func (c *Core) restart(now ident.Instant, q *query) bool {
	at, m := q.svc.choose(now)
	median := q.profile.latency.Median(now)
	if q.restarted || q.arrival.Snapshot != 0 || m == nil || at == 0 || at == q.at || q.deadline.Sub(now) < 2*median {
		return false
	}
	q.restarted = true
	for i := range q.parts {
		c.abortPart(now, q, i)
	}
	q.extra += q.firsts
	q.firsts = 0
	q.canary, q.crashes = -1, 0
	c.pin(q, at, m)
	c.startParts(now, q)
	return true
}
