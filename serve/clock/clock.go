// Package clock provides the time for the decision code: the wall clock time at the
// start, advanced by the monotonic clock, so that the time never decreases.
package clock

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Clock returns the current time as an ident.Instant. Use New to create one.
type Clock struct {
	start time.Time
}

// New returns a Clock that starts at the current wall clock time.
func New() Clock { return Clock{time.Now()} }

// Now returns the current instant.
func (c Clock) Now() ident.Instant {
	return ident.FromTime(c.start).Add(time.Since(c.start))
}

// Skew returns by how much the wall clock has advanced more than the monotonic clock. It
// changes when the wall clock is set or the machine was suspended.
func (c Clock) Skew() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(c.start.Round(0)) - now.Sub(c.start)
}

// Until returns the time from now to t, limited to the range from 0 to one hour.
func (c Clock) Until(t ident.Instant) time.Duration {
	if t == ident.Never {
		return time.Hour
	}
	return min(max(t.Sub(c.Now()), 0), time.Hour)
}

// Sleep waits for d. It returns false if the context is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
