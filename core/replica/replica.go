// Package replica decides what one VM sends to each replica of a shard: its
// condition, its limits, its share of a cold start, and which replica of a
// shard is chosen next.
package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/snapshot"
)

// A Condition is what a VM believes of a replica.
type Condition uint8

// The conditions of a replica. The zero value is Warm.
const (
	// Warm takes work up to its limits.
	Warm Condition = iota
	// Cold takes only this VM's part of a ramp.
	Cold
	// Ejected takes nothing until its interval ends; then it turns Cold.
	Ejected
	// Lost could not be reached; after an interval it turns Cold.
	Lost
	// Leaving takes nothing more.
	Leaving
)

// String returns the name of the condition in kebab case.
func (c Condition) String() string {
	return [...]string{"warm", "cold", "ejected", "lost", "leaving"}[c]
}

// An Outcome is how an attempt ended, as this VM saw it.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OK ran and returned a result.
	OK Outcome = iota
	// Shed was refused before it ran.
	Shed
	// RefusedCold was refused before it ran, since the replica is cold.
	RefusedCold
	// Draining was refused before it ran, since the replica is leaving.
	Draining
	// SnapshotGone was refused before it ran, since the snapshot is not held.
	SnapshotGone
	// Misdirected was refused before it ran, since another replica has the
	// address.
	Misdirected
	// Unsent never left this VM: no connection could be made.
	Unsent
	// Broken lost its connection after it was sent; it may have run.
	Broken
	// Failed ran and returned an error.
	Failed
	// Aborted was cancelled by this VM; it may have run.
	Aborted
)

// NotRun reports whether the replica surely did not run the attempt.
func (o Outcome) NotRun() bool { return o >= Shed && o <= Unsent }

// String returns the name of the outcome in kebab case.
func (o Outcome) String() string {
	return [...]string{
		"ok", "shed", "refused-cold", "draining", "gone",
		"misdirected", "unsent", "broken", "failed", "aborted",
	}[o]
}

const (
	latencyWeight   = 0.2
	minDelayedInRow = 3
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	minLost         = 250 * time.Millisecond
	// minMisdirected is how long an address that another replica has is passed
	// over; discovery is told of the change within about that time.
	minMisdirected = time.Second
	maxLost        = 4 * time.Second
	minLeaving     = 10 * time.Second
	// refusedColdDivisor of a ramp step passes after a refusal for coldness.
	refusedColdDivisor = 4
	limitDecrease      = 0.7
	backoffReset       = 30 * time.Second
	crossZoneDelay     = 2 * time.Millisecond
)

// A State is one VM's evidence about one replica.
type State struct {
	ID      ident.ReplicaID
	Shard   ident.ShardID
	Zone    ident.ZoneID
	Address string
	// Local is true in the VM's own zone.
	Local bool
	// Held is the range of snapshots last told by the replica itself.
	Held snapshot.Range
	// InFlight counts attempts sent and not ended; never above Limit when one
	// is sent.
	InFlight int
	// Shares are this VM's part of what the replica bears.
	Shares Shares
	// ReportedLoad is the replica's own word; used only without own evidence.
	ReportedLoad uint32
	// Out is true while operators keep the replica's zone or VM out.
	Out bool
	// Incarnation tells the lives of a replica under one ID apart; 0 if untold.
	Incarnation ident.Incarnation
	// ColdUntil is when the replica says that it is warm; 0 if untold.
	ColdUntil ident.Instant

	condition Condition
	// Since is when the condition began; until is when it ends by itself.
	since, until ident.Instant
	// Pause is the last interval of ejection or loss; it doubles on a repeat.
	backoff time.Duration
	// Limit is the adaptive concurrency; 0 takes the initial share.
	limit   float64
	latency time.Duration
	// WasLost is true from a loss to the first reply after it.
	wasLost bool
	// Probation is true while Cold follows Ejected: a slow reply ejects again.
	probation bool
	// Delayed counts the latest replies that queueing delayed, in a row.
	delayed     int
	coldMark    uint64
	performance performance
	coldLimiter coldLimiter
	// Pending holds when each attempt in flight was sent, in that order.
	pending []ident.Instant
}

// Condition returns the condition at now, after ended intervals took effect.
func (s *State) Condition(now ident.Instant) Condition {
	switch s.condition {
	case Ejected, Lost:
		if now >= s.until {
			ejected := s.condition == Ejected
			s.enter(Cold, now)
			s.probation = ejected
		}
	case Cold:
		if s.rampConcurrency(now) > s.Shares.Slots {
			s.enter(Warm, now)
			s.limit = s.fairShare()
		}
	}
	return s.condition
}

func (s *State) enter(c Condition, now ident.Instant) {
	s.condition, s.since, s.delayed, s.probation = c, now, 0, false
}

// Usable reports whether new work may go to the replica at all.
func (s *State) Usable(now ident.Instant) bool {
	c := s.Condition(now)
	return !s.Out && (c == Warm || c == Cold)
}

// CanSend reports whether one more attempt is within the limits.
func (s *State) CanSend(now ident.Instant) bool {
	return s.Usable(now) && s.InFlight < s.Limit(now) && s.coldRateAllows(now)
}

// Latency returns the moving average of the latency; 0 without evidence.
func (s *State) Latency() time.Duration { return s.latency }

// MarkLeaving marks the replica as leaving, on any word that it is.
func (s *State) MarkLeaving(now ident.Instant) {
	if s.condition != Leaving {
		s.enter(Leaving, now)
	}
}

// ClearLeaving ends Leaving when no word of it is left and the last one is leaveHold
// old: the replica starts again and is cold.
func (s *State) ClearLeaving(now ident.Instant) {
	if s.condition == Leaving && now.Sub(s.since) >= minLeaving {
		s.enter(Cold, now)
	}
}

// MarkCold starts the ramp of a warm replica that is told to be cold. Mark
// identifies the evidence; the same mark starts only one ramp. A replica that is
// lost or ejected waits out its interval, and its ramp begins then.
func (s *State) MarkCold(now ident.Instant, mark uint64) {
	if mark == s.coldMark {
		return
	}
	s.coldMark = mark
	if c := s.Condition(now); c == Warm || c == Cold {
		s.enter(Cold, now)
	}
}

// BeginRamp begins a ramp: the replica comes back into use after it was out.
func (s *State) BeginRamp(now ident.Instant) {
	if s.condition != Leaving {
		s.enter(Cold, now)
	}
}

// A Sample is the evidence of one ended attempt.
type Sample struct {
	Outcome Outcome
	// Took is the time from sending to the end.
	Took time.Duration
	// SlowThreshold is the latency from which the attempt counts as slow; 0 while too
	// little is known.
	SlowThreshold time.Duration
	// Base is the service's latency without queueing; 0 while unknown.
	Base time.Duration
	// MayEject is true when the shard can do without this replica.
	MayEject bool
}

// Observe takes the evidence of an attempt that ended at now, and reports
// whether other VMs should hear of it: the condition changed, or a lost replica
// is back.
func (s *State) Observe(now ident.Instant, m Sample) bool {
	before := s.Condition(now)
	switch m.Outcome {
	case OK, Failed:
		s.observeLatency(now, m)
		if s.wasLost {
			// It is back, and started anew: other VMs must hear that it is cold.
			s.wasLost = false
			return true
		}
	case Aborted:
		// The latency is not known, only that it was longer.
		if m.slow() {
			s.observeLatency(now, m)
		}
	case Shed:
		s.limit = max(1, float64(s.Shares.MinInFlight), s.adaptiveLimit()*limitDecrease)
	case RefusedCold:
		// It is busy with another VM's attempt: the ramp begins after a rest.
		if before != Leaving {
			s.enter(Cold, now.Add(s.Shares.RampStep/refusedColdDivisor))
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

// observeLatency follows the latency and ejects a replica whose moving average
// turns slow. A sample counts for at most half as much again as what is slow, so
// that a single slow reply ejects only a replica without other evidence.
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
	case s.condition == Cold && !s.probation:
		s.repeatRampStep(now)
	case m.MayEject && (s.condition == Warm || s.condition == Cold):
		s.enterWithBackoff(Ejected, now, minEjection, maxEjection)
		s.latency = 0
	}
}

func (m *Sample) slow() bool { return m.SlowThreshold > 0 && m.Took > m.SlowThreshold }

// enterWithBackoff enters c for an interval that doubles when the last one was recent.
func (s *State) enterWithBackoff(c Condition, now ident.Instant, first, longest time.Duration) {
	if s.backoff == 0 || now.Sub(s.until) > backoffReset {
		s.backoff = first
	} else {
		s.backoff = min(max(2*s.backoff, first), longest)
	}
	s.enter(c, now)
	s.until = now.Add(s.backoff)
}
