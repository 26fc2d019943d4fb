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

func replicaIDs(b *catalogue.Catalogue) []ident.ReplicaID {
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

func newReplica(id ident.ReplicaID) catalogue.Replica {
	return catalogue.Replica{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 4}
}

func deleteReplica(b *catalogue.Catalogue, now ident.Instant, id ident.ReplicaID) {
	b.Apply(now, []catalogue.Change{{Replica: catalogue.Replica{ID: id}, Deleted: true}})
}

// TestDeleteAndPutInOneBatch guards against the loss of replicas after an outage,
// when the store reports in one batch that every entry was deleted and put again.
func TestDeleteAndPutInOneBatch(t *testing.T) {
	var b catalogue.Catalogue
	b.ReplaceAll(start, []catalogue.Replica{newReplica("a"), newReplica("b")})
	b.MarkUnavailable()
	now := start.Add(5 * time.Second)
	b.Apply(now, []catalogue.Change{
		{Replica: newReplica("a"), Deleted: true}, {Replica: newReplica("b"), Deleted: true}, {Replica: newReplica("a")}, {Replica: newReplica("b")},
	})
	b.Expire(now.Add(time.Minute))
	if got := replicaIDs(&b); len(got) != 2 {
		t.Fatalf("replicas after the batch are %v, expected a and b", got)
	}
}

// TestEntryExpiredDuringStoreOutage checks that an entry that expired during an
// outage is kept for two and a half seconds after the store is available again,
// and then removed if it is still missing.
func TestEntryExpiredDuringStoreOutage(t *testing.T) {
	for _, listed := range []bool{true, false} {
		var b catalogue.Catalogue
		b.ReplaceAll(start, []catalogue.Replica{newReplica("a"), newReplica("b")})
		b.MarkUnavailable()
		now := start.Add(5 * time.Second)
		if listed {
			b.ReplaceAll(now, []catalogue.Replica{newReplica("a")})
		} else {
			deleteReplica(&b, now, "b")
		}
		if got := replicaIDs(&b); len(got) != 2 {
			t.Fatalf("listed %v: replicas are %v right after the outage", listed, got)
		}
		now = now.Add(3 * time.Second)
		if !b.Expire(now) || len(replicaIDs(&b)) != 1 {
			t.Fatalf("listed %v: replicas are %v three seconds after the outage", listed, replicaIDs(&b))
		}
	}
}

func TestExpiredEntryThatReturnsIsKept(t *testing.T) {
	var b catalogue.Catalogue
	b.ReplaceAll(start, []catalogue.Replica{newReplica("a")})
	b.MarkUnavailable()
	b.ReplaceAll(start.Add(time.Second), nil)
	b.Apply(start.Add(2*time.Second), []catalogue.Change{{Replica: newReplica("a")}})
	b.Expire(start.Add(time.Minute))
	if len(replicaIDs(&b)) != 1 {
		t.Fatal("an entry that was put again was removed")
	}
}

func TestDeletionWithoutOutageIsImmediate(t *testing.T) {
	var b catalogue.Catalogue
	b.ReplaceAll(start, []catalogue.Replica{newReplica("a"), newReplica("b")})
	deleteReplica(&b, start.Add(time.Second), "a")
	b.ReplaceAll(start.Add(2*time.Second), nil)
	if got := replicaIDs(&b); len(got) != 0 {
		t.Fatalf("replicas are %v, expected none", got)
	}
}

// TestLeavingReplicaIsNotRetained checks that the entry of a leaving replica is
// removed immediately when it expires during an outage.
func TestLeavingReplicaIsNotRetained(t *testing.T) {
	var b catalogue.Catalogue
	r := newReplica("a")
	r.Leaving = true
	b.ReplaceAll(start, []catalogue.Replica{r})
	b.MarkUnavailable()
	deleteReplica(&b, start.Add(time.Second), "a")
	if len(replicaIDs(&b)) != 0 {
		t.Fatal("a leaving replica was retained")
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	var b catalogue.Catalogue
	for _, c := range []struct {
		version ident.RoutesVersion
		newer   bool
	}{{7, true}, {5, false}, {7, false}, {9, true}} {
		if b.Configure(catalogue.Configuration{Version: c.version}) != c.newer {
			t.Fatalf("version %d: Configure did not return %v", c.version, c.newer)
		}
	}
	if b.Version() != 9 {
		t.Fatalf("version is %d, expected 9", b.Version())
	}
}

func TestZonesOut(t *testing.T) {
	var b catalogue.Catalogue
	r := newReplica("a")
	r.Zone = "baden"
	b.ReplaceAll(start, []catalogue.Replica{r})
	b.SetZonesOut([]ident.ZoneID{"baden"})
	var v view.View
	b.AddTo(&v, retry.QuotaLimits{}, func(ident.ReplicaID) int { return 0 })
	if !v.Services[0].Replicas[0].Out {
		t.Fatal("a replica in a zone that is out of service is not out of service")
	}
}
