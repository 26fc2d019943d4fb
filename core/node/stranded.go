package node

import (
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

const (
	// The VM may be cut off if at least the share unservedThreshold of the requests of the last
	// second, and of at least minUnservedSample requests, was not served.
	unservedThreshold = 0.5
	minUnservedSample = 3
)

// requestCounts counts the requests of the last second. The zero value is ready.
type requestCounts struct {
	ended, unserved container.Window[int]
}

// MostlyUnserved reports whether most requests of the last second were not served, for any
// reason: a VM that is cut off still lists replicas, and refuses for lack of free slots as
// often as for lack of an upstream.
func (c *Core) MostlyUnserved(now ident.Instant) bool {
	ended := c.recent.ended.Sum(now)
	return ended >= minUnservedSample && float64(c.recent.unserved.Sum(now)) >= unservedThreshold*float64(ended)
}

// MostlyServed reports whether enough requests ended in the last second, and most of them
// were served.
func (c *Core) MostlyServed(now ident.Instant) bool {
	return c.recent.ended.Sum(now) >= minUnservedSample && !c.MostlyUnserved(now)
}

// SetCutOff sets whether the VM is cut off from other availability zones and directs its
// callers to VMs there.
func (c *Core) SetCutOff(cutOff bool) { c.cutOff = cutOff }

// count records the answer of a query whose caller is still connected.
func (r *requestCounts) count(now ident.Instant, a *Answer) {
	r.ended.Add(now, 1)
	if a.Refusal != nil {
		r.unserved.Add(now, 1)
	}
}
