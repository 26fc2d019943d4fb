package replica

import (
	"math"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/pace"
)

// paceShare returns the share of the replica's load that a pace of this VM may reach.
func (s *State) paceShare() pace.Share {
	return pace.Share{Slots: s.Shares.Slots, VMs: s.Shares.VMs, Rank: s.Shares.Rank, Limit: int(s.fairShare())}
}

// BeginPace makes a replica cold that has just started, so that its load rises as its
// replies allow. It has no effect without Shares.Paced, or if the replica is not warm.
func (s *State) BeginPace(now ident.Instant) {
	if s.Shares.Paced && s.condition == Warm {
		s.becomeCold(now)
	}
}

// becomeCold makes the replica cold and begins its ramp or its pace at the instant at.
func (s *State) becomeCold(at ident.Instant) {
	s.enter(Cold, at)
	if s.Shares.Paced {
		s.pace.Begin(at, s.paceShare())
	}
}

// warmed reports whether the ramp or the pace of a cold replica has ended.
func (s *State) warmed(now ident.Instant) bool {
	if s.Shares.Paced {
		return !s.pace.Active(now, s.paceShare())
	}
	return s.rampConcurrency(now) > s.Shares.Slots
}

// paced reports whether a pace limits the attempts at the replica.
func (s *State) paced(now ident.Instant) bool {
	return s.Shares.Paced && s.pace.Active(now, s.paceShare())
}

// Pace returns the concurrency over all VMs to which a pace limits the replica; 0 if none
// does.
func (s *State) Pace(now ident.Instant) float64 {
	if !s.paced(now) {
		return 0
	}
	return s.pace.Total()
}

// paceLimit returns the number of attempts that a pace allows this VM to have in flight,
// at least 1: a share below that limits the rate.
func (s *State) paceLimit(now ident.Instant) int {
	if !s.paced(now) {
		return math.MaxInt
	}
	return max(int(s.pace.Total()/float64(max(s.Shares.VMs, 1))), 1)
}

// CanSend reports whether one more attempt at any replica is eligible.
func (in *Selection) CanSend() bool {
	for _, r := range in.Shard.Replicas {
		if in.Eligible(r) {
			return true
		}
	}
	return false
}

// paceAllows reports whether the pace of r, if it has one, allows the attempt.
func (in *Selection) paceAllows(r *State) bool {
	if !r.paced(in.Now) {
		return true
	}
	return r.pace.Allows(in.Now, r.paceShare(), r.InFlight, in.MedianLatency, in.alone(r))
}

// alone reports whether no other replica, reserves included, is sound.
func (in *Selection) alone(r *State) bool {
	for _, o := range in.Shard.Replicas {
		if o != r && in.Versions.include(o) && in.sound(o) {
			return false
		}
	}
	return true
}

// observePace passes the result of an attempt to the pace. The good reply that ends a pace
// raises the limit to the fair share.
func (s *State) observePace(now ident.Instant, r AttemptResult) {
	if !s.paced(now) {
		return
	}
	reply := pace.Reply{Sent: now.Add(-r.Took), Took: r.Took, Median: r.MedianLatency}
	switch r.Outcome {
	case OK:
		reply.Result = pace.Replied
	case Shed, RefusedCold:
		reply.Result = pace.Refused
	case Unsent, Broken:
		reply.Result = pace.Lost
	case Aborted:
		reply.Result = pace.Cancelled
	case Failed, Draining, Misdirected, SnapshotGone:
		return
	}
	good := s.pace.Observe(now, s.paceShare(), reply)
	if good && !s.paced(now) {
		s.limit = max(s.limit, s.fairShare())
	}
}
