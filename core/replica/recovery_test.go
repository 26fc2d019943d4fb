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

// TestReserveReplicaIsBorrowedInColdPeriod checks, for the VM of the last rank of 140 and a
// cold replica with a rate, that each of its requests gets a replica in the whole cold
// period, although that replica has no turn for it.
func TestReserveReplicaIsBorrowedInColdPeriod(t *testing.T) {
	start := ident.Instant(time.Hour)
	for name, shares := range map[string]replica.Shares{
		"rate":  {Slots: 4, Connections: 122, VMs: 140, Rank: 139, RampStep: time.Millisecond, ColdRate: 5},
		"paced": {Slots: 4, Connections: 122, VMs: 140, Rank: 139, ColdRate: 5, Paced: true},
		"ramp":  {Slots: 4, Connections: 122, VMs: 140, Rank: 139, RampStep: time.Second},
	} {
		sh := threeReplicas()
		sh.Replicas[1].Reserve, sh.Replicas[2].Reserve = true, true
		own := sh.Replicas[0]
		own.Shares, own.ColdUntil = shares, start.Add(3*time.Second)
		own.MarkCold(start, 1)
		for now := start.Add(time.Millisecond); now < own.ColdUntil; now = now.Add(250 * time.Millisecond) {
			if soonest(now, sh) == nil {
				t.Fatalf("%s: no replica is eligible %v after the start", name, now.Sub(start))
			}
		}
	}
}

// TestPaceHoldsBesideOtherReplicas checks that, 1 ms after a replica started, few of 140 VMs
// may send to it while another replica is sound, as a reserve, or with the only request that
// the VM may have there in flight.
func TestPaceHoldsBesideOtherReplicas(t *testing.T) {
	const vms = 140
	start := ident.Instant(time.Hour)
	for name, prepare := range map[string]func(o *replica.State){
		"reserve": func(o *replica.State) { o.Reserve = true },
		"full":    func(o *replica.State) { o.Sent(start) },
	} {
		sent := 0
		for rank := range vms {
			sh := threeReplicas()
			for _, r := range sh.Replicas {
				r.Shares = replica.Shares{Slots: 4, Connections: 122, VMs: vms, Rank: rank, Paced: true}
			}
			sh.Replicas[0].BeginPace(start)
			prepare(sh.Replicas[1])
			prepare(sh.Replicas[2])
			in := replica.Selection{Now: start.Add(time.Millisecond), Shard: sh, MedianLatency: medianLatency}
			if in.Eligible(sh.Replicas[0]) {
				sent++
			}
		}
		if sent > 4 {
			t.Errorf("%s: %d of %d VMs may send", name, sent, vms)
		}
	}
}

// TestPacedReplicaBesideRateLimitedOne checks that a VM without a token of a cold, rate-limited
// replica may use the paced one beside it.
func TestPacedReplicaBesideRateLimitedOne(t *testing.T) {
	start := ident.Instant(time.Hour)
	sh := threeReplicas()
	sh.Replicas = sh.Replicas[:2]
	shares := replica.Shares{Slots: 4, Connections: 122, VMs: 140, Rank: 139, Paced: true}
	sh.Replicas[0].Shares = shares
	sh.Replicas[0].BeginPace(start)
	shares.ColdRate = 5
	sh.Replicas[1].Shares, sh.Replicas[1].ColdUntil = shares, start.Add(3*time.Second)
	if soonest(start.Add(time.Millisecond), sh) != sh.Replicas[0] {
		t.Error("the paced replica is not eligible")
	}
}

// TestSlowPacedReplicaIsEjected checks that a replica that is nine times slower while paced is
// ejected like a warm one.
func TestSlowPacedReplicaIsEjected(t *testing.T) {
	now := ident.Instant(time.Hour)
	r := threeReplicas().Replicas[0]
	r.Shares.Paced = true
	r.BeginPace(now)
	for n := 1; r.Condition(now) != replica.Ejected; n++ {
		if n > 10 {
			t.Fatal("the replica is not ejected after 10 slow replies")
		}
		now = now.Add(10 * medianLatency)
		took := 9 * medianLatency
		r.RecordResult(now, replica.AttemptResult{Outcome: replica.OK, Took: took, MedianLatency: medianLatency})
		r.Observe(now, replica.Sample{Outcome: replica.OK, Took: took, SlowThreshold: 4 * medianLatency, Base: medianLatency, MayEject: true})
	}
}

// TestAtMostOnceRequestsRarelyBorrow checks that a request that must not run twice does not
// borrow a reserve, which may reset the connection, while the VM's own replica is usable but
// overdue, and does if that is leaving or tried.
func TestAtMostOnceRequestsRarelyBorrow(t *testing.T) {
	start := ident.Instant(time.Hour)
	sh := threeReplicas()
	sh.Replicas[1].Reserve, sh.Replicas[2].Reserve = true, true
	own := sh.Replicas[0]
	own.Sent(start)
	now := start.Add(5 * medianLatency)
	in := replica.Selection{Now: now, Shard: sh, MedianLatency: medianLatency, AtMostOnce: true}
	if in.Eligible(sh.Replicas[1]) {
		t.Error("a reserve is borrowed while the own replica is usable")
	}
	if !in.Eligible(own) {
		t.Error("the own replica is not eligible")
	}
	in.Tried = []*replica.State{own}
	if !in.Eligible(sh.Replicas[1]) {
		t.Error("no reserve is borrowed after the own replica was tried")
	}
	in.Tried = nil
	own.MarkLeaving(now)
	if !in.Eligible(sh.Replicas[1]) {
		t.Error("no reserve is borrowed while the own replica is leaving")
	}
}
