package replica

import (
	"math"
	"time"
)

// Soonest picks the replica with the least expected time to a reply. The estimate
// uses the recorded performance, the load, and by how much the oldest attempt in
// flight is overdue. It includes a penalty for replicas in other zones.
type Soonest struct{}

const (
	// remotePenalty is added for a replica in another zone, besides crossZoneDelay,
	// as a multiple of the median latency: traffic between zones is paid for.
	remotePenalty = 0.75
	// overdueWeight is the multiple of the time by which an attempt is overdue that
	// is added to the expected time: the longer a replica has been paused, the longer
	// the rest of the pause is expected to be.
	overdueWeight = 2
	// failureCost is the cost of a failure that may be retried, as a multiple of the
	// median latency. It covers more than the lost time: extra attempts are limited,
	// and another part of the search may need the one that is spent.
	failureCost = 5.0
	// atMostOnceFailureCost is the cost of a failure that must not be retried, as a
	// multiple of the median latency: far more than that of a slow reply.
	atMostOnceFailureCost = 10.0
	// retriedFailureRate is the failure rate below which a replica that could not be reached
	// is tried like one without failures: idle replicas would otherwise always be chosen
	// before it.
	retriedFailureRate = 0.1
	// assumedMedian replaces the median latency while that is unknown.
	assumedMedian = 10 * time.Millisecond
)

// Decide picks the replica with the least expected time and breaks ties at random.
func (Soonest) Decide(in *Selection) *State {
	var best *State
	var leastTime float64
	ties := 0
	leastExcess := in.leastExcess()
	for _, r := range in.Shard.Replicas {
		if !in.Eligible(r) {
			continue
		}
		expected := r.expectedTime(in, leastExcess)
		switch {
		case best == nil || expected < leastTime:
			best, leastTime, ties = r, expected, 1
		case expected == leastTime:
			ties++
			if in.Random.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

// leastExcess returns the least excess latency of the eligible replicas, as their last
// results show it.
func (in *Selection) leastExcess() float64 {
	least := math.Inf(1)
	for _, r := range in.Shard.Replicas {
		if in.Eligible(r) {
			least = min(least, r.performance.excessLatency)
		}
	}
	return least
}

// expectedTime returns the expected time to a reply, in nanoseconds, including the
// cost of failures. The excess latency of a replica without recent results decays to
// that of the best one, not below it: a slow replica must not appear better than a
// good one that has a queue.
func (s *State) expectedTime(in *Selection, leastExcess float64) float64 {
	median := in.MedianLatency
	if median == 0 {
		median = assumedMedian
	}
	excessLatency, failureRate := s.performance.decayed(in.Now)
	if floor := max(leastExcess, 0); s.performance.excessLatency > floor {
		excessLatency = s.performance.decayedTo(in.Now, floor)
	}
	if s.wasLost && failureRate < retriedFailureRate {
		failureRate = 0
	}
	failureRate = min(failureRate, maxFailureRate)
	load := 1 + float64(s.InFlight)/float64(max(s.Shares.Slots, 1))
	t := float64(median) * max(1+excessLatency, minRelativeLatency) * load
	t += overdueWeight * float64(s.Overdue(in.Now, median))
	if !s.Local {
		t += float64(crossZoneDelay) + remotePenalty*float64(median)
	}
	cost := failureCost
	if in.AtMostOnce {
		cost = atMostOnceFailureCost
	}
	t += failureRate * cost * float64(median)
	return t / (1 - failureRate)
}
