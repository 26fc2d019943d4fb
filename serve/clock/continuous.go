package clock

import (
	"sync"
	"time"
)

// minSuspension is the least advance of the wall clock beyond the monotonic one that is
// counted as a suspension of the machine.
const minSuspension = 100 * time.Millisecond

// A Continuous clock includes the time in which the machine was suspended, which the
// monotonic clock may leave out. A step of the wall clock forwards counts as a suspension
// too; one backwards has no effect. Its times never decrease and are to be compared with
// each other only. The zero value is ready to use. Its methods may be called from several
// goroutines.
type Continuous struct {
	mu sync.Mutex
	// start is the time of the first call; zero before it.
	start time.Time
	// skew is the advance of the wall clock beyond the monotonic one at the last call.
	skew time.Duration
	// suspended is the total of all suspensions. It never decreases.
	suspended time.Duration
}

// Now returns the current time.
func (c *Continuous) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.start.IsZero() {
		c.start = now
	}
	elapsed := now.Sub(c.start)
	return c.advance(elapsed, now.Round(0).Sub(c.start.Round(0)))
}

// advance returns the time after the monotonic and the wall clock have advanced since the
// start by the given times.
func (c *Continuous) advance(elapsed, wall time.Duration) time.Time {
	if suspension := wall - elapsed - c.skew; suspension >= minSuspension {
		c.suspended += suspension
	}
	c.skew = wall - elapsed
	return c.start.Add(elapsed + c.suspended)
}
