package node

import (
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

const (
	// unservedThreshold of the requests of the last second were not served, of
	// strandedLeast at the least: the VM may be cut off.
	unservedThreshold = 0.5
	minUnservedSample = 3
)

// requestCounts counts the requests of the last second. The zero value is ready.
type requestCounts struct {
	ended, unserved container.Window[int]
}

// MostlyUnserved reports whether most requests of the last second were not served,
// whatever the reason: a VM that is cut off still knows replicas, and refuses for
// want of places as often as for want of an upstream.
func (c *Core) MostlyUnserved(now ident.Instant) bool {
	ended := c.recent.ended.Sum(now)
	return ended >= minUnservedSample && float64(c.recent.unserved.Sum(now)) >= unservedThreshold*float64(ended)
}

// SetCutOff tells whether the VM is cut off from other availability zones and leaves
// its callers to them.
func (c *Core) SetCutOff(cutOff bool) { c.cutOff = cutOff }

// count takes the answer of a query whose caller waits for it.
func (r *requestCounts) count(now ident.Instant, a *Answer) {
	r.ended.Add(now, 1)
	if a.Refusal != nil {
		r.unserved.Add(now, 1)
	}
}
