package catalogue_test

import (
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/retry"
	"carawaycross.example/carawaycross/core/view"
)

const start = ident.Instant(time.Hour)

func replicas(b *catalogue.Catalogue) []ident.ReplicaID {
	var v view.View
	b.AddTo(&v, retry.QuotaLimits{}, func(ident.ReplicaID) int { return 0 })
	var out []ident.ReplicaID
	for _, s := range v.Services {
		for _, r := range s.Replicas {
			out = append(out, r.ID)
		}
	}
	return out
}

func one(id ident.ReplicaID) catalogue.Replica {
	return catalogue.Replica{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 4}
}

func ended(b *catalogue.Catalogue, now ident.Instant, id ident.ReplicaID) {
	b.Apply(now, []catalogue.Change{{Replica: catalogue.Replica{ID: id}, Deleted: true}})
}

// TestEndedAndBackInOneBatch: after an outage the store tells in one batch that
// every entry lapsed and that each is back; none of them is lost.
func TestEndedAndBackInOneBatch(t *testing.T) {
	var b catalogue.Catalogue
	b.List(start, []catalogue.Replica{one("a"), one("b")})
	b.MarkUnavailable()
	now := start.Add(5 * time.Second)
	b.Apply(now, []catalogue.Change{
		{Replica: one("a"), Deleted: true}, {Replica: one("b"), Deleted: true}, {Replica: one("a")}, {Replica: one("b")},
	})
	b.Expire(now.Add(time.Minute))
	if got := replicas(&b); len(got) != 2 {
		t.Fatalf("%v are left", got)
	}
}

// TestLapsedWhileTheStoreWasAway: an entry that lapsed during an outage is kept
// until two and a half seconds after the return, and dropped if still missing.
func TestLapsedWhileTheStoreWasAway(t *testing.T) {
	for _, listed := range []bool{true, false} {
		var b catalogue.Catalogue
		b.List(start, []catalogue.Replica{one("a"), one("b")})
		b.MarkUnavailable()
		now := start.Add(5 * time.Second)
		if listed {
			b.List(now, []catalogue.Replica{one("a")})
		} else {
			ended(&b, now, "b")
		}
		if got := replicas(&b); len(got) != 2 {
			t.Fatalf("listed %v: %v right after the return", listed, got)
		}
		now = now.Add(3 * time.Second)
		if !b.Expire(now) || len(replicas(&b)) != 1 {
			t.Fatalf("listed %v: %v three seconds after the return", listed, replicas(&b))
		}
	}
}

func TestLapsedEntryThatComesBackStays(t *testing.T) {
	var b catalogue.Catalogue
	b.List(start, []catalogue.Replica{one("a")})
	b.MarkUnavailable()
	b.List(start.Add(time.Second), nil)
	b.Apply(start.Add(2*time.Second), []catalogue.Change{{Replica: one("a")}})
	b.Expire(start.Add(time.Minute))
	if len(replicas(&b)) != 1 {
		t.Fatal("the entry that came back was dropped")
	}
}

func TestRemovedWhileTheStoreServesIsGoneAtOnce(t *testing.T) {
	var b catalogue.Catalogue
	b.List(start, []catalogue.Replica{one("a"), one("b")})
	ended(&b, start.Add(time.Second), "a")
	b.List(start.Add(2*time.Second), nil)
	if got := replicas(&b); len(got) != 0 {
		t.Fatalf("%v are still there", got)
	}
}

// TestLeavingIsNotHeld: a replica that said it leaves is not kept for a lapsed
// entry.
func TestLeavingIsNotHeld(t *testing.T) {
	var b catalogue.Catalogue
	r := one("a")
	r.Leaving = true
	b.List(start, []catalogue.Replica{r})
	b.MarkUnavailable()
	ended(&b, start.Add(time.Second), "a")
	if len(replicas(&b)) != 0 {
		t.Fatal("a leaving replica was held")
	}
}

func TestVersionNeverFalls(t *testing.T) {
	var b catalogue.Catalogue
	for _, c := range []struct {
		version ident.RoutesVersion
		newer   bool
	}{{7, true}, {5, false}, {7, false}, {9, true}} {
		if b.Configure(catalogue.Configuration{Version: c.version}) != c.newer {
			t.Fatalf("version %d: newer is not %v", c.version, c.newer)
		}
	}
	if b.Version() != 9 {
		t.Fatalf("version is %d", b.Version())
	}
}

func TestZonesOut(t *testing.T) {
	var b catalogue.Catalogue
	r := one("a")
	r.Zone = "baden"
	b.List(start, []catalogue.Replica{r})
	b.SetZonesOut([]ident.ZoneID{"baden"})
	var v view.View
	b.AddTo(&v, retry.QuotaLimits{}, func(ident.ReplicaID) int { return 0 })
	if !v.Services[0].Replicas[0].Out {
		t.Fatal("a replica of a zone that is out is not out")
	}
}
