package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/snapshot"
)

// TestRampSharesSumToTheTotal checks that the VMs' shares of a cold replica's
// concurrency sum to the total, for any number of VMs.
func TestRampSharesSumToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 60).Draw(t, "VMs")
		total := rapid.IntRange(0, 100).Draw(t, "stage")
		sum := 0
		for rank := range vms {
			sum += replica.Shares{VMs: vms, Rank: rank}.RampShare(total)
		}
		if sum != total {
			t.Fatalf("the shares sum to %d, expected %d", sum, total)
		}
	})
}

// TestConnectionSharesFit checks that the shares of all VMs and of one VM more,
// which is being replaced, stay within the replica's connections, provided that it
// has at least one for each.
func TestConnectionSharesFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 30).Draw(t, "VMs")
		connections := rapid.IntRange(vms+1, 200).Draw(t, "connections")
		share := replica.Shares{VMs: vms, Connections: connections}.ConnectionShare()
		if share*(vms+1) > connections || share < 1 {
			t.Fatalf("%d VMs and one more hold %d each of %d", vms, share, connections)
		}
	})
}

func newShard(n int) *replica.Shard {
	s := &replica.Shard{}
	for i := range n {
		s.Replicas = append(s.Replicas, &replica.State{
			ID:     ident.ReplicaID(rune('a' + i)),
			Shares: replica.Shares{Slots: 4, Connections: 35, VMs: 1, RampStep: 100 * time.Millisecond},
		})
	}
	return s
}

// TestLastUsableReplicaIsNeverEjected checks that no sequence of replies ejects the
// last usable replica of a shard, or more than half of the replicas, rounded up.
func TestLastUsableReplicaIsNeverEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "replicas")
		shard := newShard(n)
		now := ident.Instant(time.Hour)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			r := shard.Replicas[rapid.IntRange(0, n-1).Draw(t, "replica")]
			usable := countUsable(shard, now)
			may := shard.MayEject(now, r)
			r.Observe(now, replica.Sample{
				Outcome: replica.OK, Took: time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond,
				SlowThreshold: 40 * time.Millisecond, Base: 20 * time.Millisecond, MayEject: may,
			})
			if usable > 0 && countUsable(shard, now) == 0 {
				t.Fatal("the last usable replica was ejected")
			}
			ejected := 0
			for _, o := range shard.Replicas {
				if o.Condition(now) == replica.Ejected {
					ejected++
				}
			}
			if 2*ejected > n+1 {
				t.Fatalf("%d of %d replicas are ejected", ejected, n)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
		}
	})
}

// countUsable counts the usable replicas without readmitting ejected ones.
func countUsable(s *replica.Shard, now ident.Instant) int {
	n := 0
	for _, r := range s.Replicas {
		if r.Usable(now) {
			n++
		}
	}
	return n
}

// TestEjectedReplicasServeWhenNoOtherCan guards against searches without a part because two
// replicas of a shard were ejected for slow replies when the third one began to leave.
func TestEjectedReplicasServeWhenNoOtherCan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "replicas")
		shard := newShard(n)
		now := ident.Instant(time.Hour)
		ejected := 0
		for _, r := range shard.Replicas {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				r.Observe(now, replica.Sample{
					Outcome: replica.OK, Took: time.Second, SlowThreshold: 40 * time.Millisecond, Base: 20 * time.Millisecond, MayEject: true,
				})
				ejected++
			case 1:
				r.MarkLeaving(now)
			case 2:
				r.Observe(now, replica.Sample{Outcome: replica.Unsent})
			case 3:
				r.Out = true
			case 4:
				r.Hold(now, time.Minute, 0)
			}
		}
		usable := shard.Usable(now)
		if usable != ejected {
			t.Fatalf("%d usable replicas, expected the %d ejected ones", usable, ejected)
		}
		for _, r := range shard.Replicas {
			if r.Usable(now) && !r.CanSend(now) {
				t.Fatalf("a readmitted replica that is %s has no free slot", r.Condition(now))
			}
		}
	})
}

// TestLimitDropsWithinAFewRequests checks that one RefusedCold, or at most six slow
// replies in a row, end the full load on a replica.
func TestLimitDropsWithinAFewRequests(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := newShard(1).Replicas[0]
	r.Observe(now, replica.Sample{Outcome: replica.RefusedCold})
	if got := r.Limit(now); got != 0 {
		t.Fatalf("the limit right after a refusal is %d, expected 0", got)
	}
	if got := r.Limit(now.Add(50 * time.Millisecond)); got != 1 {
		t.Fatalf("the limit when the ramp begins is %d, expected 1", got)
	}
	slow := newShard(1).Replicas[0]
	fast := replica.Sample{Took: 20 * time.Millisecond, SlowThreshold: 40 * time.Millisecond, Base: 20 * time.Millisecond, MayEject: true}
	for range 20 {
		slow.Observe(now, fast)
	}
	late := fast
	late.Took = 400 * time.Millisecond
	const few = 6
	for i := range few {
		slow.Observe(now, late)
		if slow.Condition(now) == replica.Ejected {
			return
		}
		if i == few-1 {
			t.Fatalf("still %s after %d slow replies", slow.Condition(now), few)
		}
	}
}

// TestEjectedIsProbedAgain checks that an ejected replica gets one attempt after its
// interval. A slow reply ejects it for longer; after a fast reply it becomes warm.
func TestEjectedIsProbedAgain(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := newShard(1).Replicas[0]
	late := replica.Sample{Took: 400 * time.Millisecond, SlowThreshold: 40 * time.Millisecond, Base: 20 * time.Millisecond, MayEject: true}
	r.Observe(now, late)
	if r.Condition(now) != replica.Ejected {
		t.Fatalf("the first slow reply of an unknown replica left it %s", r.Condition(now))
	}
	var pauses []time.Duration
	for range 3 {
		began := now
		for r.Condition(now) == replica.Ejected {
			now = now.Add(10 * time.Millisecond)
		}
		pauses = append(pauses, now.Sub(began))
		if r.Condition(now) != replica.Cold || r.Limit(now) != 1 {
			t.Fatalf("after the interval it is %s with limit %d", r.Condition(now), r.Limit(now))
		}
		r.Observe(now, late)
	}
	if pauses[1] < pauses[0]*3/2 || pauses[2] < pauses[1]*3/2 {
		t.Fatalf("the intervals do not grow: %v", pauses)
	}
	for r.Condition(now) == replica.Ejected {
		now = now.Add(10 * time.Millisecond)
	}
	r.Observe(now, replica.Sample{Took: 20 * time.Millisecond, SlowThreshold: 40 * time.Millisecond, Base: 20 * time.Millisecond, MayEject: true})
	if r.Condition(now.Add(time.Second)) != replica.Warm {
		t.Fatalf("a fast reply left it %s", r.Condition(now.Add(time.Second)))
	}
}

// TestLostReplicaStaysLostForItsInterval checks that reports that a replica is cold,
// from other VMs that lost it too, do not end the interval of a loss early.
func TestLostReplicaStaysLostForItsInterval(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := newShard(1).Replicas[0]
	r.Observe(now, replica.Sample{Outcome: replica.Unsent})
	for mark := range uint64(10) {
		r.MarkCold(now, mark+1)
		if got := r.Condition(now); got != replica.Lost {
			t.Fatalf("the replica is %s after a report that it is cold", got)
		}
		now = now.Add(10 * time.Millisecond)
	}
}

// TestLeavingReplicaIsNeverEligible checks that a replica marked as leaving is not
// eligible, whatever outcomes and reports follow.
func TestLeavingReplicaIsNeverEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shard := newShard(2)
		r := shard.Replicas[0]
		now := ident.Instant(time.Hour)
		r.MarkLeaving(now)
		for range rapid.IntRange(1, 50).Draw(t, "samples") {
			r.Observe(now, replica.Sample{Outcome: replica.Outcome(rapid.IntRange(0, 8).Draw(t, "outcome")), Took: time.Millisecond})
			r.MarkCold(now, uint64(rapid.IntRange(0, 3).Draw(t, "mark")))
			in := replica.Selection{Now: now, Shard: shard, Random: rand.New(rand.NewPCG(1, 1)), Overcommit: 1}
			if in.Eligible(r) {
				t.Fatal("a leaving replica is eligible")
			}
		}
	})
}

// TestChoicePrefersTheLocalZone checks that TwoChoices picks the replica in the
// VM's zone, another one when that is loaded, and only replicas with the snapshot.
func TestChoicePrefersTheLocalZone(t *testing.T) {
	now := ident.Instant(time.Hour)
	shard := newShard(3)
	shard.Replicas[1].Local = true
	for _, r := range shard.Replicas {
		for range 10 {
			r.Observe(now, replica.Sample{Took: 20 * time.Millisecond})
		}
	}
	in := replica.Selection{Now: now, Shard: shard, Random: rand.New(rand.NewPCG(1, 1))}
	if got := (replica.TwoChoices{}).Decide(&in); got != shard.Replicas[1] {
		t.Fatalf("chose %s", got.ID)
	}
	shard.Replicas[1].InFlight = 3
	if got := (replica.TwoChoices{}).Decide(&in); got == shard.Replicas[1] {
		t.Fatal("chose the loaded local replica")
	}
	shard.Replicas[0].Held = snapshot.Range{Oldest: 1, Newest: 2}
	shard.Replicas[2].Held = snapshot.Range{Oldest: 1, Newest: 2}
	in.Snapshot = 3
	if got := (replica.TwoChoices{}).Decide(&in); got != shard.Replicas[1] {
		t.Fatal("chose a replica without the snapshot")
	}
}

// TestEjectionRequiresAnotherReplicaWithCapacity checks that a replica is not ejected
// while each of the others is lost or in a ramp whose share for this VM is still 0.
// Otherwise, when one replica restarts while load makes the others slow, all
// requests of the VM are queued until their deadlines.
func TestEjectionRequiresAnotherReplicaWithCapacity(t *testing.T) {
	shares := replica.Shares{Slots: 4, Connections: 35, VMs: 3, Rank: 2, RampStep: 500 * time.Millisecond}
	now := ident.Instant(time.Hour)
	cold := &replica.State{ID: "a", Shares: shares}
	cold.BeginRamp(now)
	lost := &replica.State{ID: "b", Shares: shares}
	lost.Observe(now, replica.Sample{Outcome: replica.Unsent})
	warm := &replica.State{ID: "c", Shares: shares}
	sh := &replica.Shard{Replicas: []*replica.State{cold, lost, warm}}
	if cold.Limit(now) != 0 {
		t.Fatal("the limit of the VM of the last rank is above 0 at the start of the ramp")
	}
	if sh.MayEject(now, warm) {
		t.Fatal("the only replica with capacity may be ejected")
	}
	if later := now.Add(2 * time.Second); !sh.MayEject(later, warm) {
		t.Fatal("a slow replica may not be ejected although another has capacity")
	}
}

// TestRandomShedsKeepMinInFlight checks that the limit of a replica that refuses
// requests at random, with free slots, does not fall below MinInFlight. With a limit
// of 1 for each such replica, searches were queued in the VM until they were late.
func TestRandomShedsKeepMinInFlight(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := &replica.State{ID: "a", Shares: replica.Shares{
		Slots: 4, Connections: 35, VMs: 5, Rank: 4, RampStep: time.Millisecond, MinInFlight: 3,
	}}
	if got := r.Limit(now); got != 3 {
		t.Fatalf("the first limit is %d, expected 3", got)
	}
	for range 50 {
		r.Observe(now, replica.Sample{Outcome: replica.Shed})
	}
	if got := r.Limit(now); got != 3 {
		t.Fatalf("the limit after refusals is %d, expected 3", got)
	}
}
