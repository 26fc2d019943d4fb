// Package admission decides whether a query is accepted. A refusal comes
// before any attempt is sent, so it is truly not run.
package admission

import (
	"time"

	"carawaycross.example/carawaycross/core/policy"
)

// A Request is the input of an admission.
type Request struct {
	// Rank is the class's priority, 0 to Ranks-1, 0 the highest.
	Rank, Ranks int
	// InFlight counts the admitted queries; MaxInFlight bounds them.
	InFlight, MaxInFlight int
	// Wait is the longest estimated queueing time over the wanted shards.
	Wait time.Duration
	// QueueFull is true when a shard has no room for one more of this class.
	QueueFull bool
	// AttemptLatency is a high quantile of the time of an attempt; 0 while unknown.
	AttemptLatency time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// A Reason says why a request was refused; empty means admitted.
type Reason string

// The reasons for a refusal.
const (
	Admitted           Reason = ""
	TooMany            Reason = "too-many-queries"
	CannotMeetDeadline Reason = "deadline-cannot-be-met"
	Poison             Reason = "request-crashes-upstreams"
	NotReady           Reason = "not-ready"
	NoService          Reason = "unknown-service"
	BadDeadline        Reason = "bad-deadline"
	VMOut              Reason = "vm-out"
)

// A Policy admits or refuses.
type Policy = policy.Policy[Request, Reason]

// ByClass refuses what cannot meet its deadline, and keeps room for higher
// classes: the lowest class is refused first as the VM fills.
type ByClass struct{}

// Decide admits or refuses one request.
func (ByClass) Decide(r Request) Reason {
	limit := r.MaxInFlight
	if r.Ranks > 1 {
		// Each lower class leaves a further eighth of the room to those above.
		limit -= r.MaxInFlight * r.Rank / (8 * (r.Ranks - 1))
	}
	if r.InFlight >= limit {
		return TooMany
	}
	if r.QueueFull {
		return TooMany
	}
	if float64(r.Wait+r.AttemptLatency) > usableShare(r)*float64(r.Left) {
		return CannotMeetDeadline
	}
	return Admitted
}

// usableShare is the part of the time left that the estimate may take. A lower
// class gets less: higher ones that arrive later go before it.
func usableShare(r Request) float64 {
	if r.Ranks <= 1 {
		return maxUsableShare
	}
	return maxUsableShare - (maxUsableShare-minUsableShare)*float64(r.Rank)/float64(r.Ranks-1)
}

const (
	maxUsableShare = 0.8
	minUsableShare = 0.4
)

// All admits up to the bound, whatever the class; it is the baseline.
type All struct{}

// Decide admits while there is room.
func (All) Decide(r Request) Reason {
	if r.InFlight >= r.MaxInFlight {
		return TooMany
	}
	return Admitted
}
