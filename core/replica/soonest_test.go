package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

const medianLatency = 10 * time.Millisecond

func threeReplicas() *replica.Shard {
	sh := &replica.Shard{}
	for i := range 3 {
		sh.Replicas = append(sh.Replicas, &replica.State{
			ID: ident.ReplicaID(rune('a' + i)), Local: i == 0,
			Shares: replica.Shares{Slots: 4, Connections: 35, VMs: 1, RampStep: time.Millisecond},
		})
	}
	return sh
}

func soonest(now ident.Instant, sh *replica.Shard) *replica.State {
	return replica.Soonest{}.Decide(&replica.Selection{
		Now: now, Shard: sh, Random: rand.New(rand.NewPCG(1, 2)), MedianLatency: medianLatency,
	})
}

// serve chooses a replica for each of n sequential requests and returns how many
// each replica got.
func serve(now *ident.Instant, sh *replica.Shard, n int, took func(*replica.State) time.Duration) map[ident.ReplicaID]int {
	counts := map[ident.ReplicaID]int{}
	for range n {
		r := soonest(*now, sh)
		sent := *now
		r.Sent(sent)
		*now = now.Add(took(r))
		r.Ended(sent)
		r.RecordResult(*now, replica.AttemptResult{Outcome: replica.OK, Took: took(r), MedianLatency: medianLatency})
		counts[r.ID]++
		*now = now.Add(10 * time.Millisecond)
	}
	return counts
}

// TestSlowReplicaIsAvoided checks that a replica that becomes five times slower gets
// few requests after the first ones, is still tried from time to time, and gets most
// requests again soon after it has recovered.
func TestSlowReplicaIsAvoided(t *testing.T) {
	sh := threeReplicas()
	now := ident.Instant(time.Hour)
	slow := func(r *replica.State) time.Duration {
		if r.ID == "a" {
			return 5 * medianLatency
		}
		return medianLatency
	}
	if first := serve(&now, sh, 5, slow)["a"]; first > 3 {
		t.Fatalf("%d of the first 5 requests went to the slow replica", first)
	}
	if late := serve(&now, sh, 400, slow)["a"]; late == 0 || late > 20 {
		t.Fatalf("%d of 400 requests went to the slow replica, expected 1 to 20", late)
	}
	serve(&now, sh, 300, func(*replica.State) time.Duration { return medianLatency })
	if back := serve(&now, sh, 100, func(*replica.State) time.Duration { return medianLatency })["a"]; back < 80 {
		t.Fatalf("%d of 100 requests went to the local replica after it recovered", back)
	}
}

// TestFailingReplicaIsAvoided checks that a replica that fails nearly half of its
// requests, with normal latency, gets few of them.
func TestFailingReplicaIsAvoided(t *testing.T) {
	sh := threeReplicas()
	now := ident.Instant(time.Hour)
	random := rand.New(rand.NewPCG(3, 4))
	toFailing := 0
	for range 400 {
		r := soonest(now, sh)
		r.Sent(now)
		r.Ended(now)
		outcome := replica.OK
		if r.ID == "a" {
			toFailing++
			if random.Float64() < 0.45 {
				outcome = replica.Failed
			}
		}
		now = now.Add(10 * time.Millisecond)
		r.RecordResult(now, replica.AttemptResult{Outcome: outcome, Took: medianLatency, MedianLatency: medianLatency})
	}
	if toFailing > 100 {
		t.Fatalf("%d of 400 requests went to the replica that fails", toFailing)
	}
}

// TestInFlightAttemptRevealsAPause checks that requests are sent to other replicas
// while an attempt at one is overdue, before any reply from it arrives.
func TestInFlightAttemptRevealsAPause(t *testing.T) {
	sh := threeReplicas()
	now := ident.Instant(time.Hour)
	local := soonest(now, sh)
	if local.ID != "a" {
		t.Fatalf("the first choice is %s, not the local replica", local.ID)
	}
	local.Sent(now)
	now = now.Add(3 * medianLatency)
	if r := soonest(now, sh); r.ID == "a" {
		t.Fatal("chose the replica whose attempt in flight is overdue")
	}
}

// TestColdReplicaIsRateLimited checks that all VMs together send a cold replica no
// more than its rate plus two attempts in any second, from the start. It guards
// against overloading the replicas of a zone that returns to service cold.
func TestColdReplicaIsRateLimited(t *testing.T) {
	const vms, rate = 28, 10
	start := ident.Instant(time.Hour)
	var sent []ident.Instant
	for rank := range vms {
		sh := &replica.Shard{Replicas: []*replica.State{{
			ID: "a", ColdUntil: start.Add(3 * time.Second), Shares: replica.Shares{
				Slots: 100, Connections: 3000, VMs: vms, Rank: rank, RampStep: time.Millisecond, ColdRate: rate,
			},
		}}}
		for at := start; at < start.Add(3*time.Second); at = at.Add(time.Millisecond) {
			if r := soonest(at, sh); r != nil {
				r.Sent(at)
				r.Ended(at)
				sent = append(sent, at)
			}
		}
	}
	if len(sent) < rate*2 {
		t.Fatalf("%d attempts in three seconds, the replica accepts %d", len(sent), 3*rate)
	}
	for _, from := range sent {
		n := 0
		for _, at := range sent {
			if at >= from && at < from.Add(time.Second) {
				n++
			}
		}
		if n > rate+2 {
			t.Fatalf("%d attempts in a second, the replica accepts %d", n, rate)
		}
	}
}
