package clock

import (
	"testing"
	"time"
)

// TestContinuousCountsSuspensions guards against objects that look fresh to a VM that stood
// still: the monotonic clock leaves out the time in which the machine was suspended.
func TestContinuousCountsSuspensions(t *testing.T) {
	var c Continuous
	c.start = time.Unix(1000, 0)
	for _, step := range []struct {
		name                string
		elapsed, wall, want time.Duration
	}{
		{"both clocks advance", time.Second, time.Second, time.Second},
		{"the machine is suspended for 5 s", 2 * time.Second, 7 * time.Second, 7 * time.Second},
		{"the wall clock is set back", 3 * time.Second, 2 * time.Second, 8 * time.Second},
		{"both clocks advance after that", 4 * time.Second, 3 * time.Second, 9 * time.Second},
		{"the wall clock drifts", 5 * time.Second, 4*time.Second + minSuspension/2, 10 * time.Second},
	} {
		if got := c.advance(step.elapsed, step.wall).Sub(c.start); got != step.want {
			t.Errorf("%s: got %v, expected %v", step.name, got, step.want)
		}
	}
}
