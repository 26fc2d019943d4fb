package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/admission"
)

// TestRequestAtAFreeSlotIsAdmitted guards against requests that were refused while nothing
// was in flight, because their work takes over two fifths of their deadline.
func TestRequestAtAFreeSlotIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 5).Draw(t, "ranks")
		r := admission.Request{
			Rank: rapid.IntRange(0, ranks-1).Draw(t, "rank"), Ranks: ranks, MaxInFlight: 100,
			AttemptLatency: time.Duration(rapid.IntRange(0, 4000).Draw(t, "latency")) * time.Millisecond, Left: 4 * time.Second,
		}
		if got := (admission.ByClass{}).Decide(r); got != admission.Admitted {
			t.Fatalf("refused with %q without a wait: %v of %v", got, r.AttemptLatency, r.Left)
		}
		r.Wait = r.Left - r.AttemptLatency + 1
		if got := (admission.ByClass{}).Decide(r); got != admission.CannotMeetDeadline {
			t.Fatalf("got %q for a wait of %v, then %v; %v left", got, r.Wait, r.AttemptLatency, r.Left)
		}
	})
}
