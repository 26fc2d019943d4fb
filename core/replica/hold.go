package replica

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// maxHoldSpread bounds the random time by which a hold is extended.
const maxHoldSpread = time.Second

// Hold stops attempts at the replica for the time that it asked for, extended by up to
// a quarter, so that the VMs that it refused together do not return together. The
// factor spread is from 0 to 1. After the hold the replica gets one attempt at a time
// until replies show that it has room; with Shares.Paced, a pace begins too. Hold returns
// the end of the hold.
func (s *State) Hold(now ident.Instant, asked time.Duration, spread float64) ident.Instant {
	extra := time.Duration(spread * float64(min(asked/4, maxHoldSpread)))
	s.HoldUntil(now.Add(asked + extra))
	return s.heldUntil
}

// HoldUntil is Hold for a known end.
func (s *State) HoldUntil(end ident.Instant) {
	s.heldUntil = max(s.heldUntil, end)
	s.limit = 1
	if s.Shares.Paced {
		s.pace.Begin(s.heldUntil, s.paceShare())
	}
}

// HeldUntil returns when the first replica of the shard that only a hold makes
// unusable becomes usable, or false if there is none.
func (s *Shard) HeldUntil(now ident.Instant) (ident.Instant, bool) {
	end := ident.Never
	for _, r := range s.Replicas {
		if now < r.heldUntil && r.inService(now) {
			end = min(end, r.heldUntil)
		}
	}
	return end, end != ident.Never
}
