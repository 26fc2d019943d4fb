package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/policy"
)

// A Random is an injected source of random numbers.
type Random interface {
	// IntN returns a number from 0 to n-1; n is at least 1.
	IntN(n int) int
}

// A Selection is the input of a Choice.
type Selection struct {
	Now      ident.Instant
	Shard    *Shard
	Snapshot ident.SnapshotID
	// Tried are the replicas that earlier attempts were sent to; they are not
	// eligible.
	Tried  []*State
	Random Random
	// AtMostOnce is true for a request that must not run twice.
	AtMostOnce bool
	// MedianLatency is the median latency of the request's class; 0 while unknown.
	MedianLatency time.Duration
	// Versions restricts the choice while an order moves the service to another version.
	Versions Versions
	// Overcommit is the number of attempts allowed above the limit of a warm
	// replica. Hedges use it: the attempt that they duplicate is overdue at another
	// replica.
	Overcommit int
}

// Versions says which versions of the software a choice may pick.
type Versions uint8

// The zero value does not restrict a choice.
const (
	AnyVersion Versions = iota
	// OnlyTarget and OnlyOthers pick replicas of the version to which the service moves,
	// and of the others.
	OnlyTarget
	OnlyOthers
)

func (v Versions) include(r *State) bool {
	return v == AnyVersion || (v == OnlyTarget) == r.Target
}

// Eligible reports whether the attempt may be sent to r now.
func (in *Selection) Eligible(r *State) bool {
	return in.Versions.include(r) && r.Usable(in.Now) && r.InFlight < r.Limit(in.Now)+in.overcommit(r) && r.coldRateAllows(in.Now) &&
		in.Holds(r) && !in.tried(r) && !in.reserved(r) && in.paceAllows(r)
}

// reserved reports whether r gets no attempt because another replica is sound. For a request
// that must not run twice another usable one suffices: a reserve may reset the connection.
func (in *Selection) reserved(r *State) bool {
	if !r.Reserve {
		return false
	}
	for _, o := range in.Shard.Replicas {
		if !o.Reserve && in.Versions.include(o) && in.hasTurn(o) && (in.AtMostOnce || in.performs(o)) {
			return true
		}
	}
	return false
}

const (
	// soundExcess and soundFailureRate are the excess latency and the failure rate from
	// which a replica is not sound.
	soundExcess      = 1.0
	soundFailureRate = 0.25
)

// sound reports whether r can be expected to reply to the attempt, if perhaps after others:
// it was not tried, is neither slow, failing nor overdue, and its ramp, its cold rate and its
// pace give this VM a turn now. A replica that has as many attempts as its limit is sound.
func (in *Selection) sound(r *State) bool {
	return in.hasTurn(r) && in.performs(r)
}

// hasTurn reports whether r is usable for the attempt and its ramp, its cold rate and its
// pace, without regard to other replicas, allow one.
func (in *Selection) hasTurn(r *State) bool {
	return r.Usable(in.Now) && !in.tried(r) && in.Holds(r) && r.Limit(in.Now) > 0 && r.coldRateAllows(in.Now) &&
		(!r.paced(in.Now) || r.pace.Allows(in.Now, r.paceShare(), r.InFlight, in.MedianLatency, false))
}

// performs reports whether r is neither slow, failing nor overdue.
func (in *Selection) performs(r *State) bool {
	median := in.MedianLatency
	if median == 0 {
		median = assumedMedian
	}
	if r.Overdue(in.Now, median) > 0 {
		return false
	}
	excess, failureRate := r.performance.decayed(in.Now)
	return excess < soundExcess && failureRate < soundFailureRate
}

// overcommit returns how many attempts above its limit r may get. The connection
// share stays the upper bound.
func (in *Selection) overcommit(r *State) int {
	if r.Condition(in.Now) != Warm {
		return 0
	}
	return min(in.Overcommit, r.Shares.ConnectionShare()-r.Limit(in.Now))
}

// Holds reports whether r may hold the requested snapshot. It is true for every
// replica when Snapshot is 0.
func (in *Selection) Holds(r *State) bool {
	return in.Snapshot == 0 || r.Held.Holds(in.Snapshot)
}

func (in *Selection) tried(r *State) bool {
	for _, t := range in.Tried {
		if t == r {
			return true
		}
	}
	return false
}

// A Choice picks a replica for an attempt, or nil when none is eligible.
type Choice = policy.Policy[*Selection, *State]

// TwoChoices compares two random replicas in the VM's zone and two in other
// zones by expected delay. It picks a replica in another zone only when those in
// the VM's zone are loaded, slow or not eligible. See Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing".
type TwoChoices struct{}

// Decide picks the better of the sampled replicas.
func (TwoChoices) Decide(in *Selection) *State {
	local := sample(in, true)
	remote := sample(in, false)
	if local == nil {
		return remote
	}
	if remote != nil && score(remote)*3/2+crossZoneDelay < score(local) {
		return remote
	}
	return local
}

// sample returns the better of two random eligible replicas, in the VM's zone if
// local is true and in other zones otherwise.
func sample(in *Selection, local bool) *State {
	var first, second *State
	n := 0
	for _, r := range in.Shard.Replicas {
		if r.Local != local || !in.Eligible(r) {
			continue
		}
		n++
		switch {
		case n == 1:
			first = r
		case n == 2:
			second = r
		case in.Random.IntN(n) < 2:
			if in.Random.IntN(2) == 0 {
				first = r
			} else {
				second = r
			}
		}
	}
	if second != nil && score(second) < score(first) {
		return second
	}
	return first
}

// score returns the expected delay of one more attempt. Without a measured
// latency it uses the reported load and the attempts in flight instead, at 1 ms
// each.
func score(r *State) time.Duration {
	if r.latency == 0 {
		return time.Duration(int(r.ReportedLoad)+r.InFlight) * time.Millisecond
	}
	return r.latency * time.Duration(r.InFlight+1)
}

// AnyReplica picks a random eligible replica. Experiments use it as a baseline.
type AnyReplica struct{}

// Decide picks a random eligible replica.
func (AnyReplica) Decide(in *Selection) *State {
	var chosen *State
	n := 0
	for _, r := range in.Shard.Replicas {
		if in.Eligible(r) {
			n++
			if in.Random.IntN(n) == 0 {
				chosen = r
			}
		}
	}
	return chosen
}

// LeastInFlight picks the eligible replica with the fewest attempts of this VM in
// flight. Experiments use it as a baseline.
type LeastInFlight struct{}

// Decide picks the replica with the fewest attempts in flight and breaks ties at
// random.
func (LeastInFlight) Decide(in *Selection) *State {
	var best *State
	ties := 0
	for _, r := range in.Shard.Replicas {
		switch {
		case !in.Eligible(r):
		case best == nil || r.InFlight < best.InFlight:
			best, ties = r, 1
		case r.InFlight == best.InFlight:
			ties++
			if in.Random.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}
