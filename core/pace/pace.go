// Package pace finds the load that a replica can take after it started, recovered or
// asked for a time without requests. Each VM estimates the concurrency that the replica
// can carry over all VMs and uses its own share of it. The estimate doubles for each round of
// good replies and halves after a bad one, as in slow start and congestion avoidance
// (Jacobson, "Congestion Avoidance and Control").
package pace

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// initialSlots is the share of the slots that all VMs together use at first.
	initialSlots = 0.5
	// finalSlots is the multiple of the slots from which a pace no longer limits anything:
	// the queue of the replica holds what exceeds its slots.
	finalSlots = 4
	// additiveSlots is the share of the slots by which the concurrency rises per round
	// above the one at which a reply was bad.
	additiveSlots = 0.25
	// decrease is the factor by which a bad reply reduces the concurrency.
	decrease = 0.5
	// minTotal is the least concurrency over all VMs.
	minTotal = 1
	// idleRound is the length of a round without replies. A VM that sends seldom raises
	// its estimate too, since the replies to the others are likely as good.
	idleRound = 400 * time.Millisecond
	// minDuration is the least duration of a pace in which a VM's share of the slots is
	// below one request: a good reply or two of its own are then little evidence.
	minDuration = time.Second
	// quietTime without a bad reply must pass before a round without replies counts.
	quietTime = time.Second
	// maxSlowTime is how long a pace lasts without a refused or lost request. Slow replies
	// alone may be the usual spread of the latency; ejection handles a slow replica.
	maxSlowTime = 8 * time.Second
	// maxDebt is the number of turns that a VM misses at most for requests that it sent
	// before its turn.
	maxDebt = 1
	// thresholdMemory is how long the concurrency of a bad reply bounds the doubling of a
	// later pace.
	thresholdMemory = 30 * time.Second
	// A reply is bad if it took slowFactor times the replica's best reply, or the median of
	// its class if that is longer. Its best counts as at most maxBest medians.
	slowFactor = 2.0
	maxBest    = 2.0
	// assumedMedian replaces the median latency while that is unknown.
	assumedMedian = 10 * time.Millisecond
)

// A Share describes one replica and this VM's part in its load.
type Share struct {
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// VMs counts the VMs that may be sending, and Rank is the position of this VM in the
	// replica's order of them, 0 to VMs-1.
	VMs, Rank int
	// Limit is the number of requests that this VM may have in flight without a pace.
	Limit int
}

func (s Share) slots() float64 { return float64(max(s.Slots, 1)) }
func (s Share) vms() float64   { return float64(max(s.VMs, 1)) }

// final returns the total concurrency at which a pace ends.
func (s Share) final() float64 { return min(finalSlots*s.slots(), s.vms()*float64(max(s.Limit, 1))) }

// A Result is how the replica answered one request.
type Result uint8

// The results of a request.
const (
	// Replied requests ran.
	Replied Result = iota
	// Refused requests did not run, because of load.
	Refused
	// Lost requests ended without a reply.
	Lost
	// Cancelled requests ended before their reply; the time they took is a lower bound.
	Cancelled
)

// A Reply is the result of one request.
type Reply struct {
	Result Result
	Sent   ident.Instant
	Took   time.Duration
	// Median is the median latency of the request's class; 0 while unknown.
	Median time.Duration
}

// A Pace limits the requests of one VM to one replica. The zero value is inactive and
// allows everything.
type Pace struct {
	active bool
	// total is the concurrency over all VMs that the replies so far allow.
	total float64
	// threshold is the total from which growth is additive; 0 for none. It was reduced
	// last at reducedAt.
	threshold float64
	reducedAt ident.Instant
	// reduced is true once a reply was bad in this pace.
	reduced bool
	// best is the least latency of a reply in this pace, in medians; 0 before the first.
	best float64
	// begunAt is the start of the pace, and grownAt that of the current round, not before
	// begunAt. Replies to requests sent before begunAt are ignored.
	begunAt, grownAt ident.Instant
	// refusedAt is when a request was refused or lost last in this pace, or begunAt.
	refusedAt ident.Instant
	// tokens is the number of requests that may be sent now while the VM's share is below
	// one request in flight. It is at most 1, and negative after a request before its turn.
	tokens   float64
	refilled ident.Instant
	// median is the last known median latency.
	median time.Duration
}

// Begin starts a pace at the instant at. The first requests of the VMs are spread by
// their ranks.
func (p *Pace) Begin(at ident.Instant, s Share) {
	threshold := p.threshold
	if at.Sub(p.reducedAt) > thresholdMemory {
		threshold = 0
	}
	total := max(initialSlots*s.slots(), minTotal)
	if threshold > 0 {
		total = min(total, threshold)
	}
	*p = Pace{
		active: total < s.final(), total: total, threshold: threshold, reducedAt: p.reducedAt,
		begunAt: at, grownAt: at, refusedAt: at, refilled: at,
		tokens: 1 - float64(s.Rank)/s.vms(), median: p.median,
	}
}

// Active reports whether the pace still limits requests at now.
func (p *Pace) Active(now ident.Instant, s Share) bool {
	if !p.active {
		return false
	}
	for p.active && now >= p.grownAt.Add(idleRound) && (!p.reduced || now >= p.reducedAt.Add(quietTime)) {
		p.grow(p.grownAt.Add(idleRound), s)
	}
	if now >= p.refusedAt.Add(maxSlowTime) {
		p.active = false
	}
	return p.active
}

// Total returns the concurrency over all VMs that the replies so far allow; 0 if the pace
// is not active.
func (p *Pace) Total() float64 {
	if !p.active {
		return 0
	}
	return p.total
}

// Reduced reports whether a reply was bad in this pace.
func (p *Pace) Reduced() bool { return p.active && p.reduced }

// Allows reports whether this VM may send one more request besides those in flight.
// Median is the median latency of the request's class; 0 while unknown. The argument
// alone is true if no other replica is sound. The VM may then send
// one request at a time and, after a bad reply, waits for its turn only: the time in which
// the slots serve one request of each VM.
func (p *Pace) Allows(now ident.Instant, s Share, inFlight int, median time.Duration, alone bool) bool {
	if !p.Active(now, s) {
		return true
	}
	if now < p.refilled {
		return false
	}
	switch {
	case median > 0:
		p.median = median
	case p.median == 0:
		p.median = assumedMedian
	}
	own := p.total / s.vms()
	p.tokens = min(p.tokens+own*float64(now.Sub(p.refilled))/float64(p.median), 1)
	p.refilled = now
	switch {
	case own >= 1:
		return inFlight < int(own)
	case inFlight > 0:
		return false
	case alone:
		turn := time.Duration(s.vms() / s.slots() * float64(p.median))
		return !p.reduced || now >= p.reducedAt.Add(turn)
	default:
		return p.tokens >= 1
	}
}

// Sent records that a request was sent.
func (p *Pace) Sent() {
	if p.active {
		p.tokens = max(p.tokens-1, -maxDebt)
	}
}

// Observe updates the estimate after a request ended at now. It reports whether the reply
// was good.
func (p *Pace) Observe(now ident.Instant, s Share, r Reply) bool {
	if !p.Active(now, s) || r.Sent < p.begunAt {
		return false
	}
	if r.Result == Refused || r.Result == Lost {
		p.refusedAt = now
	}
	switch {
	case p.isBad(r):
		if r.Sent >= p.reducedAt || !p.reduced {
			p.reduce(now)
		}
		return false
	case r.Result != Replied:
		return false
	}
	if r.Sent >= p.grownAt {
		p.grow(now, s)
	}
	return true
}

// isBad reports whether the reply shows that the replica has more load than it can carry. It
// records the best latency.
func (p *Pace) isBad(r Reply) bool {
	switch r.Result {
	case Refused, Lost:
		return true
	case Replied, Cancelled:
	}
	if r.Median == 0 {
		return false
	}
	latency := float64(r.Took) / float64(r.Median)
	if r.Result == Replied && (p.best == 0 || latency < p.best) {
		p.best = latency
	}
	return latency > slowFactor*min(max(p.best, 1), maxBest)
}

// grow starts a new round with a higher concurrency. The pace ends when that reaches the
// final one.
func (p *Pace) grow(now ident.Instant, s Share) {
	p.grownAt = now
	switch {
	case p.threshold == 0:
		p.total *= 2
	case p.total < p.threshold:
		p.total = min(2*p.total, p.threshold)
	default:
		p.total += max(additiveSlots*s.slots(), minTotal)
	}
	if p.total >= s.final() {
		p.total = s.final()
		p.active = s.slots() < s.vms() && now < p.begunAt.Add(minDuration)
	}
}

// reduce lowers the concurrency after a bad reply.
func (p *Pace) reduce(now ident.Instant) {
	p.total = max(decrease*p.total, minTotal)
	p.threshold, p.reduced, p.reducedAt, p.grownAt = p.total, true, now, now
}
