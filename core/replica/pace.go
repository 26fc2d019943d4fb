package replica

import (
	"math"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// resultWeight is the weight of one more reply: three replies make two thirds of
	// the average, so that a slow replica is known within a few requests.
	resultWeight = 0.3
	// maxRelativeLatency and leastPace bound what one reply tells, in multiples of the
	// typical latency: a pause of 200 ms is about 20 times a short request.
	maxRelativeLatency = 20
	minRelativeLatency = 0.25
	// latencyDecay is the time constant by which evidence without new replies
	// fades: a replica that was slow is then tried again.
	latencyDecay = 2 * time.Second
	// failureDecay is the same for failures: they come and go more slowly than
	// pauses, and some cost an answer.
	failureDecay = 5 * time.Second
	// maxFailureRate keeps the score of a replica that always fails finite.
	maxFailureRate = 0.95
)

// A performance is the evidence of a replica's replies, over all classes: each reply is
// compared with what is typical of its own class. The zero value is typical.
type performance struct {
	// excessLatency is the moving average of latency over the typical one, less 1.
	excessLatency float64
	// failureRate is the moving average of failures, 0 to 1.
	failureRate float64
	updated     ident.Instant
}

// decayed returns what is decayed of the evidence at now.
func (p *performance) decayed(now ident.Instant) (slow, failing float64) {
	if now <= p.updated {
		return p.excessLatency, p.failureRate
	}
	age := float64(now.Sub(p.updated))
	return p.excessLatency * math.Exp(-age/float64(latencyDecay)), p.failureRate * math.Exp(-age/float64(failureDecay))
}

func (p *performance) add(now ident.Instant, slow, failing float64) {
	p.excessLatency, p.failureRate = p.decayed(now)
	p.updated = max(now, p.updated)
	p.excessLatency += resultWeight * (slow - p.excessLatency)
	p.failureRate += resultWeight * (failing - p.failureRate)
}

// A AttemptResult is how one attempt ended, for the choice of later ones.
type AttemptResult struct {
	Outcome Outcome
	Took    time.Duration
	// MedianLatency is the class's median latency; 0 while unknown.
	MedianLatency time.Duration
}

// RecordResult takes the end of an attempt.
func (s *State) RecordResult(now ident.Instant, r AttemptResult) {
	now = max(now, s.performance.updated)
	oldSlow, oldFailing := s.performance.decayed(now)
	slow := oldSlow
	if r.MedianLatency > 0 {
		slow = min(max(float64(r.Took)/float64(r.MedianLatency), minRelativeLatency), maxRelativeLatency) - 1
	}
	switch r.Outcome {
	case OK:
		s.performance.add(now, slow, 0)
	case Aborted:
		// The latency is not known, only that it was longer.
		if slow > oldSlow {
			s.performance.add(now, slow, oldFailing)
		}
	case Shed, Failed, Broken, Unsent, Misdirected:
		s.performance.add(now, oldSlow, 1)
	case RefusedCold, Draining, SnapshotGone:
	}
}

// Sent notes that an attempt was sent.
func (s *State) Sent(now ident.Instant) {
	s.InFlight++
	s.pending = append(s.pending, now)
	s.coldLimiter.take()
}

// Ended notes that an attempt which was sent at an instant ended.
func (s *State) Ended(sent ident.Instant) {
	s.InFlight--
	for i, at := range s.pending {
		if at == sent {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

// Overdue returns how much longer than typical the oldest attempt in flight has
// taken so far.
func (s *State) Overdue(now ident.Instant, typical time.Duration) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	return max(now.Sub(s.pending[0])-overdueFactor*typical, 0)
}

// overdueFactor times the typical latency is not yet a sign that a replica stands
// still.
const overdueFactor = 2
