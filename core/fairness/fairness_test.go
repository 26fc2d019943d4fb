package fairness_test

import (
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/fairness"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

// level raises the water level in small steps until the capacity is used: the level is the
// share of a claimant of unlimited demand.
func level(capacity float64, demands []float64) float64 {
	const step = 0.01
	for at := 0.0; ; at += step {
		used := at
		for _, d := range demands {
			used += min(at, d)
		}
		if used >= capacity {
			return at
		}
	}
}

func TestShareIsTheWaterLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 40), 0, 8).Draw(t, "demands")
		want := level(capacity, demands)
		if got := fairness.Share(capacity, demands); math.Abs(got-want) > 0.02 {
			t.Fatalf("share %.3f, expected %.3f", got, want)
		}
	})
}

const now = ident.Instant(time.Hour)

// TestPlacesUnderFlood answers a tenant that wants every place: others always find room
// for their share, and without others it gets all places.
func TestPlacesUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(8, 400).Draw(t, "capacity")
		modest := rapid.IntRange(0, 4).Draw(t, "modest tenants")
		var p fairness.Places[int]
		for tenant := range modest + 1 {
			p.See(now, tenant)
		}
		total := 0
		take := func(tenant int) bool {
			if _, over := p.Over(now, tenant, capacity); over || total == capacity {
				return false
			}
			p.Take(tenant)
			total++
			return true
		}
		for take(0) {
		}
		if modest == 0 {
			if total != capacity {
				t.Fatalf("a tenant alone got %d of %d places", total, capacity)
			}
			return
		}
		for tenant := 1; tenant <= modest; tenant++ {
			for range int(float64(fairness.Reserve)*float64(capacity)) / modest {
				if !take(tenant) {
					t.Fatalf("tenant %d is refused with %d places of %d held", tenant, p.Held(tenant), capacity)
				}
			}
		}
		if take(0) {
			t.Fatalf("the flood got one more place, with %d held", p.Held(0))
		}
	})
}

func TestTenantsWithoutPlacesAreForgotten(t *testing.T) {
	var p fairness.Places[int]
	p.See(now, 1)
	p.Take(1)
	p.See(now, 2)
	p.Release(1)
	if !p.Contended(now, 1) {
		t.Fatal("a tenant that was just seen is not active")
	}
	later := now.Add(time.Minute)
	if p.Contended(later, 1) {
		t.Fatal("a tenant is active after a minute without a request")
	}
	p.See(later, 3)
	if p.Held(1) != 0 || p.Contended(later, 3) {
		t.Fatal("inactive tenants are kept")
	}
}

// TestExtrasUnderFlood answers a tenant whose attempts all fail: it spends no more than
// what the others leave of the allowed extra attempts, and they keep the reserve.
func TestExtrasUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const allowed, span = 100, 10 * time.Second
		var e fairness.Extras[string]
		others := 0
		for _, tenant := range []string{"a", "b"} {
			n := rapid.IntRange(0, 20).Draw(t, tenant)
			others += n
			e.Count(now, tenant, span, n)
		}
		spent := 0
		for !e.Over(now, "flood", allowed) {
			e.Count(now, "flood", span, 1)
			spent++
		}
		if want := 75 - others; spent < want-1 || spent > want {
			t.Fatalf("the flood spent %d, expected %d", spent, want)
		}
		e.Count(now, "flood", span, -1)
		if e.Over(now, "flood", allowed) {
			t.Fatal("an attempt that was refunded counts")
		}
		if e.Over(now, "a", allowed) || e.Over(now, "c", allowed) {
			t.Fatal("a modest tenant gets no extra attempt")
		}
		if e.Over(now.Add(2*span), "flood", allowed) {
			t.Fatal("attempts before the window still count")
		}
	})
}
