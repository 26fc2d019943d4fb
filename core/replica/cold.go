package replica

import "carawaycross.example/carawaycross/core/ident"

// A coldLimiter is a token bucket that limits the rate of this VM's attempts at a
// cold replica. The zero value is inactive.
type coldLimiter struct {
	// tokens is the number of attempts that may be sent now, at most 1.
	tokens   float64
	refilled ident.Instant
	// active is true while the replica is in its cold period.
	active bool
}

// coldRateAllows reports whether this VM may send one more attempt to the replica
// under the rate limit that holds until ColdUntil. Each VM gets an equal share of
// the replica's rate. The first tokens of the VMs are staggered by rank, 1/ColdRate
// apart, so that the VMs do not all send at once.
func (s *State) coldRateAllows(now ident.Instant) bool {
	l := &s.coldLimiter
	if now >= s.ColdUntil || s.Shares.ColdRate <= 0 {
		l.active = false
		return true
	}
	vms := float64(max(s.Shares.VMs, 1))
	if !l.active {
		*l = coldLimiter{tokens: 1 - float64(s.Shares.Rank+1)/vms, refilled: now, active: true}
	}
	l.tokens = min(l.tokens+now.Sub(l.refilled).Seconds()*float64(s.Shares.ColdRate)/vms, 1)
	l.refilled = now
	return l.tokens >= 1
}

// take removes the token of an attempt that is sent.
func (l *coldLimiter) take() {
	if l.active {
		l.tokens--
	}
}
