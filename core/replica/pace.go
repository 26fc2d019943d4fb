package replica

import (
	"math"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// resultWeight is the weight of a new result in the moving averages. The last
	// three results make up two thirds of the average, so that a slow replica is
	// detected within a few requests.
	resultWeight = 0.3
	// maxRelativeLatency and minRelativeLatency bound the latency of one result, as
	// a multiple of the median latency. A pause of 200 ms is about 20 times the
	// latency of a short request.
	maxRelativeLatency = 20
	minRelativeLatency = 0.25
	// latencyDecay is the time constant of the exponential decay of excessLatency
	// while no results arrive. The decay lets a replica that was slow be tried again.
	latencyDecay = 2 * time.Second
	// failureDecay is the time constant for failureRate. It is longer, since
	// failures start and stop more slowly than pauses and some of them cost an
	// answer.
	failureDecay = 5 * time.Second
	// maxFailureRate keeps the expected time of a replica that always fails finite.
	maxFailureRate = 0.95
)

// A performance holds moving averages of the latency and the failures of one
// replica, over all classes. Each latency is divided by the median of its class
// first. The zero value stands for a replica with median latency and no failures.
type performance struct {
	// excessLatency is the moving average of latency/median - 1.
	excessLatency float64
	// failureRate is the moving average of failures, 0 to 1.
	failureRate float64
	updated     ident.Instant
}

// decayed returns both averages, decayed from the last update to now.
func (p *performance) decayed(now ident.Instant) (excessLatency, failureRate float64) {
	if now <= p.updated {
		return p.excessLatency, p.failureRate
	}
	age := float64(now.Sub(p.updated))
	return p.excessLatency * math.Exp(-age/float64(latencyDecay)), p.failureRate * math.Exp(-age/float64(failureDecay))
}

// decayedTo returns the excess latency, decayed from the last update to now towards a
// floor.
func (p *performance) decayedTo(now ident.Instant, floor float64) float64 {
	age := float64(max(now.Sub(p.updated), 0))
	return floor + (p.excessLatency-floor)*math.Exp(-age/float64(latencyDecay))
}

// add updates both averages with one result.
func (p *performance) add(now ident.Instant, excessLatency, failureRate float64) {
	p.excessLatency, p.failureRate = p.decayed(now)
	p.updated = max(now, p.updated)
	p.excessLatency += resultWeight * (excessLatency - p.excessLatency)
	p.failureRate += resultWeight * (failureRate - p.failureRate)
}

// An AttemptResult is the result of one attempt, from which Soonest estimates the
// time of later ones.
type AttemptResult struct {
	Outcome Outcome
	Took    time.Duration
	// MedianLatency is the median latency of the request's class; 0 while unknown.
	MedianLatency time.Duration
}

// RecordResult adds the result of an attempt to the replica's performance.
func (s *State) RecordResult(now ident.Instant, r AttemptResult) {
	now = max(now, s.performance.updated)
	oldExcess, oldFailureRate := s.performance.decayed(now)
	excess := oldExcess
	s.observePace(now, r)
	if r.MedianLatency > 0 {
		excess = min(max(float64(r.Took)/float64(r.MedianLatency), minRelativeLatency), maxRelativeLatency) - 1
	}
	switch r.Outcome {
	case OK:
		s.performance.add(now, excess, 0)
		if s.wasLost {
			// The failures are those of connections to the replica before it recovered.
			s.performance.failureRate = 0
		}
	case Aborted:
		// The elapsed time is only a lower bound of the latency.
		if excess > oldExcess {
			s.performance.add(now, excess, oldFailureRate)
		}
	case Shed, Failed, Broken, Unsent, Misdirected:
		s.performance.add(now, oldExcess, 1)
	case RefusedCold, Draining, SnapshotGone:
	}
}

// Sent records that an attempt was sent at now.
func (s *State) Sent(now ident.Instant) {
	s.InFlight++
	s.pending = append(s.pending, now)
	s.coldLimiter.take()
	s.pace.Sent()
}

// Ended records the end of an attempt that was sent at the instant sent.
func (s *State) Ended(sent ident.Instant) {
	s.InFlight--
	for i, at := range s.pending {
		if at == sent {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// Overdue returns by how much the oldest attempt in flight has exceeded
// overdueFactor times the median latency; 0 if it has not.
func (s *State) Overdue(now ident.Instant, median time.Duration) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	return max(now.Sub(s.pending[0])-overdueFactor*median, 0)
}

// overdueFactor is the multiple of the median latency from which an attempt in
// flight counts as overdue; a shorter delay does not indicate a paused replica.
const overdueFactor = 2
