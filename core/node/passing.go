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

// Reasons for refusing a routed request, in addition to those of package admission.
const (
	upstreamFailed admission.Reason = "upstream-failed"
	// DeadlinePassed means that the deadline passed without enough results.
	DeadlinePassed admission.Reason = "deadline-passed"
	coverageTooLow admission.Reason = "coverage-too-low"
)

const (
	// goalMargin is the part of a route's goal reserved for the network round trip to
	// the caller and for writing the answer.
	goalMargin = 12 * time.Millisecond
	// cutOffRetryAfter is the shortest Retry-After of a VM that is cut off. By then the load
	// balancer has seen two refusals, one second apart, and sends the caller to another VM.
	cutOffRetryAfter = 2 * time.Second
	// noReplicaRetryAfter is the base of the Retry-After when no replica was found, and of all
	// refusals but those for load. It is the first interval after which a lost replica is
	// tried again.
	noReplicaRetryAfter = 300 * time.Millisecond
	// minLoadRetryAfter is the least base of the Retry-After of a refusal for load, so that
	// callers who obey it do not return thousands of times a second.
	minLoadRetryAfter = 20 * time.Millisecond
	// maxHoldRetryAfter limits the Retry-After for replicas that asked for time: others may be
	// added meanwhile.
	maxHoldRetryAfter = time.Minute
	// At least minQuotaReserve of a quota is reserved for required parts. Of n parts, the
	// optional ones may use at most the share optionalParts/n of the quota.
	minQuotaReserve = 0.25
	optionalParts   = 8
)

// repeatable reports whether the query is idempotent, so that it may run more than once.
func (q *query) repeatable() bool {
	if q.arrival.Route != nil {
		return q.arrival.Route.Repeatable
	}
	return q.arrival.Key == ""
}

// prepareRouted validates a new routed request, sets its limits from the route, and
// returns the reason for refusing it.
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
		return admission.CannotMeetDeadline, "no time was left"
	}
	q.deadline = now.Add(limit)
	q.wantedCoverage, q.leastCoverage = 1, 1
	if r.Gather {
		q.leastCoverage = r.LeastCoverage
	}
	rank := r.Rank
	if t := q.arrival.Account; t != nil && t.Ranked {
		rank = t.Rank
	}
	q.rank = clampRank(p, rank)
	c.joinFlow(now, q)
	q.allowedAttempts = min(max(r.Attempts, 1), preset.MaxAttempts)
	if !q.repeatable() {
		q.allowedAttempts = 1
	}
	c.addTargetParts(now, q)
	return c.admitRouted(now, q)
}

// addTargetParts creates one part for each service of the target.
func (c *Core) addTargetParts(now ident.Instant, q *query) {
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
	c.markCrashingParts(now, q)
	q.unsettledCount, q.coveredCount = len(q.parts), 0
}

// admitRouted applies the admission policy to a routed request. It also refuses a request
// for which too few parts have a usable replica.
func (c *Core) admitRouted(now ident.Instant, q *query) (admission.Reason, string) {
	expected := q.profile.expectedLatency(now)
	waits := make([]time.Duration, 0, len(q.parts))
	queuesWithRoom := 0
	for i := range q.parts {
		sh := q.parts[i].shard
		if sh == nil || sh.Usable(now) == 0 {
			continue
		}
		waits = append(waits, sh.EstimateWait(now, sh.queue.Ahead(q.rank, q.flow), expected))
		if sh.queue.CanPush(q.rank, q.flow) {
			queuesWithRoom++
		}
	}
	needed := q.neededParts()
	if len(waits) < needed {
		return noUpstream, "too few shards have a replica that may be used"
	}
	slices.SortFunc(waits, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	if c.stopsBefore(now, q, waits[needed-1]) {
		return admission.NotReady, "this VM stops before a reply is expected"
	}
	r := admission.Request{
		Rank: q.rank, Ranks: len(q.preset.Classes),
		InFlight: c.inFlight, MaxInFlight: q.preset.QueriesInFlight, QueueFull: queuesWithRoom < needed,
		Wait: waits[needed-1], AttemptLatency: q.profile.latency.Fastest(now), Left: q.deadline.Sub(now),
		OverShare: c.exceedsPlaces(now, q),
	}
	reason := c.policies.Admit.Decide(r)
	if reason == admission.Admitted {
		c.tenants.Take(q.flow.tenant)
		return reason, ""
	}
	return reason, fmt.Sprintf("%d in flight, a wait of %v, then %v; %v left", r.InFlight, r.Wait, r.AttemptLatency, r.Left) +
		c.shareDetail(now, q)
}

// neededParts returns the least number of parts for the least coverage, at least one.
func (q *query) neededParts() int {
	n := len(q.parts)
	for k := 1; k < n; k++ {
		if float64(k) >= float64(q.leastCoverage)*float64(n) {
			return k
		}
	}
	return max(n, 1)
}

// requires reports whether a routed query cannot reach its least coverage without p: the
// other parts that are covered, in flight or queued are too few.
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

// quotaReserve returns the share of a quota that is reserved for required parts. One of n
// optional parts adds about 2/n to the value of an answer, so optional parts may use less
// of the quota the more parts there are.
func (q *query) quotaReserve() ident.Share {
	return ident.Share(max(minQuotaReserve, 1-optionalParts/float64(max(len(q.parts), 1))))
}

// canDefer reports whether a queued part should yield its slot to other queries: either
// enough other parts are covered or in flight, or the query can no longer meet its goal.
// Otherwise a shard with less capacity than load would make every search wait for its full
// queue and miss the goal.
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

// covers reports whether the covered parts are at least the given share of all parts.
func (q *query) covers(share ident.Share) bool {
	return float64(q.coveredCount) >= float64(share)*float64(len(q.parts))
}

// routeProfile returns the latency profile of a route, and creates it on first use. At
// maxProfiles entries it first drops all of them.
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

// handleGoal answers a gathering query at its goal if it has its least coverage: a later
// answer has a small part of the value of one in time, and the missing shards reduce the
// value by at most the square of the share. Otherwise the query is answered as soon as it
// has its least coverage.
func (c *Core) handleGoal(now ident.Instant, q *query) {
	if q.answered {
		return
	}
	q.goalMissed = true
	if q.coveredCount > 0 && q.covers(q.leastCoverage) {
		c.finishSearch(now, q)
	}
}

// isDecided reports whether a routed query can be answered before all parts are settled:
// it has the least coverage after its goal, or can no longer reach it.
func (c *Core) isDecided(q *query) bool {
	if q.arrival.Route == nil {
		return false
	}
	if q.goalMissed && q.coveredCount > 0 && q.covers(q.leastCoverage) {
		return true
	}
	return q.coveredCount+q.unsettledCount < q.neededParts()
}

// maxFailedAttempts bounds the number of failed attempts kept per query.
const maxFailedAttempts = 32

// recordFailedAttempt records an attempt without a result for the answer.
func (q *query) recordFailedAttempt(now ident.Instant, a *attempt, o replica.Outcome) {
	if len(q.failedAttempts) < maxFailedAttempts {
		q.failedAttempts = append(q.failedAttempts, FailedAttempt{
			Service: a.svc.id, Replica: a.replica.ID, Outcome: o, After: a.sent.Sub(q.started), Took: now.Sub(a.sent),
		})
	}
}

// handleRoutedReply settles or retries a part after an attempt of a routed query.
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
		c.refundExtra(now, q, p.svc)
	case replica.Broken:
		c.recordBroken(now, q, a)
	default:
	}
	reason := coverageReason(reply.Outcome)
	if !q.repeatable() && !reply.Outcome.NotRun() {
		c.settlePart(now, q, a.part, partMissing, reason)
		return
	}
	c.retry(now, q, a.part, reason)
}

// coverageReason returns why a part is missing after an attempt with the outcome o.
func coverageReason(o replica.Outcome) coverage.Reason {
	switch o {
	case replica.Failed:
		return coverage.Failed
	case replica.Broken, replica.Unsent, replica.Misdirected:
		return coverage.UpstreamLost
	default:
		return coverage.Overload
	}
}

// neverRan reports whether no replica ran an attempt of the query or may still run one.
func (q *query) neverRan() bool {
	for i := range q.parts {
		if q.parts[i].attemptCount != q.parts[i].notRunCount {
			return false
		}
	}
	return true
}

// finishRouted answers a routed query with the covered parts, or refuses it with the
// reason why there are too few.
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
	a.FailedAttempts = q.failedAttempts
	if q.coveredCount == 0 || !q.covers(q.leastCoverage) {
		c.refuseIncomplete(now, q, a)
	}
	c.finish(now, q, a)
}

// refuseIncomplete adds a refusal to an answer with too few parts.
func (c *Core) refuseIncomplete(now ident.Instant, q *query, a *Answer) {
	reason := coverageTooLow
	first := a.Coverage.Missing[0].Reason
	detail := string(first)
	switch {
	case now >= q.deadline || first == coverage.DeadlineExceeded:
		reason = DeadlinePassed
		detail += c.shareDetail(now, q)
	case first == coverage.Failed || first == coverage.UpstreamLost:
		reason = upstreamFailed
	case first == coverage.Overload:
		reason = admission.TooMany
		detail += c.shareDetail(now, q)
	case first == coverage.NoReplica:
		reason = noUpstream
	}
	a.Refusal = &Refusal{Outcome: booking.MayHaveRun, Reason: reason, Detail: detail}
	if q.crashes() {
		a.Refusal.Detail += ", not retried: the request crashes replicas"
	}
	if q.neverRan() {
		a.Refusal.Outcome = booking.NotRun
		a.Refusal.RetryAfter = c.retryAfter(now, q, reason)
		return
	}
	if !q.arrival.Route.Gather {
		a.Failure = q.failureReply
	}
}

// retryAfter returns the delay after which a refused caller should retry: when the queue
// that refused it is empty, when a lost replica is tried again, or when the load balancer
// sends the caller to another VM. Jitter keeps callers from returning together.
func (c *Core) retryAfter(now ident.Instant, q *query, r admission.Reason) time.Duration {
	jitter := c.randomFraction()
	if c.cutOff {
		return cutOffRetryAfter + time.Duration(jitter*float64(cutOffRetryAfter)/2)
	}
	wait := noReplicaRetryAfter
	if r == admission.TooMany || r == admission.CannotMeetDeadline {
		wait = max(2*q.profile.expectedLatency(now), q.longestWait(now), minLoadRetryAfter)
	}
	return max(min(q.holdLeft(now), maxHoldRetryAfter), wait/2) + time.Duration(jitter*float64(wait))
}

// holdLeft returns the time until enough parts have a replica again that did not ask
// for a time without attempts.
func (q *query) holdLeft(now ident.Instant) time.Duration {
	var holds []time.Duration
	for i := range q.parts {
		sh := q.parts[i].shard
		if sh == nil || sh.Usable(now) > 0 {
			continue
		}
		if end, held := sh.HeldUntil(now); held {
			holds = append(holds, end.Sub(now))
		}
	}
	usable := len(q.parts) - len(holds)
	missing := q.neededParts() - usable
	if missing <= 0 || len(holds) == 0 {
		return 0
	}
	slices.Sort(holds)
	return holds[min(missing, len(holds))-1]
}

func (q *query) longestWait(now ident.Instant) time.Duration {
	var longest time.Duration
	for i := range q.parts {
		if sh := q.parts[i].shard; sh != nil {
			longest = max(longest, sh.EstimateWait(now, sh.queue.Ahead(q.rank, q.flow), q.profile.expectedLatency(now)))
		}
	}
	return longest
}
