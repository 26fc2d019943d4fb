package node

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// stallThreshold is how late a timer may be: later than any load makes it, and shorter
// than a pause of a replica.
const stallThreshold = 150 * time.Millisecond

// detectStall notes that the VM stood still: a timer is overdue. Each call that takes
// time from outside begins with it.
func (c *Core) detectStall(now ident.Instant) {
	if due := c.timers.Next(); due != ident.Never && now.Sub(due) > stallThreshold {
		c.resumedAt = now
	}
}

// isEvidence reports whether the end of an attempt is evidence of its replica. One that
// was in flight while the VM itself stood still is none, but for what the replica
// says of itself.
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
