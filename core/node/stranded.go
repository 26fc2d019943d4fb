package node

import (
	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

const (
	// strandedPart of the requests of the last second found no upstream that could
	// be reached, of strandedLeast at the least: the VM may be cut off.
	strandedPart  = 0.5
	strandedLeast = 3
)

// reach counts the requests of the last second. The zero value is ready.
type reach struct {
	ended, unreached container.Window[int]
}

// Stranded reports whether most requests of the last second ended because no
// upstream could be reached for them.
func (c *Core) Stranded(now ident.Instant) bool {
	ended := c.reach.ended.Sum(now)
	return ended >= strandedLeast && float64(c.reach.unreached.Sum(now)) >= strandedPart*float64(ended)
}

func (r *reach) count(now ident.Instant, a *Answer) {
	r.ended.Add(now, 1)
	if f := a.Refusal; f != nil && f.Outcome == booking.NotRun && unreached(f.Reason) {
		r.unreached.Add(now, 1)
	}
}

func unreached(reason admission.Reason) bool {
	return reason == noUpstream || reason == upstreamFailed
}
