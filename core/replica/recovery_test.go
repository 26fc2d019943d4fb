package replica_test

import (
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// result passes the end of an attempt to a replica, as a VM does.
func result(now ident.Instant, r *replica.State, o replica.Outcome) {
	r.RecordResult(now, replica.AttemptResult{Outcome: o, Took: medianLatency, MedianLatency: medianLatency})
	r.Observe(now, replica.Sample{Outcome: o, Took: medianLatency})
}

// TestRecoveredReplicaIsNotIdle checks that a replica that could not be reached is chosen
// before equal ones with a request in flight once some seconds have passed, and right after
// its first reply, and not only when its failures are forgotten. While the others have no
// load, its failures would always count against it.
func TestRecoveredReplicaIsNotIdle(t *testing.T) {
	sh := threeReplicas()
	recovered := sh.Replicas[1]
	for _, r := range sh.Replicas {
		r.Local = true
		r.Shares.Paced = true
	}
	now := ident.Instant(time.Hour)
	for range 3 {
		result(now, recovered, replica.Unsent)
		now = now.Add(time.Second)
	}
	sh.Replicas[0].InFlight, sh.Replicas[2].InFlight = 1, 1
	if soonest(now, sh) == recovered {
		t.Fatal("a replica that could not be reached a second ago is preferred")
	}
	retried := now
	for soonest(retried, sh) != recovered {
		if retried = retried.Add(100 * time.Millisecond); retried > now.Add(10*time.Second) {
			t.Fatal("a replica that could not be reached is not tried again within 10 s")
		}
	}
	result(retried, recovered, replica.OK)
	if soonest(retried, sh) != recovered {
		t.Fatal("a replica that replies again is avoided")
	}
}

// TestHoldEndsInAPace checks that the VMs that a replica refused together send to it one
// after the other when the time for which it asked is over.
func TestHoldEndsInAPace(t *testing.T) {
	const vms = 140
	end := ident.Instant(time.Hour).Add(time.Second)
	sent := 0
	for rank := range vms {
		sh := threeReplicas()
		held := sh.Replicas[0]
		held.Shares.VMs, held.Shares.Rank, held.Shares.Paced = vms, rank, true
		held.Hold(ident.Instant(time.Hour), time.Second, 0)
		in := replica.Selection{Now: end.Add(medianLatency), Shard: sh, MedianLatency: medianLatency}
		if in.Eligible(held) {
			sent++
		}
	}
	if sent > 4 {
		t.Fatalf("%d of %d VMs may send within %v of the end of the hold", sent, vms, medianLatency)
	}
}

// TestReserveReplicaIsBorrowed checks that a VM sends nothing to a reserve replica while
// another one of the shard is sound, whatever its load, and borrows it if the others are
// leaving, overdue, slow, failing or tried.
func TestReserveReplicaIsBorrowed(t *testing.T) {
	start := ident.Instant(time.Hour)
	newShard := func() (*replica.Shard, *replica.State) {
		sh := threeReplicas()
		sh.Replicas[1].Reserve, sh.Replicas[2].Reserve = true, true
		return sh, sh.Replicas[0]
	}
	sh, own := newShard()
	for range 10 {
		if r := soonest(start, sh); r != nil {
			if r.Reserve {
				t.Fatal("a reserve replica gets an attempt while another one is sound")
			}
			r.Sent(start)
		}
	}
	if own.InFlight == 0 {
		t.Fatal("the sound replica gets nothing")
	}
	for name, trouble := range map[string]func(own *replica.State) ident.Instant{
		"leaving": func(own *replica.State) ident.Instant { own.MarkLeaving(start); return start },
		"overdue": func(own *replica.State) ident.Instant {
			own.Sent(start)
			return start.Add(3 * medianLatency)
		},
		"slow": func(own *replica.State) ident.Instant {
			for range 3 {
				own.RecordResult(start, replica.AttemptResult{Outcome: replica.OK, Took: 5 * medianLatency, MedianLatency: medianLatency})
			}
			return start
		},
		"failing": func(own *replica.State) ident.Instant {
			own.RecordResult(start, replica.AttemptResult{Outcome: replica.Failed, Took: medianLatency, MedianLatency: medianLatency})
			return start
		},
	} {
		sh, own := newShard()
		now := trouble(own)
		if r := soonest(now, sh); r == nil || !r.Reserve {
			t.Errorf("%s: no reserve replica is borrowed", name)
		}
	}
	sh, own = newShard()
	in := replica.Selection{Now: start, Shard: sh, Tried: []*replica.State{own}, MedianLatency: medianLatency}
	if !in.Eligible(sh.Replicas[1]) {
		t.Error("a second attempt may not borrow a reserve replica")
	}
}
