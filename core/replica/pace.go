package replica

import (
	"math"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// paceWeight is the weight of one more reply: three replies make two thirds of
	// the average, so that a slow replica is known within a few requests.
	paceWeight = 0.3
	// mostPace and leastPace bound what one reply tells, in multiples of the
	// typical latency: a pause of 200 ms is about 20 times a short request.
	mostPace  = 20
	leastPace = 0.25
	// paceMemory is the time constant by which evidence without new replies
	// fades: a replica that was slow is then tried again.
	paceMemory = 2 * time.Second
	// failingMemory is the same for failures: they come and go more slowly than
	// pauses, and some cost an answer.
	failingMemory = 5 * time.Second
	// mostFailing keeps the score of a replica that always fails finite.
	mostFailing = 0.95
)

// A pace is the evidence of a replica's replies, over all classes: each reply is
// compared with what is typical of its own class. The zero value is typical.
type pace struct {
	// slow is the moving average of latency over the typical one, less 1.
	slow float64
	// failing is the moving average of failures, 0 to 1.
	failing float64
	at      ident.Instant
}

// left returns what is left of the evidence at now.
func (p *pace) left(now ident.Instant) (slow, failing float64) {
	if now <= p.at {
		return p.slow, p.failing
	}
	age := float64(now.Sub(p.at))
	return p.slow * math.Exp(-age/float64(paceMemory)), p.failing * math.Exp(-age/float64(failingMemory))
}

func (p *pace) add(now ident.Instant, slow, failing float64) {
	p.slow, p.failing = p.left(now)
	p.at = max(now, p.at)
	p.slow += paceWeight * (slow - p.slow)
	p.failing += paceWeight * (failing - p.failing)
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
	now = max(now, s.pace.at)
	oldSlow, oldFailing := s.pace.left(now)
	slow := oldSlow
	if r.MedianLatency > 0 {
		slow = min(max(float64(r.Took)/float64(r.MedianLatency), leastPace), mostPace) - 1
	}
	switch r.Outcome {
	case OK:
		s.pace.add(now, slow, 0)
	case Aborted:
		// The latency is not known, only that it was longer.
		if slow > oldSlow {
			s.pace.add(now, slow, oldFailing)
		}
	case Shed, Failed, Broken, Unsent, Misdirected:
		s.pace.add(now, oldSlow, 1)
	case RefusedCold, Draining, SnapshotGone:
	}
}

// Sent notes that an attempt was sent.
func (s *State) Sent(now ident.Instant) {
	s.InFlight++
	s.pending = append(s.pending, now)
	s.cold.spend()
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

// Stuck returns how much longer than typical the oldest attempt in flight has
// taken so far.
func (s *State) Stuck(now ident.Instant, typical time.Duration) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	return max(now.Sub(s.pending[0])-stuckFactor*typical, 0)
}

// stuckFactor times the typical latency is not yet a sign that a replica stands
// still.
const stuckFactor = 2
