// Package replica decides what one VM sends to each replica of a shard. It tracks
// the condition of each replica, limits the attempts in flight, computes the VM's
// share of the ramp of a cold replica, and chooses the replica for an attempt.
package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/pace"
	"carawaycross.example/carawaycross/core/snapshot"
)

// A Condition is the state of a replica as one VM infers it from its own attempts
// and from reports of others.
type Condition uint8

// The conditions of a replica. The zero value is Warm.
const (
	// Warm replicas get attempts up to their limits.
	Warm Condition = iota
	// Cold replicas get at most this VM's share of a ramp.
	Cold
	// Ejected replicas were slow. They get no attempts until their interval ends;
	// then they become Cold.
	Ejected
	// Lost replicas could not be reached, lost a connection or no longer have their
	// address. They get no attempts until their interval ends; then they become Cold.
	Lost
	// Leaving replicas are shutting down and get no more attempts.
	Leaving
)

// String returns the name of the condition in kebab case.
func (c Condition) String() string {
	return [...]string{"warm", "cold", "ejected", "lost", "leaving"}[c]
}

// An Outcome is how an attempt ended, as observed by this VM.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OK means that the replica ran the attempt and returned a result.
	OK Outcome = iota
	// Shed means that the replica refused the attempt before it ran, because of
	// load.
	Shed
	// RefusedCold means that the replica refused the attempt before it ran, because
	// it is cold.
	RefusedCold
	// Draining means that the replica refused the attempt before it ran, because it
	// is shutting down.
	Draining
	// SnapshotGone means that the replica refused the attempt before it ran, because
	// it does not hold the requested snapshot.
	SnapshotGone
	// Misdirected means that the attempt was refused before it ran, because another
	// replica has the address now.
	Misdirected
	// Unsent means that no connection could be made, so the attempt was not sent.
	Unsent
	// Broken means that the connection was lost after the attempt was sent; the
	// attempt may have run.
	Broken
	// Failed means that the replica ran the attempt and returned an error.
	Failed
	// Aborted means that this VM cancelled the attempt; it may have run.
	Aborted
)

// NotRun reports whether it is certain that the replica did not run the attempt.
func (o Outcome) NotRun() bool { return o >= Shed && o <= Unsent }

// Replied reports whether the replica that the attempt was addressed to replied to it.
func (o Outcome) Replied() bool {
	switch o {
	case OK, Shed, RefusedCold, Draining, SnapshotGone, Failed:
		return true
	case Misdirected, Unsent, Broken, Aborted:
	}
	return false
}

// String returns the name of the outcome in kebab case.
func (o Outcome) String() string {
	return [...]string{
		"ok", "shed", "refused-cold", "draining", "gone",
		"misdirected", "unsent", "broken", "failed", "aborted",
	}[o]
}

const (
	// latencyWeight is the weight of a new sample in the moving average of latency.
	latencyWeight = 0.2
	// minDelayedInRow is the number of consecutive delayed replies after which the
	// adaptive limit falls.
	minDelayedInRow = 3
	// The interval of an ejection or a loss starts at its minimum and doubles up to
	// its maximum.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	minLost     = 250 * time.Millisecond
	// minMisdirected is the first interval for an address that another replica has;
	// discovery reports the change within about that time.
	minMisdirected = time.Second
	maxLost        = 4 * time.Second
	// minLeaving is how long a replica stays Leaving at least.
	minLeaving = 10 * time.Second
	// After a RefusedCold, the ramp begins when RampStep/refusedColdDivisor has
	// passed.
	refusedColdDivisor = 4
	// limitDecrease is the factor by which a Shed reduces the adaptive limit.
	limitDecrease = 0.7
	// backoffReset is the time after an interval from which the next one starts at
	// its minimum again.
	backoffReset = 30 * time.Second
	// crossZoneDelay is the assumed additional latency of another zone.
	crossZoneDelay = 2 * time.Millisecond
)

// A State is what one VM has recorded about one replica.
type State struct {
	ID      ident.ReplicaID
	Shard   ident.ShardID
	Zone    ident.ZoneID
	Address string
	// Local is true for a replica in the VM's zone.
	Local bool
	// Held is the range of snapshots that the replica reported last.
	Held snapshot.Range
	// InFlight counts the attempts that were sent and have not ended. A replica
	// whose InFlight has reached Limit gets no attempt without Selection.Overcommit.
	InFlight int
	// Shares determine this VM's share of the replica's capacity.
	Shares Shares
	// ReportedLoad is the load that the replica reported last. It is used only
	// while this VM has measured no latency.
	ReportedLoad uint32
	// Out is true while operators keep the replica's zone or VM out of service.
	Out bool
	// Target is true while an order moves the service to the version that the replica runs.
	Target bool
	// Reserve is true if the replica gets attempts of this VM only while no other one of its
	// shard is sound.
	Reserve bool
	// Incarnation distinguishes successive processes of a replica under one ID; 0
	// if unknown.
	Incarnation ident.Incarnation
	// ColdUntil is when the replica expects to be warm; 0 if it reported nothing.
	ColdUntil ident.Instant

	condition Condition
	// since is when the condition, or the ramp of Cold, begins. until is when
	// Ejected or Lost ends.
	since, until ident.Instant
	// backoff is the last interval of ejection or loss; it doubles on a repeat.
	backoff time.Duration
	// limit is the adaptive concurrency limit; 0 before its first use.
	limit   float64
	latency time.Duration
	// heldUntil is the end of the time for which the replica asked for no attempts.
	heldUntil ident.Instant
	// departed is true once the replica itself said that it is leaving.
	departed bool
	// wasLost is true from a loss to the first reply after it.
	wasLost bool
	// probation is true while Cold follows Ejected: a slow reply then ejects the
	// replica again.
	probation bool
	// delayed counts the latest consecutive replies that were delayed by queueing.
	delayed int
	// coldMark is the last mark that was passed to MarkCold.
	coldMark    uint64
	performance performance
	coldLimiter coldLimiter
	// pace limits the attempts with Shares.Paced set.
	pace pace.Pace
	// pending holds the send time of each attempt in flight, oldest first.
	pending []ident.Instant
}

// Condition ends an ejection, a loss or a ramp whose time is over, and returns the
// condition at now.
func (s *State) Condition(now ident.Instant) Condition {
	switch s.condition {
	case Ejected, Lost:
		if now >= s.until {
			ejected := s.condition == Ejected
			s.becomeCold(now)
			s.probation = ejected
		}
	case Cold:
		if s.warmed(now) {
			s.enter(Warm, now)
			s.limit = s.fairShare()
		}
	}
	return s.condition
}

func (s *State) enter(c Condition, now ident.Instant) {
	s.condition, s.since, s.delayed, s.probation = c, now, 0, false
}

// Usable reports whether the replica is in service, warm or cold, and has not asked
// for a time without attempts. It ignores the limits.
func (s *State) Usable(now ident.Instant) bool { return now >= s.heldUntil && s.inService(now) }

// inService reports whether the replica is in service and warm or cold.
func (s *State) inService(now ident.Instant) bool {
	c := s.Condition(now)
	return !s.Out && (c == Warm || c == Cold)
}

// CanSend reports whether one more attempt is within the limits, if no other replica of
// its shard can take it.
func (s *State) CanSend(now ident.Instant) bool {
	in := Selection{Now: now, Shard: &Shard{}}
	return in.Eligible(s)
}

// Latency returns the moving average of the latency; 0 without samples.
func (s *State) Latency() time.Duration { return s.latency }

// MarkLeaving marks the replica as leaving, whatever its condition.
func (s *State) MarkLeaving(now ident.Instant) {
	if s.condition != Leaving {
		s.enter(Leaving, now)
	}
}

// MarkDeparted marks the replica as leaving for good. It is called after a reply in
// which this process of the replica itself says so; only its end takes that back.
func (s *State) MarkDeparted(now ident.Instant) {
	s.departed = true
	s.MarkLeaving(now)
}

// ClearLeaving makes a leaving replica cold, unless it became Leaving less than
// minLeaving ago or is departed. It is called while no report says that the replica is
// leaving: the replica has restarted and is cold.
func (s *State) ClearLeaving(now ident.Instant) {
	if s.condition == Leaving && !s.departed && now.Sub(s.since) >= minLeaving {
		s.becomeCold(now)
	}
}

// MarkCold starts the ramp of a replica that is reported to be cold. The mark
// identifies the report: repeated calls with the same mark start only one ramp. A
// lost or ejected replica keeps its condition until its interval ends, and its ramp
// begins then.
func (s *State) MarkCold(now ident.Instant, mark uint64) {
	if mark == s.coldMark {
		return
	}
	s.coldMark = mark
	if c := s.Condition(now); c == Warm || c == Cold {
		s.becomeCold(now)
	}
}

// BeginRamp makes the replica cold and starts its ramp, unless it is leaving. It
// is called when operators return the replica to service.
func (s *State) BeginRamp(now ident.Instant) {
	if s.condition != Leaving {
		s.becomeCold(now)
	}
}

// A Sample is the outcome and the timing of one ended attempt.
type Sample struct {
	Outcome Outcome
	// Took is the time from sending the attempt to its end.
	Took time.Duration
	// SlowThreshold is the latency above which the attempt counts as slow; 0 while
	// there are too few samples.
	SlowThreshold time.Duration
	// Base is the latency without queueing; 0 while unknown.
	Base time.Duration
	// MayEject is true if the replica may be ejected; see Shard.MayEject.
	MayEject bool
}

// Observe updates the condition and the limits after an attempt that ended at now.
// It reports whether other VMs must be notified: the condition changed, or a lost
// replica replied.
func (s *State) Observe(now ident.Instant, m Sample) bool {
	before := s.Condition(now)
	switch m.Outcome {
	case OK, Failed:
		s.observeLatency(now, m)
		if s.wasLost {
			// The replica is assumed to have restarted, so other VMs must be notified
			// that it is cold.
			s.wasLost = false
			return true
		}
	case Aborted:
		// The elapsed time is only a lower bound of the latency.
		if m.slow() {
			s.observeLatency(now, m)
		}
	case Shed:
		s.limit = max(1, float64(s.Shares.MinInFlight), s.adaptiveLimit()*limitDecrease)
	case RefusedCold:
		// The replica is running another VM's attempt, so the ramp begins later.
		if before != Leaving {
			s.becomeCold(now.Add(s.Shares.RampStep / refusedColdDivisor))
		}
	case Draining:
		s.MarkLeaving(now)
	case Misdirected:
		if before != Leaving {
			s.enterWithBackoff(Lost, now, minMisdirected, maxLost)
		}
	case Unsent, Broken:
		if before != Leaving && before != Lost {
			s.enterWithBackoff(Lost, now, minLost, maxLost)
			s.wasLost = true
		}
	case SnapshotGone:
	}
	return s.condition != before
}

// observeLatency updates the moving average of the latency and the adaptive limit.
// While the average is above SlowThreshold, it ejects the replica or, during a ramp
// without probation, repeats the ramp step; a pace does not prevent the ejection. A sample is capped at 1.5 times
// SlowThreshold, so that a single slow reply ejects only a replica that has no
// earlier samples.
func (s *State) observeLatency(now ident.Instant, m Sample) {
	took := m.Took
	if m.SlowThreshold > 0 {
		took = min(took, m.SlowThreshold+m.SlowThreshold/2)
	}
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	s.adaptLimit(m)
	if m.SlowThreshold == 0 || s.latency <= m.SlowThreshold {
		return
	}
	switch {
	case s.condition == Cold && !s.probation && !s.Shares.Paced:
		s.repeatRampStep(now)
	case m.MayEject && (s.condition == Warm || s.condition == Cold):
		s.enterWithBackoff(Ejected, now, minEjection, maxEjection)
		s.latency = 0
	}
}

// readmit ends an ejection before its time. The replica gets its share at once, since it
// neither restarted nor was lost.
func (s *State) readmit(now ident.Instant) {
	if s.Condition(now) == Ejected {
		s.enter(Warm, now)
		s.limit = s.fairShare()
	}
}

func (m *Sample) slow() bool { return m.SlowThreshold > 0 && m.Took > m.SlowThreshold }

// enterWithBackoff enters c, Ejected or Lost, for an interval. The interval is
// minInterval after backoffReset without one, and otherwise twice the last one, up to
// maxInterval.
func (s *State) enterWithBackoff(c Condition, now ident.Instant, minInterval, maxInterval time.Duration) {
	if s.backoff == 0 || now.Sub(s.until) > backoffReset {
		s.backoff = minInterval
	} else {
		s.backoff = min(max(2*s.backoff, minInterval), maxInterval)
	}
	s.enter(c, now)
	s.until = now.Add(s.backoff)
}
