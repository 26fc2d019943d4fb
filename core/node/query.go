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
	// partQueued is queued at its shard for a free place.
	partQueued
	// partParked waits for a budget or for the canary of its query.
	partParked
	// partCovered has a result.
	partCovered
	// partMissing has a reason instead.
	partMissing
)

// maxAttempts bounds all attempts of a part. The preset bounds those that may
// have run; one that surely did not run costs its upstream next to nothing.
const maxAttempts = preset.MostAttempts + 4

// A part is one shard's share of a query.
type part struct {
	svc    *service
	shard  *shard
	state  partState
	reason coverage.Reason
	// Live are the attempts in flight; liveCount of them.
	inFlight      [maxAttempts]container.Handle
	inFlightCount int
	// Tried are the replicas of all attempts so far; attempts of them.
	tried        [maxAttempts]*replica.State
	attemptCount int
	// NotRun counts the attempts that surely did not run.
	notRunCount int
	servedBy    ident.ReplicaID
	result      []byte
	// Message is the whole reply of a covered part on a route.
	message      *passage.Reply
	missingBelow []ident.ShardID
}

func (p *part) settled() bool { return p.state == partCovered || p.state == partMissing }

// attemptsExhausted reports whether the part may have no further attempt.
func (p *part) attemptsExhausted(allowed int) bool {
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
	// Asked is the snapshot requestedSnapshot for; 0 for the newest that the replica holds.
	requestedSnapshot ident.SnapshotID
}

// A query is one request in progress.
type query struct {
	handle  container.Handle
	arrival Arrival
	svc     *service
	// Profile follows the latency of requests of this kind.
	profile *profile
	// Target is the part of a route's split that the query goes to; nil for the
	// product's own requests.
	target   *route.Target
	preset   *preset.Preset
	rank     int
	started  ident.Instant
	deadline ident.Instant
	// Wanted coverage ends the query; leastCoverage is the leastCoverage that is answered.
	wantedCoverage, leastCoverage ident.Share
	// Allowed attempts of a part may have run.
	allowedAttempts int
	// Late is true once the route's goal is out of reach for what is missing.
	goalMissed bool
	// Gone is true once the caller went away.
	callerGone bool
	// Trail has at most mostSteps entries.
	trail []FailedAttempt
	// Failure is the last reply of a replica that ran the request and failed.
	failureReply *passage.Reply
	// Pinned is the one snapshot of all parts; it changes only in restart.
	shardMap snapshot.Map
	snapshot ident.SnapshotID
	parts    []part
	// Unsettled and coveredCount count parts.
	unsettledCount, coveredCount int
	firstAttempts, extraAttempts int
	fingerprint                  poison.Fingerprint
	// Canary is the part whose retry tells whether this request crashes
	// upstreams; -1 without one. Crashes counts rounds of lost upstreams.
	canary      int
	crashRounds int
	// Broke is true once an attempt lost its upstream.
	lostUpstream bool
	restarted    bool
	admitted     bool
	answered     bool
	// Dispatched is true once the ledger allowed a booking to be sent.
	dispatched bool
	// Joined are later sends of the same key that wait for this one.
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
	// The trail went with the answer.
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
