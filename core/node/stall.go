package node

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// stallThreshold is the timer delay above which the VM counts as stalled. It is longer than
// any delay caused by load, and shorter than a pause of a replica.
const stallThreshold = 150 * time.Millisecond

// detectStall records that the VM stalled if a timer is overdue. Arrive, Reply and Tick
// start with it.
func (c *Core) detectStall(now ident.Instant) {
	if due := c.timers.Next(); due != ident.Never && now.Sub(due) > stallThreshold {
		c.resumedAt = now
	}
}

// isEvidence reports whether the end of an attempt counts as evidence about its replica. An
// attempt that was in flight during a stall of this VM counts only if the replica reported
// its own state (cold, draining, without the snapshot, misdirected) or was unreachable.
func (c *Core) isEvidence(a *attempt, o replica.Outcome) bool {
	if a.sent >= c.resumedAt {
		return true
	}
	switch o {
	case replica.OK, replica.Failed, replica.Broken, replica.Aborted, replica.Shed:
		return false
	default:
		return true
	}
}
