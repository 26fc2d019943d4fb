// Package clock gives decision code its time: wall clock nanoseconds at start,
// advanced by the monotonic clock, so that it never steps back.
package clock

import (
	"context"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A Clock tells the time. The zero value is not usable; see New.
type Clock struct {
	start time.Time
}

// New returns a Clock that starts at the wall clock's time.
func New() Clock { return Clock{time.Now()} }

// Now returns the current instant.
func (c Clock) Now() ident.Instant {
	return ident.FromTime(c.start).Add(time.Since(c.start))
}

// Until returns the time from now to t; at least 0 and at most an hour.
func (c Clock) Until(t ident.Instant) time.Duration {
	if t == ident.Never {
		return time.Hour
	}
	return min(max(t.Sub(c.Now()), 0), time.Hour)
}

// Sleep waits for d and reports whether it passed before the context was done.
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
