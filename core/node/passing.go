package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
)

// Reasons of refused passing requests, besides those of package admission.
const (
	upstreamFailed admission.Reason = "upstream-failed"
	// DeadlinePassed ended without enough results at its deadline.
	DeadlinePassed admission.Reason = "deadline-passed"
	coverageTooLow admission.Reason = "coverage-too-low"
)

const (
	// goalMargin is the part of a route's goal that is kept for the way to
	// the caller and back and for writing the answer.
	goalMargin = 12 * time.Millisecond
	// cutOffRetryAfter is when a caller may come back to a VM that is cut off: the
	// balancer has then seen two refusals, one second apart, and sends him elsewhere.
	cutOffRetryAfter = 2 * time.Second
	// noReplicaRetryAfter is when a caller may come back who found no replica:
	// the first interval after which a lost replica is tried again.
	noReplicaRetryAfter = 300 * time.Millisecond
	// minQuotaReserve of a quota is kept whatever the number of parts. Beyond it,
	// spareParts over their number is what parts that are not needed may use.
	minQuotaReserve = 0.25
	optionalParts   = 8
)

// repeatable reports whether the query may run more than once.
func (q *query) repeatable() bool {
	if q.arrival.Route != nil {
		return q.arrival.Route.Repeatable
	}
	return q.arrival.Key == ""
}

// prepareRouted checks a new request on a route, fills in what the route
// decides, and returns why it is refused.
func (c *Core) prepareRouted(now ident.Instant, q *query) (admission.Reason, string) {
	r := q.arrival.Route
	p := &c.view.Preset
	q.preset = p
	q.profile = c.routeProfile(r.Name)
	q.target = c.splits.Next(r, c.splitPhase)
	limit := q.arrival.Deadline
	if limit == 0 {
		limit = p.LongestDeadline
	}
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	if limit <= 0 {
		return admission.CannotMeet, "no time was left"
	}
	q.deadline = now.Add(limit)
	q.wantedCoverage, q.leastCoverage = 1, 1
	if r.Gather {
		q.leastCoverage = r.LeastCoverage
	}
	q.rank = min(max(r.Rank, 0), max(len(p.Classes)-1, 0))
	q.allowedAttempts = min(max(r.Attempts, 1), preset.MostAttempts)
	if !q.repeatable() {
		q.allowedAttempts = 1
	}
	c.addTargetParts(q)
	return c.admitRouted(now, q)
}

// addTargetParts makes one part for each service of the target.
func (c *Core) addTargetParts(q *query) {
	clear(q.parts)
	q.parts = q.parts[:0]
	for _, id := range q.target.Services {
		svc := c.services[id]
		p := part{svc: svc}
		if svc != nil && len(svc.shardOrder) > 0 {
			p.shard = svc.shards[svc.shardOrder[0]]
		}
		q.parts = append(q.parts, p)
	}
	q.unsettledCount, q.coveredCount = len(q.parts), 0
}

// admitRouted refuses a request that surely cannot be served.
func (c *Core) admitRouted(now ident.Instant, q *query) (admission.Reason, string) {
	median := q.profile.latency.Median(now)
	waits := make([]time.Duration, 0, len(q.parts))
	queuesWithRoom := 0
	for i := range q.parts {
		sh := q.parts[i].shard
		if sh == nil || sh.Usable(now) == 0 {
			continue
		}
		waits = append(waits, sh.Wait(now, sh.queue.Ahead(q.rank), median))
		if sh.queue.Room(q.rank) {
			queuesWithRoom++
		}
	}
	needed := q.neededParts()
	if len(waits) < needed {
		return noUpstream, "too few shards have a replica that may be used"
	}
	slices.SortFunc(waits, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	r := admission.Request{
		Rank: q.rank, Ranks: len(q.preset.Classes),
		InFlight: c.inFlight, Most: q.preset.QueriesInFlight, QueueFull: queuesWithRoom < needed,
		Wait: waits[needed-1], Typical: q.profile.latency.Fastest(now), Left: q.deadline.Sub(now),
	}
	reason := c.policies.Admit.Decide(r)
	if reason == admission.Admitted {
		return reason, ""
	}
	return reason, fmt.Sprintf("%d in flight, a wait of %v, then %v; %v left", r.InFlight, r.Wait, r.Typical, r.Left)
}

// neededParts returns the least number of parts that an answer holds, at least one.
func (q *query) neededParts() int {
	n := len(q.parts)
	for k := 1; k < n; k++ {
		if float64(k) >= float64(q.leastCoverage)*float64(n) {
			return k
		}
	}
	return max(n, 1)
}

// requires reports whether a search on a route would have too few parts if this one
// were given up: those that have come and those that still may are not enough.
func (q *query) requires(p *part) bool {
	if q.target == nil {
		return true
	}
	possible := 0
	for i := range q.parts {
		other := &q.parts[i]
		if other != p && (other.state == partCovered || other.state == partInFlight || other.state == partQueued) {
			possible++
		}
	}
	return possible < q.neededParts()
}

// quotaReserve is the part of a quota that is kept for parts without which an answer
// holds too little. One of n others adds about 2/n to the worth of an answer: the
// more there are, the less may be spent on them.
func (q *query) quotaReserve() ident.Share {
	return ident.Share(max(minQuotaReserve, 1-optionalParts/float64(max(len(q.parts), 1))))
}

// canDefer reports whether a part that waits for a place should leave it to
// others: its search has enough parts without it, come or on their way, or can no
// longer be in time. Without this, a shard that bears less than the load makes
// every search late: each waits as long as the queue is.
func (c *Core) canDefer(now ident.Instant, q *query, p *part) bool {
	if q.target == nil {
		return false
	}
	goal := q.arrival.Route.Goal
	if goal > 0 && now.Add(q.profile.latency.Median(now)) > q.started.Add(goal-goalMargin) {
		return true
	}
	expected := 0
	for i := range q.parts {
		if other := &q.parts[i]; other != p && (other.state == partCovered || other.state == partInFlight) {
			expected++
		}
	}
	return expected >= q.neededParts()
}

// covers reports whether the parts that have come are the share of all.
func (q *query) covers(share ident.Share) bool {
	return float64(q.coveredCount) >= float64(share)*float64(len(q.parts))
}

func (c *Core) routeProfile(id ident.RouteID) *profile {
	p := c.profiles[id]
	if p != nil {
		return p
	}
	if len(c.profiles) >= maxProfiles {
		clear(c.profiles)
	}
	p = &profile{}
	c.profiles[id] = p
	return p
}

func (c *Core) startRouted(now ident.Instant, q *query) {
	h := q.handle
	for i := range q.parts {
		c.startPart(now, q, i)
		if c.queries.Get(h) == nil {
			return
		}
	}
	c.scheduleHedges(now, q)
	if r := q.arrival.Route; r.Gather && r.Goal > goalMargin {
		if at := q.started.Add(r.Goal - goalMargin); at < q.deadline {
			c.timers.Add(at, timer{kind: goalTimer, query: h})
		}
	}
}

// handleGoal answers a gathering query at its goal with the parts that have come,
// if they are the least share: a later answer is worth a small part of one in
// time, and the missing shards cost at most the square of the share. Otherwise
// the query is answered as soon as the least share is there.
func (c *Core) handleGoal(now ident.Instant, q *query) {
	if q.answered {
		return
	}
	q.goalMissed = true
	if q.coveredCount > 0 && q.covers(q.leastCoverage) {
		c.finishSearch(now, q)
	}
}

// isDecided reports whether the end of a query on a route is known before each of
// its parts has settled.
func (c *Core) isDecided(q *query) bool {
	if q.arrival.Route == nil {
		return false
	}
	if q.goalMissed && q.coveredCount > 0 && q.covers(q.leastCoverage) {
		return true
	}
	return q.coveredCount+q.unsettledCount < q.neededParts()
}

// maxTrail bounds the trail of a query.
const maxTrail = 32

// recordFailedAttempt notes an attempt that gave no result.
func (q *query) recordFailedAttempt(now ident.Instant, a *attempt, o replica.Outcome) {
	if len(q.trail) < maxTrail {
		q.trail = append(q.trail, FailedAttempt{
			Service: a.svc.id, Replica: a.replica.ID, Outcome: o, After: a.sent.Sub(q.started), Took: now.Sub(a.sent),
		})
	}
}

// handleRoutedReply decides what follows from the end of an attempt on a route.
func (c *Core) handleRoutedReply(now ident.Instant, q *query, a *attempt, reply *Reply) {
	p := &q.parts[a.part]
	if reply.Outcome != replica.OK {
		q.recordFailedAttempt(now, a, reply.Outcome)
	}
	switch reply.Outcome {
	case replica.OK:
		p.result, p.servedBy, p.message = reply.Result, a.replica.ID, reply.Message
		c.settlePart(now, q, a.part, partCovered, coverage.None)
		return
	case replica.Failed:
		q.failureReply = reply.Message
	case replica.Unsent:
		p.svc.quota.Refund(now)
	default:
	}
	reason := missingReasonOf(reply.Outcome)
	if !q.repeatable() && !reply.Outcome.NotRun() {
		c.settlePart(now, q, a.part, partMissing, reason)
		return
	}
	c.retry(now, q, a.part, reason)
}

func missingReasonOf(o replica.Outcome) coverage.Reason {
	switch o {
	case replica.Failed:
		return coverage.Failed
	case replica.Broken, replica.Unsent, replica.Misdirected:
		return coverage.Lost
	default:
		return coverage.Overload
	}
}

// neverRan reports whether no replica ran anything of the query, and none will.
func (q *query) neverRan() bool {
	for i := range q.parts {
		if q.parts[i].attemptCount != q.parts[i].notRunCount {
			return false
		}
	}
	return true
}

// finishRouted answers a query on a route with the parts that have come, or
// says why there are too few.
func (c *Core) finishRouted(now ident.Instant, q *query) {
	a := &Answer{Parts: make([]Part, 0, q.coveredCount)}
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partCovered {
			a.Coverage.Missing = append(a.Coverage.Missing, coverage.Missing{Shard: ident.ShardID(i), Reason: p.missingReason()})
			for _, h := range p.inFlight[:p.inFlightCount] {
				q.recordFailedAttempt(now, c.attempts.Get(h), replica.Aborted)
			}
			continue
		}
		a.Parts = append(a.Parts, Part{Service: p.svc.id, Replica: p.servedBy, Result: p.result, Message: p.message})
		a.Coverage.Covered = append(a.Coverage.Covered, ident.ShardID(i))
	}
	a.Trail = q.trail
	if q.coveredCount == 0 || !q.covers(q.leastCoverage) {
		c.refuseIncomplete(now, q, a)
	}
	c.finish(now, q, a)
}

// refuseIncomplete turns an answer with too few parts into a refusal.
func (c *Core) refuseIncomplete(now ident.Instant, q *query, a *Answer) {
	reason := coverageTooLow
	first := a.Coverage.Missing[0].Reason
	switch {
	case now >= q.deadline || first == coverage.Late:
		reason = DeadlinePassed
	case first == coverage.Failed || first == coverage.Lost:
		reason = upstreamFailed
	case first == coverage.Overload:
		reason = admission.TooMany
	case first == coverage.NoReplica:
		reason = noUpstream
	}
	a.Refusal = &Refusal{Outcome: booking.MayHaveRun, Reason: reason, Detail: string(first)}
	if q.neverRan() {
		a.Refusal.Outcome = booking.NotRun
		a.Refusal.RetryAfter = c.retryAfter(now, q, reason)
		return
	}
	if !q.arrival.Route.Gather {
		a.Failure = q.failureReply
	}
}

// retryAfter tells a refused caller when to come back: once the queue that
// turned it away has gone, a lost replica is tried again, or the balancer sends him
// to another VM, spread so that callers do not return together.
func (c *Core) retryAfter(now ident.Instant, q *query, r admission.Reason) time.Duration {
	spread := float64(c.config.Random.IntN(randomSteps)) / randomSteps
	if c.cutOff {
		return cutOffRetryAfter + time.Duration(spread*float64(cutOffRetryAfter)/2)
	}
	wait := noReplicaRetryAfter
	if r == admission.TooMany || r == admission.CannotMeet {
		wait = max(2*q.profile.latency.Median(now), q.longestWait(now), time.Millisecond)
	}
	return wait/2 + time.Duration(spread*float64(wait))
}

func (q *query) longestWait(now ident.Instant) time.Duration {
	var longest time.Duration
	for i := range q.parts {
		if sh := q.parts[i].shard; sh != nil {
			longest = max(longest, sh.Wait(now, sh.queue.Ahead(q.rank), q.profile.latency.Median(now)))
		}
	}
	return longest
}
