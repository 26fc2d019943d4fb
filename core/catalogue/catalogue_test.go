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

func replicaIDs(c *catalogue.Catalogue) []ident.ReplicaID {
	var v view.View
	c.AddTo(&v, retry.QuotaLimits{}, func(ident.ReplicaID) int { return 0 })
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

func deleteReplica(c *catalogue.Catalogue, now ident.Instant, id ident.ReplicaID) {
	c.Apply(now, []catalogue.Change{{Replica: catalogue.Replica{ID: id}, Deleted: true}})
}

// TestDeleteAndPutInOneBatch guards against the loss of replicas after an outage,
// when the store reports in one batch that every entry was deleted and put again.
func TestDeleteAndPutInOneBatch(t *testing.T) {
	var c catalogue.Catalogue
	c.ReplaceAll(start, []catalogue.Replica{newReplica("a"), newReplica("b")})
	c.MarkUnavailable()
	now := start.Add(5 * time.Second)
	c.Apply(now, []catalogue.Change{
		{Replica: newReplica("a"), Deleted: true}, {Replica: newReplica("b"), Deleted: true}, {Replica: newReplica("a")}, {Replica: newReplica("b")},
	})
	c.Expire(now.Add(time.Minute))
	if got := replicaIDs(&c); len(got) != 2 {
		t.Fatalf("replicas after the batch are %v, expected a and b", got)
	}
}

// TestEntryExpiredDuringStoreOutage checks that an entry that expired during an
// outage is kept for two and a half seconds after the store is available again,
// and then removed if it is still missing.
func TestEntryExpiredDuringStoreOutage(t *testing.T) {
	for _, listed := range []bool{true, false} {
		var c catalogue.Catalogue
		c.ReplaceAll(start, []catalogue.Replica{newReplica("a"), newReplica("b")})
		c.MarkUnavailable()
		now := start.Add(5 * time.Second)
		if listed {
			c.ReplaceAll(now, []catalogue.Replica{newReplica("a")})
		} else {
			deleteReplica(&c, now, "b")
		}
		if got := replicaIDs(&c); len(got) != 2 {
			t.Fatalf("listed %v: replicas are %v right after the outage", listed, got)
		}
		now = now.Add(3 * time.Second)
		if !c.Expire(now) || len(replicaIDs(&c)) != 1 {
			t.Fatalf("listed %v: replicas are %v three seconds after the outage", listed, replicaIDs(&c))
		}
	}
}

func TestExpiredEntryThatReturnsIsKept(t *testing.T) {
	var c catalogue.Catalogue
	c.ReplaceAll(start, []catalogue.Replica{newReplica("a")})
	c.MarkUnavailable()
	c.ReplaceAll(start.Add(time.Second), nil)
	c.Apply(start.Add(2*time.Second), []catalogue.Change{{Replica: newReplica("a")}})
	c.Expire(start.Add(time.Minute))
	if len(replicaIDs(&c)) != 1 {
		t.Fatal("an entry that was put again was removed")
	}
}

func TestDeletionWithoutOutageIsImmediate(t *testing.T) {
	var c catalogue.Catalogue
	c.ReplaceAll(start, []catalogue.Replica{newReplica("a"), newReplica("b")})
	deleteReplica(&c, start.Add(time.Second), "a")
	c.ReplaceAll(start.Add(2*time.Second), nil)
	if got := replicaIDs(&c); len(got) != 0 {
		t.Fatalf("replicas are %v, expected none", got)
	}
}

// TestLeavingReplicaIsNotRetained checks that the entry of a leaving replica is
// removed immediately when it expires during an outage.
func TestLeavingReplicaIsNotRetained(t *testing.T) {
	var c catalogue.Catalogue
	r := newReplica("a")
	r.Leaving = true
	c.ReplaceAll(start, []catalogue.Replica{r})
	c.MarkUnavailable()
	deleteReplica(&c, start.Add(time.Second), "a")
	if len(replicaIDs(&c)) != 0 {
		t.Fatal("a leaving replica was retained")
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	var c catalogue.Catalogue
	for _, step := range []struct {
		version ident.RoutesVersion
		newer   bool
	}{{7, true}, {5, false}, {7, false}, {9, true}} {
		if c.Configure(catalogue.Configuration{Version: step.version}) != step.newer {
			t.Fatalf("version %d: Configure did not return %v", step.version, step.newer)
		}
	}
	if c.Version() != 9 {
		t.Fatalf("version is %d, expected 9", c.Version())
	}
}

// TestEntriesLostWithTheStoreAreKept guards against requests to a zone that is out of
// service, and against replicas that get none, because the store came back from a copy that
// lacks their entries: they are written again within a moment.
func TestEntriesLostWithTheStoreAreKept(t *testing.T) {
	var c catalogue.Catalogue
	const began = ident.Instant(1000 * time.Second)
	c.ReplaceAll(began, []catalogue.Replica{newReplica("a")})
	c.SetZonesOut(began, []ident.ZoneID{"baden"})
	c.MarkRestored(began)
	c.ReplaceAll(began, nil)
	c.SetZonesOut(began, nil)
	if got := c.ZonesOut(); len(got) != 1 || len(replicaIDs(&c)) != 1 {
		t.Fatalf("zones %v and replicas %v right after the store came back, expected one each", got, replicaIDs(&c))
	}
	ended := c.Next()
	if ended > began.Add(3*time.Second) {
		t.Fatalf("entries are kept until %v after the store came back", ended.Sub(began))
	}
	if !c.Expire(ended) || len(c.ZonesOut()) != 0 || len(replicaIDs(&c)) != 0 {
		t.Fatalf("zones %v and replicas %v after the grace period, expected none", c.ZonesOut(), replicaIDs(&c))
	}
}

func TestZonesOut(t *testing.T) {
	var c catalogue.Catalogue
	r := newReplica("a")
	r.Zone = "baden"
	c.ReplaceAll(start, []catalogue.Replica{r})
	c.SetZonesOut(0, []ident.ZoneID{"baden"})
	var v view.View
	c.AddTo(&v, retry.QuotaLimits{}, func(ident.ReplicaID) int { return 0 })
	if !v.Services[0].Replicas[0].Out {
		t.Fatal("a replica in a zone that is out of service is not out of service")
	}
}
