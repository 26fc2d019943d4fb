package node

import (
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/passage"
	"carawaycross.example/carawaycross/core/poison"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/route"
	"carawaycross.example/carawaycross/core/snapshot"
)

type partState uint8

const (
	// partInFlight has attempts in flight.
	partInFlight partState = iota
	// partQueued waits in the queue of its shard for a free slot.
	partQueued
	// partParked waits for a retry budget, a free slot or the canary of its query.
	partParked
	// partCovered has a result.
	partCovered
	// partMissing has no result, but a reason.
	partMissing
)

// maxAttempts bounds all attempts of a part. The preset bounds those that may have run;
// an attempt that did not run costs its upstream almost nothing.
const maxAttempts = preset.MaxAttempts + 4

// A part is the share of a query that one shard answers.
type part struct {
	svc    *service
	shard  *shard
	state  partState
	reason coverage.Reason
	// The first inFlightCount entries of inFlight are the attempts in flight.
	inFlight      [maxAttempts]container.Handle
	inFlightCount int
	// The first attemptCount entries of tried are the replicas of all attempts so far.
	tried        [maxAttempts]*replica.State
	attemptCount int
	// hedgeWantedAfter is the attemptCount for which a hedge was last wanted.
	hedgeWantedAfter int
	// notRunCount counts the attempts that certainly did not run, and unsentCount those
	// of them that reached no replica.
	notRunCount, unsentCount int
	// crashes is true if the request is known to crash the replicas that run this part,
	// which then reaches at most one more.
	crashes  bool
	servedBy ident.ReplicaID
	result   []byte
	// message is the complete reply to a covered part of a routed query.
	message      *passage.Reply
	missingBelow []ident.ShardID
}

func (p *part) settled() bool { return p.state == partCovered || p.state == partMissing }

// attemptsExhausted reports whether the part may not start another attempt.
func (p *part) attemptsExhausted(allowed int) bool {
	if p.crashes && p.attemptCount > p.unsentCount {
		return true
	}
	return p.attemptCount-p.notRunCount >= allowed || p.attemptCount >= maxAttempts
}

func (p *part) removeAttempt(h container.Handle) {
	for i := range p.inFlightCount {
		if p.inFlight[i] == h {
			p.inFlightCount--
			p.inFlight[i] = p.inFlight[p.inFlightCount]
			return
		}
	}
}

type attempt struct {
	query   container.Handle
	part    int
	replica *replica.State
	svc     *service
	profile *profile
	shard   *shard
	sent    ident.Instant
	// requestedSnapshot is 0 if the attempt accepts the newest snapshot of the replica.
	requestedSnapshot ident.SnapshotID
	// route is empty for a search or booking.
	route ident.RouteID
}

// A query is the state of one request in progress.
type query struct {
	handle  container.Handle
	arrival Arrival
	svc     *service
	// profile tracks the latency of the service or route.
	profile *profile
	// target is the target of the route that the query was assigned to; nil for a search or
	// booking.
	target *route.Target
	preset *preset.Preset
	rank   int
	// flow is the flow whose share the query uses; zero without tenants.
	flow     flowID
	started  ident.Instant
	deadline ident.Instant
	// wantedCoverage ends the query early; leastCoverage is the least that is answered
	// without a refusal.
	wantedCoverage, leastCoverage ident.Share
	// allowedAttempts bounds the attempts of a part that may have run.
	allowedAttempts int
	// goalMissed is true once further results are too late for the goal of the route.
	goalMissed bool
	// callerGone is true once the caller disconnected.
	callerGone bool
	// failedAttempts has at most maxFailedAttempts entries.
	failedAttempts []FailedAttempt
	// failureReply is the last error reply of a replica that ran the request.
	failureReply *passage.Reply
	// shardMap is the map of the pinned snapshot. Only restart replaces it.
	shardMap snapshot.Map
	snapshot ident.SnapshotID
	parts    []part
	// unsettledCount and coveredCount count parts.
	unsettledCount, coveredCount int
	firstAttempts, extraAttempts int
	fingerprint                  poison.Fingerprint
	// canary is the index of the part whose retry shows whether the request crashes
	// upstreams; -1 without one. crashRounds counts the rounds of lost upstreams.
	canary      int
	crashRounds int
	// lostUpstream is true once an attempt of the query lost its upstream.
	lostUpstream bool
	restarted    bool
	admitted     bool
	capState     capState
	// tokenAt is when the query took its token.
	tokenAt  ident.Instant
	answered bool
	// dispatched is true from the verdict Dispatch of the ledger until the outcome is recorded.
	dispatched bool
	// joinedQueries are later sends of the same key that wait for the result of this one.
	joinedQueries []ident.QueryID
}

func (q *query) hasInFlight() bool {
	for i := range q.parts {
		if q.parts[i].inFlightCount > 0 {
			return true
		}
	}
	return false
}

func (q *query) reset() {
	parts, joined := q.parts[:0], q.joinedQueries[:0]
	clear(q.parts)
	// The answer references failedAttempts, so their array is not reused.
	*q = query{parts: parts, joinedQueries: joined, canary: -1}
}

func (c *Core) newQuery(now ident.Instant, a Arrival) *query {
	var q *query
	if n := len(c.freeQueries); n > 0 {
		q = c.freeQueries[n-1]
		c.freeQueries = c.freeQueries[:n-1]
	} else {
		q = &query{canary: -1}
	}
	q.arrival, q.started = a, now
	return q
}
