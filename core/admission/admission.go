// Package admission decides whether a query is accepted. A query is refused before
// any attempt is sent, so a refused query has not run.
package admission

import (
	"time"

	"carawaycross.example/carawaycross/core/policy"
)

// A Request is the input of a Policy.
type Request struct {
	// Rank is the priority of the query's class, from 0, the highest, to Ranks-1.
	Rank, Ranks int
	// InFlight counts the admitted queries; MaxInFlight limits them.
	InFlight, MaxInFlight int
	// Wait is the estimated queueing time over the required shards.
	Wait time.Duration
	// QueueFull is true when the queues of the required shards have no room for one
	// more query of this class.
	QueueFull bool
	// OverShare is true when little room is left and the request's tenant holds its fair
	// share of it.
	OverShare bool
	// AttemptLatency is the least time that an attempt is expected to take, as
	// retry.Latency.Fastest returns it; 0 while unknown.
	AttemptLatency time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// A Reason is why a request was refused; it is empty for an admitted one.
type Reason string

// The reasons for a refusal.
const (
	Admitted           Reason = ""
	TooMany            Reason = "too-many-queries"
	CannotMeetDeadline Reason = "deadline-cannot-be-met"
	Poison             Reason = "request-crashes-upstreams"
	NotReady           Reason = "not-ready"
	UnknownService     Reason = "unknown-service"
	BadDeadline        Reason = "bad-deadline"
	VMOut              Reason = "vm-out"
	// NoMemory means that the requests that are arriving take all memory for them.
	NoMemory Reason = "no-memory"
)

// A Policy decides whether a request is admitted.
type Policy = policy.Policy[Request, Reason]

// ByClass refuses requests that are not expected to meet their deadline. It also
// reserves capacity for higher classes: as the number of queries in flight rises,
// the lowest class is refused first.
type ByClass struct{}

// Decide admits or refuses one request.
func (ByClass) Decide(r Request) Reason {
	limit := r.MaxInFlight
	if r.Ranks > 1 {
		// The limit falls linearly with the rank: the lowest class leaves an eighth
		// of MaxInFlight to those above.
		limit -= r.MaxInFlight * r.Rank / (8 * (r.Ranks - 1))
	}
	if r.InFlight >= limit {
		return TooMany
	}
	if r.QueueFull || r.OverShare {
		return TooMany
	}
	spare := r.Left - r.AttemptLatency
	if spare < 0 || float64(r.Wait) > usableShare(r)*float64(spare) {
		return CannotMeetDeadline
	}
	return Admitted
}

// usableShare returns the share that the estimated wait may take of the time left beside
// the attempt. It is smaller for lower classes, because queries of higher classes that
// arrive later are served before them. A request that needs no wait owes them nothing.
func usableShare(r Request) float64 {
	if r.Ranks <= 1 {
		return maxUsableShare
	}
	return maxUsableShare - (maxUsableShare-minUsableShare)*float64(r.Rank)/float64(r.Ranks-1)
}

// The usable shares of the highest and of the lowest class.
const (
	maxUsableShare = 0.8
	minUsableShare = 0.4
)

// All admits up to MaxInFlight, whatever the class. Experiments use it as a
// baseline.
type All struct{}

// Decide admits a request while fewer than MaxInFlight are in flight.
func (All) Decide(r Request) Reason {
	if r.InFlight >= r.MaxInFlight {
		return TooMany
	}
	return Admitted
}
