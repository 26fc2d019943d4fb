package replica

import "time"

// Soonest picks the replica from which a reply is expected first: from its pace,
// its load, and how long its oldest attempt has been stuck. A replica in another
// zone wins only by more than the way there.
type Soonest struct{}

const (
	// remotePenalty of the typical latency is added for another zone, besides
	// crossZoneDelay: its bytes are paid for.
	remotePenalty = 0.75
	// overdueWeight times the time that an attempt is stuck is expected to come on
	// top of a reply: what stands still for long stands still for longer.
	overdueWeight = 2
	// failureCost times the typical latency is the cost of a failure that may be
	// followed by another attempt: the attempts that make up for it are few, and a
	// search may be short of one elsewhere.
	failureCost = 5.0
	// atMostOnceFailureCost times the typical latency is the cost of a failure that may
	// not be followed by another attempt: far more than a slow reply.
	atMostOnceFailureCost = 10.0
	// assumedMedian stands in while no latency is known.
	assumedMedian = 10 * time.Millisecond
)

// Decide picks the replica with the least expected time; equal ones by chance.
func (Soonest) Decide(in *Selection) *State {
	var best *State
	var least float64
	ties := 0
	for _, r := range in.Shard.Replicas {
		if !in.Eligible(r) {
			continue
		}
		expected := r.expectedTime(in)
		switch {
		case best == nil || expected < least:
			best, least, ties = r, expected, 1
		case expected == least:
			ties++
			if in.Random.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

func (s *State) expectedTime(in *Selection) float64 {
	typical := in.MedianLatency
	if typical == 0 {
		typical = assumedMedian
	}
	slow, failing := s.performance.decayed(in.Now)
	failing = min(failing, maxFailureRate)
	load := 1 + float64(s.InFlight)/float64(max(s.Shares.Slots, 1))
	t := float64(typical) * max(1+slow, minRelativeLatency) * load
	t += overdueWeight * float64(s.Overdue(in.Now, typical))
	if !s.Local {
		t += float64(crossZoneDelay) + remotePenalty*float64(typical)
	}
	cost := failureCost
	if in.AtMostOnce {
		cost = atMostOnceFailureCost
	}
	t += failing * cost * float64(typical)
	return t / (1 - failing)
}
