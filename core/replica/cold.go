package replica

import "carawaycross.example/carawaycross/core/ident"

// A coldLimiter meters out this VM's part of what a cold replica bears. The zero
// value belongs to no cold time.
type coldLimiter struct {
	// tokens are the attempts that may be sent, up to 1.
	tokens   float64
	refilled ident.Instant
	active   bool
}

// coldRateAllows reports whether a replica that says it is cold can take one more attempt
// of this VM. The parts of all VMs sum to the replica's rate: the first token of
// each comes in the order of their ranks, the replica's rate apart.
func (s *State) coldRateAllows(now ident.Instant) bool {
	g := &s.coldLimiter
	if now >= s.ColdUntil || s.Shares.ColdRate <= 0 {
		g.active = false
		return true
	}
	vms := float64(max(s.Shares.VMs, 1))
	if !g.active {
		*g = coldLimiter{tokens: 1 - float64(s.Shares.Rank+1)/vms, refilled: now, active: true}
	}
	g.tokens = min(g.tokens+now.Sub(g.refilled).Seconds()*float64(s.Shares.ColdRate)/vms, 1)
	g.refilled = now
	return g.tokens >= 1
}

func (g *coldLimiter) take() {
	if g.active {
		g.tokens--
	}
}
