package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// Shares are one VM's part of what a replica bears, summed over all VMs that
// may still be sending to it.
type Shares struct {
	// Slots and Connections are the replica's own totals.
	Slots, Connections int
	// VMs counts the VMs that may be sending, this one included; at least 1.
	VMs int
	// Rank is this VM's place in the replica's rendezvous order, 0 to VMs-1.
	Rank int
	// RampStep is the time between two steps of the ramp.
	RampStep time.Duration
	// MinInFlight is the least that this VM may have in flight at a replica which is not
	// cold, where replicas queue a few requests; 0 for the fair share.
	MinInFlight int
	// ColdRate is what the replica bears while cold, over all VMs; 0 for no
	// bound.
	ColdRate ident.Rate
}

// ConnectionShare returns the connections that this VM may hold: an equal part,
// with one more part left for a VM that is being replaced.
func (s Shares) ConnectionShare() int {
	return max(1, s.Connections/(max(s.VMs, 1)+1))
}

// RampShare returns this VM's part of a total concurrency of stage: the parts
// of all ranks sum to stage.
func (s Shares) RampShare(stage int) int {
	n := max(s.VMs, 1)
	if stage <= s.Rank {
		return 0
	}
	return (stage-s.Rank-1)/n + 1
}

// rampConcurrency returns the total concurrency that a cold replica bears now: 0 before
// the ramp begins, then from 1.
func (s *State) rampConcurrency(now ident.Instant) int {
	if now < s.since {
		return 0
	}
	step := max(s.Shares.RampStep, time.Millisecond)
	return 1 + int(now.Sub(s.since)/step)
}

// repeatRampStep begins the current step of the ramp again: replies are still slow.
func (s *State) repeatRampStep(now ident.Instant) {
	if now > s.since {
		s.since = now.Add(-time.Duration(s.rampConcurrency(now)-1) * max(s.Shares.RampStep, time.Millisecond))
	}
}

// Limit returns the attempts that this VM may have in flight at the replica.
func (s *State) Limit(now ident.Instant) int {
	limit := min(int(s.adaptiveLimit()), s.Shares.ConnectionShare())
	if s.Condition(now) == Cold {
		return min(limit, s.Shares.RampShare(s.rampConcurrency(now)))
	}
	return limit
}

// Capacity returns the concurrency that the VM may count on while the replica
// is usable; 0 while it is not.
func (s *State) Capacity(now ident.Instant) int {
	if !s.Usable(now) {
		return 0
	}
	return s.Limit(now)
}

// fairShare is this VM's part of the replica's slots: the parts of all VMs sum
// to the slots, or to one a VM when there are fewer slots.
func (s *State) fairShare() float64 {
	return float64(max(s.Shares.RampShare(s.Shares.Slots), s.Shares.MinInFlight, 1))
}

func (s *State) adaptiveLimit() float64 {
	if s.limit == 0 {
		s.limit = s.fairShare()
	}
	return s.limit
}

// adaptLimit moves the limit after a reply. It rises by one per round of replies
// while the limit is in use and replies are not delayed by queueing, up to the
// replica's slots; it falls back to the fair share while several in a row are.
// After Brakmo, Peterson: "TCP Vegas".
func (s *State) adaptLimit(m Sample) {
	if m.Base == 0 {
		return
	}
	limit := s.adaptiveLimit()
	if m.Took > m.Base+m.Base/2 {
		s.delayed++
		if fair := s.fairShare(); s.delayed >= minDelayedInRow && limit > fair {
			s.limit = max(limit-1/limit, fair)
		}
		return
	}
	s.delayed = 0
	if float64(s.InFlight)+1 >= limit {
		s.limit = min(limit+1/limit, float64(max(s.Shares.Slots, 1)))
	}
}
