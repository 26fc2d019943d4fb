package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
)

// TestBudgetBoundsExtraLoad checks, for any order of events, that hedges stay within
// 5% of the first attempts, and that hedges and retries together stay within 10% plus
// MinRetries and those restored at MinRetryRate.
func TestBudgetBoundsExtraLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, faultShare = 0.05, 0.10
		var b retry.Budget
		began := ident.Instant(time.Hour)
		now := began
		firsts, hedges, extra := 0, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				n := rapid.IntRange(1, 40).Draw(t, "firsts")
				for range n {
					b.CountFirst(now, share, faultShare)
				}
				firsts += n
			case 1:
				if b.SpendHedge(now) {
					hedges++
					extra++
				}
			case 2:
				if b.SpendRetry(now) {
					extra++
				}
			default:
				b.CountShed(now)
			}
			if float64(hedges) > share*float64(firsts)+1e-6 {
				t.Fatalf("%d hedges after %d first attempts", hedges, firsts)
			}
			minRetries := retry.MinRetries + float64(retry.MinRetryRate)*now.Sub(began).Seconds()
			if float64(extra) > faultShare*float64(firsts)+minRetries+1e-6 {
				t.Fatalf("%d extra attempts after %d first ones", extra, firsts)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// TestOverloadStopsExtraAttempts checks that no hedge and no retry starts while a
// fifth of the attempts are shed, and that retries start again later.
func TestOverloadStopsExtraAttempts(t *testing.T) {
	var b retry.Budget
	now := ident.Instant(time.Hour)
	for range 1000 {
		b.CountFirst(now, 0.05, 0.10)
	}
	if !b.SpendHedge(now) || !b.SpendRetry(now) {
		t.Fatal("no extra attempt although none was shed")
	}
	for range 200 {
		b.CountShed(now)
	}
	if b.SpendHedge(now) || b.SpendRetry(now) {
		t.Fatal("an extra attempt although a fifth was shed")
	}
	if b.SpendRetry(now.Add(10 * time.Second)) {
		return
	}
	t.Fatal("no retry long after the overload")
}

func TestQuantilesFollowRecentLatencies(t *testing.T) {
	var l retry.Latency
	now := ident.Instant(time.Hour)
	if l.Quantile(now, 0.95) != 0 {
		t.Fatal("a quantile without samples")
	}
	feed := func(ms int) {
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			l.Record(now, time.Duration(ms)*time.Millisecond)
		}
	}
	feed(20)
	if got := l.Quantile(now, 0.95); got < 19*time.Millisecond || got > 21*time.Millisecond {
		t.Fatalf("the quantile of 20 ms is %v", got)
	}
	feed(80)
	if got := l.Quantile(now, 0.95); got < 78*time.Millisecond {
		t.Fatalf("the quantile is %v after 20 s of 80 ms", got)
	}
	if got := l.Base(now); got > 30*time.Millisecond {
		t.Fatalf("the base is %v after 20 s of queueing", got)
	}
}
