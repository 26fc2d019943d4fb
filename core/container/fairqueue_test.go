package container

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestFairQueueOfOneFlow checks that a FairQueue with a single flow and no floor decides as
// a Queue does, whether or not its pops are charged.
func TestFairQueueOfOneFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, count := rapid.IntRange(0, 6), rapid.IntRange(1, 4)
		ranks := count.Draw(t, "ranks")
		capacity := size.Draw(t, "capacity")
		fair, plain := NewFairQueue[string, int](capacity, ranks), NewQueue[int](capacity, ranks)
		for n := range rapid.IntRange(0, 60).Draw(t, "steps") {
			rank := rapid.IntRange(-1, 5).Draw(t, "rank")
			var got, want int
			var gotOK, wantOK bool
			switch rapid.SampledFrom([]string{"push", "push", "push", "pop", "pop", "resize"}).Draw(t, "step") {
			case "push":
				got, gotOK = fair.Push(rank, "", n)
				want, wantOK = plain.Push(rank, n)
			case "pop":
				got, gotOK = fair.Pop()
				want, wantOK = plain.Pop()
				if rapid.Bool().Draw(t, "charge") {
					fair.Charge()
				}
			case "resize":
				ranks, capacity = count.Draw(t, "ranks"), size.Draw(t, "capacity")
				fair.Resize(capacity, ranks)
				plain.Resize(capacity, ranks)
			}
			rank = min(max(rank, 0), ranks-1)
			if got != want || gotOK != wantOK || fair.Len() != plain.Len() ||
				fair.Ahead(rank, "") != plain.Ahead(rank) || fair.CanPush(rank, "") != plain.CanPush(rank) {
				t.Fatalf("returned %d %v, expected %d %v; %+v, expected %+v", got, gotOK, want, wantOK, fair, plain)
			}
		}
	})
}

// checkShares compares what flows got with their max-min shares of the sum: it gives one
// unit after the other to the flow that has the least and wants more.
func checkShares(t *rapid.T, got, demands []int) {
	sum := 0
	for _, n := range got {
		sum += n
	}
	shares := make([]int, len(demands))
	for range sum {
		least := -1
		for i := range demands {
			if shares[i] < demands[i] && (least < 0 || shares[i] < shares[least]) {
				least = i
			}
		}
		shares[least]++
	}
	for i := range shares {
		if got[i] < shares[i]-1 || got[i] > shares[i]+1 {
			t.Fatalf("flows have %v, their max-min shares are %v", got, shares)
		}
	}
}

// arrivals returns the demands of some flows, and their values in a random order.
func arrivals(t *rapid.T) (demands, flows []int) {
	demands = rapid.SliceOfN(rapid.IntRange(0, 40), 1, 8).Draw(t, "demands")
	for flow, n := range demands {
		flows = append(flows, slices.Repeat([]int{flow}, n)...)
	}
	return demands, rapid.Permutation(flows).Draw(t, "order")
}

// TestTurnsAndPlacesAreMaxMinFair answers a flood of one flow beside modest ones, in
// whatever order the values come: each flow gets its max-min share of the places and then
// of the turns. A value that is dropped instead of served costs its flow no turn.
func TestTurnsAndPlacesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands, flows := arrivals(t)
		q := NewFairQueue[int, int](rapid.IntRange(1, 300).Draw(t, "capacity"), 1)
		places, turns := make([]int, len(demands)), make([]int, len(demands))
		for _, flow := range flows {
			canPush := q.CanPush(0, flow)
			places[flow]++
			if evicted, full := q.Push(0, flow, flow); full {
				places[evicted]--
				if canPush == (evicted == flow) {
					t.Fatalf("CanPush is %v, but Push evicted a value of flow %d", canPush, evicted)
				}
			}
		}
		checkShares(t, places, demands)
		for range rapid.IntRange(0, q.Len()).Draw(t, "pops") {
			next, _ := q.Peek()
			flow, _ := q.Pop()
			if next != flow {
				t.Fatalf("Peek returns a value of flow %d, Pop of %d", next, flow)
			}
			if rapid.Bool().Draw(t, "dropped") {
				places[flow]--
				continue
			}
			q.Charge()
			turns[flow]++
		}
		checkShares(t, turns, places)
	})
}

// popUntil returns the number of values that leave before the value 1.
func popUntil[K comparable](q *FairQueue[K, int]) int {
	for n := 0; ; n++ {
		v, _ := q.Pop()
		q.Charge()
		if v == 1 {
			return n
		}
	}
}

// TestAhead compares Ahead with the number of pops until a new value leaves. With a floor,
// the estimate for a low rank may be off by the fraction of a turn that is due.
func TestAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int, int](1000, 4)
		floored := rapid.Bool().Draw(t, "floor")
		anyRank := rapid.IntRange(0, 2)
		_, flows := arrivals(t)
		if floored {
			// One low rank waits behind many values of the first.
			q.SetFloor(Floor{Share: 0.25, Ranks: 3})
			anyRank, flows = rapid.Just(1), flows[:min(len(flows), 10)]
			for range 200 {
				q.Push(0, 0, 0)
			}
		}
		for _, flow := range flows {
			q.Push(anyRank.Draw(t, "rank"), flow, 0)
			if !floored && rapid.IntRange(0, 3).Draw(t, "pop") == 0 {
				q.Pop()
				q.Charge()
			}
		}
		rank, flow := anyRank.Draw(t, "rank"), rapid.IntRange(0, 9).Draw(t, "flow")
		want := q.Ahead(rank, flow)
		q.Push(rank, flow, 1)
		if got := popUntil(q); got != want && (!floored || got < want-1 || got > want+1) {
			t.Fatalf("%d values left before the new one, expected %d", got, want)
		}
	})
}

// TestSparseFlowGoesFirst answers a flow that rarely has a value, beside two that always
// wait: it goes before the one that had its turn in this round.
func TestSparseFlowGoesFirst(t *testing.T) {
	q := NewFairQueue[int, int](100, 1)
	for range 10 {
		q.Push(0, 2, 2)
		q.Push(0, 3, 3)
	}
	for range 5 {
		q.Pop()
		q.Charge()
	}
	q.Push(0, 1, 1)
	if n := popUntil(q); n != 1 {
		t.Fatalf("%d values left before that of the sparse flow, expected 1", n)
	}
}

// TestFloorKeepsLowRanksFromStarving answers a first rank that alone exceeds the capacity:
// lower ones get their part of the turns and of the places, and no more.
func TestFloorKeepsLowRanksFromStarving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 4).Draw(t, "ranks")
		const capacity, turns = 48, 400
		q := NewFairQueue[string, int](capacity, ranks+1)
		q.SetFloor(Floor{Share: 0.25, Ranks: ranks})
		pushes := rapid.SliceOfN(rapid.IntRange(0, ranks-1), 1, 20).Draw(t, "ranks of the pushes")
		served := make([]int, ranks)
		for range turns {
			for _, rank := range slices.Concat(slices.Repeat([]int{0}, capacity), pushes) {
				q.Push(rank, "", rank)
			}
			for rank := range ranks {
				q.Push(rank, "", rank)
			}
			rank, _ := q.Pop()
			q.Charge()
			served[rank]++
		}
		if float64(turns-served[0]-ranks) > 0.25*turns {
			t.Fatalf("the low ranks got more than a quarter of the turns: %v", served)
		}
		for rank := 1; rank < ranks; rank++ {
			if float64(served[rank]+1)/turns < 0.25/float64(ranks-1) {
				t.Fatalf("rank %d got too few turns: %v", rank, served)
			}
		}
	})
}

// TestFlowsAreForgotten answers many tenants that come once, beside one that always waits.
func TestFlowsAreForgotten(t *testing.T) {
	q := NewFairQueue[int, int](64, 1)
	q.Push(0, -1, 0)
	for flow := range 10_000 {
		q.Push(0, flow, 0)
		q.Push(0, -1, 0)
		for range 2 {
			q.Pop()
			q.Charge()
		}
		if n := len(q.levels[0].flows); n > 4*minSweep {
			t.Fatalf("%d flows are kept after %d flows of one value", n, flow)
		}
	}
	if q.Pop(); q.Len() > 0 || len(q.levels[0].flows) > 1 {
		t.Fatalf("%d values left, %d flows are kept", q.Len(), len(q.levels[0].flows))
	}
}
