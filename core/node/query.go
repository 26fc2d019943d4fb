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
	// open has attempts in flight.
	open partState = iota
	// waiting is queued at its shard for a free place.
	waiting
	// parked waits for a budget or for the canary of its query.
	parked
	// covered has a result.
	covered
	// missing has a reason instead.
	missing
)

// mostAttempts bounds all attempts of a part. The preset bounds those that may
// have run; one that surely did not run costs its upstream next to nothing.
const mostAttempts = preset.MostAttempts + 4

// A part is one shard's share of a query.
type part struct {
	svc    *service
	shard  *shard
	state  partState
	reason coverage.Reason
	// Live are the attempts in flight; liveCount of them.
	live      [mostAttempts]container.Handle
	liveCount int
	// Tried are the replicas of all attempts so far; attempts of them.
	tried    [mostAttempts]*replica.State
	attempts int
	// NotRun counts the attempts that surely did not run.
	notRun int
	by     ident.ReplicaID
	result []byte
	// Message is the whole reply of a covered part on a route.
	message *passage.Reply
	below   []ident.ShardID
}

func (p *part) settled() bool { return p.state == covered || p.state == missing }

// spent reports whether the part may have no further attempt.
func (p *part) spent(allowed int) bool {
	return p.attempts-p.notRun >= allowed || p.attempts >= mostAttempts
}

func (p *part) drop(h container.Handle) {
	for i := range p.liveCount {
		if p.live[i] == h {
			p.liveCount--
			p.live[i] = p.live[p.liveCount]
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
	// Asked is the snapshot asked for; 0 for the newest that the replica holds.
	asked ident.SnapshotID
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
	// Wanted coverage ends the query; least is the least that is answered.
	wanted, least ident.Share
	// Allowed attempts of a part may have run.
	allowed int
	// Late is true once the route's goal is out of reach for what is missing.
	late bool
	// Gone is true once the caller went away.
	gone bool
	// Trail has at most mostSteps entries.
	trail []Step
	// Failure is the last reply of a replica that ran the request and failed.
	failure *passage.Reply
	// Pinned is the one snapshot of all parts; it changes only in restart.
	pinned snapshot.Map
	at     ident.SnapshotID
	parts  []part
	// Unsettled and coveredCount count parts.
	unsettled, coveredCount int
	firsts, extra           int
	fingerprint             poison.Fingerprint
	// Canary is the part whose retry tells whether this request crashes
	// upstreams; -1 without one. Crashes counts rounds of lost upstreams.
	canary  int
	crashes int
	// Broke is true once an attempt lost its upstream.
	broke     bool
	restarted bool
	admitted  bool
	answered  bool
	// Dispatched is true once the ledger allowed a booking to be sent.
	dispatched bool
	// Joined are later sends of the same key that wait for this one.
	joined []ident.QueryID
}

func (q *query) live() bool {
	for i := range q.parts {
		if q.parts[i].liveCount > 0 {
			return true
		}
	}
	return false
}

func (q *query) reset() {
	parts, joined := q.parts[:0], q.joined[:0]
	clear(q.parts)
	// The trail went with the answer.
	*q = query{parts: parts, joined: joined, canary: -1}
}

func (c *Core) newQuery(now ident.Instant, a Arrival) *query {
	var q *query
	if n := len(c.spare); n > 0 {
		q = c.spare[n-1]
		c.spare = c.spare[:n-1]
	} else {
		q = &query{canary: -1}
	}
	q.arrival, q.started = a, now
	return q
}
