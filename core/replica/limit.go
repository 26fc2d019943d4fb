package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// Shares are the capacity of a replica and the values that determine one VM's
// share of it. The shares of all VMs that may still be sending to the replica sum
// to at most its capacity, unless the minimum of each VM requires more.
type Shares struct {
	// Slots and Connections are the totals of the replica, over all VMs. Slots is
	// the number of requests that it runs at once.
	Slots, Connections int
	// VMs counts the VMs that may be sending, including this one; at least 1.
	VMs int
	// Rank is the position of this VM in the replica's rendezvous order, 0 to VMs-1.
	Rank int
	// RampStep is the time after which the ramp raises the total concurrency by 1.
	RampStep time.Duration
	// MinInFlight is a lower bound on this VM's limit at a replica that is not cold.
	// It is set where replicas queue a few requests; 0 for no bound.
	MinInFlight int
	// Paced is true if the load on a replica that started or recovered rises as its replies
	// allow, and not by RampStep.
	Paced bool
	// ColdRate is the rate that the replica accepts while cold, over all VMs; 0 for
	// no limit.
	ColdRate ident.Rate
}

// ConnectionShare returns the number of connections that this VM may hold: an
// equal share, computed with one VM more than there are, because a VM and its
// replacement may both hold connections for a while.
func (s Shares) ConnectionShare() int {
	return max(1, s.Connections/(max(s.VMs, 1)+1))
}

// RampShare returns this VM's share of the given total concurrency. The shares of
// all ranks sum to total.
func (s Shares) RampShare(total int) int {
	n := max(s.VMs, 1)
	if total <= s.Rank {
		return 0
	}
	return (total-s.Rank-1)/n + 1
}

// rampConcurrency returns the total concurrency, over all VMs, that the ramp of a
// cold replica allows now: 0 before the ramp begins, then 1 and one more per
// RampStep.
func (s *State) rampConcurrency(now ident.Instant) int {
	if now < s.since {
		return 0
	}
	step := max(s.Shares.RampStep, time.Millisecond)
	return 1 + int(now.Sub(s.since)/step)
}

// repeatRampStep restarts the current step of the ramp, because replies are still
// slow.
func (s *State) repeatRampStep(now ident.Instant) {
	if now > s.since {
		s.since = now.Add(-time.Duration(s.rampConcurrency(now)-1) * max(s.Shares.RampStep, time.Millisecond))
	}
}

// Limit returns the number of attempts that this VM may have in flight at the
// replica.
func (s *State) Limit(now ident.Instant) int {
	limit := min(int(s.adaptiveLimit()), s.Shares.ConnectionShare())
	if s.Shares.Paced {
		return min(limit, s.paceLimit(now))
	}
	if s.Condition(now) == Cold {
		return min(limit, s.Shares.RampShare(s.rampConcurrency(now)))
	}
	return limit
}

// Capacity returns Limit while the replica is usable and 0 while it is not.
func (s *State) Capacity(now ident.Instant) int {
	if !s.Usable(now) {
		return 0
	}
	return s.Limit(now)
}

// fairShare returns this VM's share of the replica's slots, but at least
// MinInFlight and at least 1. Where neither minimum applies, the shares of all VMs
// sum to the slots.
func (s *State) fairShare() float64 {
	return float64(max(s.Shares.RampShare(s.Shares.Slots), s.Shares.MinInFlight, 1))
}

// adaptiveLimit returns the adaptive concurrency limit, which starts as the fair
// share.
func (s *State) adaptiveLimit() float64 {
	if s.limit == 0 {
		s.limit = s.fairShare()
	}
	return s.limit
}

// adaptLimit adjusts the adaptive limit after a reply. The limit rises by one per
// round of replies, up to the replica's slots, while it is fully used and replies
// are not delayed by queueing. It falls by one per round, down to the fair share,
// while minDelayedInRow or more replies in a row are delayed. See Brakmo and
// Peterson, "TCP Vegas".
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
