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

// TestShareIsTheWaterLevel raises the level in small steps until the capacity is used.
func TestShareIsTheWaterLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 40), 0, 8).Draw(t, "demands")
		level, used := 0.0, 0.0
		for ; used < capacity; level += 0.01 {
			used = level
			for _, d := range demands {
				used += min(level, d)
			}
		}
		if got := fairness.Share(capacity, demands); math.Abs(got-level) > 0.03 {
			t.Fatalf("share %.3f, expected %.3f", got, level)
		}
	})
}

const now = ident.Instant(time.Hour)

// TestPlacesUnderFlood answers a tenant that wants every place: alone it gets all of them;
// others find room for their part of the reserve, until they are forgotten.
func TestPlacesUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, modest := rapid.IntRange(8, 400).Draw(t, "capacity"), rapid.IntRange(0, 4).Draw(t, "modest tenants")
		var p fairness.Places[int]
		at, total := now, 0
		take := func(tenant int) bool {
			if _, over := p.Over(at, tenant, capacity); over || total == capacity {
				return false
			}
			p.Take(tenant)
			total++
			return true
		}
		for tenant := range modest + 1 {
			p.See(at, tenant)
		}
		for take(0) {
		}
		if want := capacity * 3 / 4; modest > 0 && total != want || modest == 0 && total != capacity {
			t.Fatalf("the flood got %d of %d places beside %d tenants", total, capacity, modest)
		}
		for tenant := 1; tenant <= modest; tenant++ {
			for range capacity / 4 / modest {
				if !take(tenant) {
					t.Fatalf("tenant %d is refused with %d places of %d held", tenant, p.Held(tenant), capacity)
				}
			}
			for p.Held(tenant) > 0 {
				p.Release(tenant)
				total--
			}
		}
		at = at.Add(time.Minute)
		p.See(at, 0)
		for take(0) {
		}
		if total != capacity {
			t.Fatalf("the flood got %d of %d places a minute after the others left", total, capacity)
		}
	})
}

// TestExtrasUnderFlood answers a tenant whose attempts all fail: it spends what the others
// leave of the allowed extra attempts, but not the reserve.
func TestExtrasUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const allowed, span = 100, 10 * time.Second
		var e fairness.Extras[string]
		others := rapid.IntRange(0, 20).Draw(t, "others")
		e.Count(now, "a", span, others)
		spent := 0
		for ; !e.Over(now, "flood", allowed); spent++ {
			e.Count(now, "flood", span, 1)
		}
		if want := 75 - others; spent != want {
			t.Fatalf("the flood spent %d, expected %d", spent, want)
		}
		if e.Over(now, "a", allowed) || e.Over(now, "b", allowed) {
			t.Fatal("a modest tenant gets no extra attempt")
		}
		e.Count(now, "flood", span, -1)
		if e.Over(now, "flood", allowed) || e.Over(now.Add(2*span), "b", 2) {
			t.Fatal("refunded attempts, or those before the window, count")
		}
	})
}
