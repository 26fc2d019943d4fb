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

const allowed, span = 100, 10 * time.Second

type claim = fairness.Claim[string]

// TestHedgesUnderFlood answers a tenant that wants a hedge for each request: it gets what
// the modest tenant, or its own more urgent class, did not want in the last window.
func TestHedgesUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e fairness.Extras[string]
		e.SetSpan(span)
		spendAll := func(at ident.Instant, c claim) (n int) {
			for ; e.Spent(at) < allowed && !e.OverWanted(at, c, allowed); n++ {
				e.Spend(at, c)
			}
			return n
		}
		flood := claim{"flood", 1, 3}
		modest := rapid.SampledFrom([]claim{{"a", 0, 3}, {"a", 1, 3}, {"flood", 0, 3}}).Draw(t, "modest")
		wanted := rapid.IntRange(0, 24).Draw(t, "wanted by the modest tenant")
		for range wanted {
			e.Want(now, modest)
		}
		if n := spendAll(now, flood); n != allowed-wanted {
			t.Fatalf("the flood spent %d, expected %d", n, allowed-wanted)
		}
		if n := spendAll(now, modest); n != wanted {
			t.Fatalf("the modest tenant spent %d, expected %d", n, wanted)
		}
		if n := spendAll(now.Add(2*span), claim{"flood", 2, 3}); n != allowed {
			t.Fatalf("the flood spent %d after others ceased to want any", n)
		}
	})
}

// TestRetriesUnderFlood answers a tenant whose attempts all fail: it spends what others
// leave of the allowed retries, but not the reserve, and less of them at a lower rank.
func TestRetriesUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e fairness.Extras[string]
		e.SetSpan(span)
		modest, rank := claim{"a", 0, 3}, rapid.IntRange(0, 2).Draw(t, "rank")
		flood := claim{"flood", rank, 3}
		others, spent := rapid.IntRange(0, 20).Draw(t, "others"), 0
		for range others {
			e.Spend(now, modest)
		}
		for ; !e.OverReserve(now, flood, allowed); spent++ {
			e.Spend(now, flood)
		}
		if want := []int{75, 65, 56}[rank] - others; spent != want {
			t.Fatalf("the flood spent %d, expected %d", spent, want)
		}
		if e.OverReserve(now, modest, allowed) || e.OverReserve(now, claim{"b", 2, 3}, allowed) {
			t.Fatal("a modest tenant gets no retry")
		}
		e.Refund(now, flood)
		if e.OverReserve(now, flood, allowed) || e.OverReserve(now.Add(2*span), claim{"b", 0, 3}, 2) {
			t.Fatal("attempts that were refunded, or before the window, count")
		}
	})
}
