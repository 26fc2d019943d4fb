package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
)

// TestQuotasStayWithinTheLimits checks that no window of the span holds more extra
// attempts than the ratio of the first ones plus the allowance, whatever the VMs
// spend and whichever of them restart, how often ever. The limits are reached when all replicas of
// a shard slow down at once and each VM tries to hedge every attempt.
func TestQuotasStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := retry.QuotaLimits{Ratio: 0.2, Allowance: 52, Span: 10 * time.Second}
		vms := rapid.IntRange(1, 8).Draw(t, "VMs")
		quotas := make([]retry.Quota, vms)
		for i := range quotas {
			quotas[i].SetLimits(limits, vms)
		}
		type step struct {
			at            ident.Instant
			firsts, extra int
		}
		var steps []step
		now := ident.Instant(time.Hour)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			s := step{at: now}
			q := &quotas[rapid.IntRange(0, vms-1).Draw(t, "VM")]
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				// The VM restarts and loses its counts.
				*q = retry.Quota{}
				q.SetLimits(limits, vms)
				q.Withhold(now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "firsts") {
				q.CountFirst(now)
				s.firsts++
			}
			for range rapid.IntRange(0, 40).Draw(t, "wanted") {
				if q.Spend(now, rapid.Bool().Draw(t, "hedge")) {
					s.extra++
				}
			}
			steps = append(steps, s)
		}
		count := func(from, to ident.Instant) (firsts, extra int) {
			for _, m := range steps {
				if m.at > from && m.at <= to {
					firsts += m.firsts
					extra += m.extra
				}
			}
			return firsts, extra
		}
		for _, m := range steps {
			end := m.at
			start := end.Add(-limits.Span)
			firsts, extra := count(start, end)
			before, _ := count(start.Add(-limits.Span), start)
			half, _ := count(start.Add(-limits.Span/2), end.Add(-limits.Span/2))
			maxExtra := float64(limits.Ratio)*float64(max(firsts, before, half)) + float64(limits.Allowance)
			if float64(extra) > maxExtra {
				t.Fatalf("%d extra attempts in a window, allowed %.1f", extra, maxExtra)
			}
		}
	})
}

func TestHedgesLeaveRoomForRetries(t *testing.T) {
	var q retry.Quota
	q.SetLimits(retry.QuotaLimits{Ratio: 0.2, Allowance: 10, Span: 10 * time.Second}, 1)
	now := ident.Instant(time.Hour)
	for range 500 {
		q.CountFirst(now)
	}
	hedges := 0
	for q.Spend(now, true) {
		hedges++
	}
	if hedges == 0 || !q.Spend(now, false) {
		t.Fatalf("no hedge, or no retry after %d hedges", hedges)
	}
}

func TestQuotaWithoutLimitsRefuses(t *testing.T) {
	var q retry.Quota
	if q.CountFirst(1); q.Spend(1, false) {
		t.Fatal("a quota without limits allowed an attempt")
	}
}

// TestLostAttemptsEarnTheirRetries checks that each attempt whose upstream was lost
// allows one retry, without new first attempts. Otherwise searches that lose an
// upstream at the same time all wait for retries that the budget does not allow.
func TestLostAttemptsEarnTheirRetries(t *testing.T) {
	var b retry.Budget
	now := ident.Instant(time.Hour)
	b.CountFirst(now, 0.05, 0.10)
	for b.SpendRetry(now) {
	}
	const lost = 8
	for range lost {
		b.CountLost()
	}
	for i := range lost {
		if !b.SpendRetry(now) {
			t.Fatalf("no retry for lost attempt %d of %d", i+1, lost)
		}
	}
	if b.SpendRetry(now) {
		t.Fatal("more retries than lost attempts")
	}
	b.CountLost()
	if b.SpendHedge(now) {
		t.Fatal("a hedge spent the retry of a lost attempt")
	}
}

// TestSmallShareIsUsedForHedges answers a deployment of 140 VMs, of which each has a share of
// two and a half extra attempts at a shard: two hedges fit, and no retry is left out for a
// reserve of less than one attempt.
func TestSmallShareIsUsedForHedges(t *testing.T) {
	var q retry.Quota
	q.SetLimits(retry.QuotaLimits{Allowance: 344, Span: 10 * time.Second}, 140)
	now := ident.Instant(time.Hour)
	hedges := 0
	for q.Spend(now, true) {
		hedges++
	}
	if hedges != 2 {
		t.Errorf("%d hedges, expected 2", hedges)
	}
}
