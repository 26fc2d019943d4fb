package container

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestFairQueueOfOneFlow checks that a FairQueue with a single flow and no floor makes
// the same decisions as a Queue, whether or not its pops are charged.
func TestFairQueueOfOneFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, ranks := rapid.IntRange(0, 6).Draw(t, "capacity"), rapid.IntRange(1, 4).Draw(t, "ranks")
		fair, plain := NewFairQueue[string, int](capacity, ranks), NewQueue[int](capacity, ranks)
		n := 0
		anyRank := rapid.IntRange(-1, 5)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				rank := anyRank.Draw(t, "rank")
				got, gotFull := fair.Push(rank, "", n)
				want, wantFull := plain.Push(rank, n)
				if got != want || gotFull != wantFull {
					t.Fatalf("Push evicted %d (full: %v), expected %d (full: %v)", got, gotFull, want, wantFull)
				}
			},
			"pop": func(t *rapid.T) {
				got, gotOK := fair.Pop()
				want, wantOK := plain.Pop()
				if got != want || gotOK != wantOK {
					t.Fatalf("popped %d (%v), expected %d (%v)", got, gotOK, want, wantOK)
				}
				if rapid.Bool().Draw(t, "charge") {
					fair.Charge()
				}
			},
			"resize": func(t *rapid.T) {
				capacity, ranks = rapid.IntRange(0, 6).Draw(t, "capacity"), rapid.IntRange(1, 4).Draw(t, "ranks")
				fair.Resize(capacity, ranks)
				plain.Resize(capacity, ranks)
			},
			"": func(t *rapid.T) {
				if fair.Len() != plain.Len() {
					t.Fatalf("queue holds %d values, expected %d", fair.Len(), plain.Len())
				}
				for rank := range ranks {
					if got, want := fair.Ahead(rank, ""), plain.Ahead(rank); got != want {
						t.Fatalf("%d values ahead at rank %d, expected %d", got, rank, want)
					}
					if got, want := fair.CanPush(rank, ""), plain.CanPush(rank); got != want {
						t.Fatalf("CanPush(%d) is %v, expected %v", rank, got, want)
					}
				}
			},
		})
	})
}

// fill returns the max-min shares of a capacity in whole units: it gives one unit after
// the other to the flow that has the least and wants more.
func fill(capacity int, demands []int) []int {
	shares := make([]int, len(demands))
	for range capacity {
		least := -1
		for i := range demands {
			if shares[i] < demands[i] && (least < 0 || shares[i] < shares[least]) {
				least = i
			}
		}
		if least < 0 {
			return shares
		}
		shares[least]++
	}
	return shares
}

func checkShares(t *rapid.T, what string, got, want []int) {
	t.Helper()
	for i := range want {
		if got[i] < want[i]-1 || got[i] > want[i]+1 {
			t.Fatalf("%s: flows have %v, their max-min shares are %v", what, got, want)
		}
	}
}

var someDemands = rapid.SliceOfN(rapid.IntRange(0, 40), 1, 8)

// arrivals returns the flows of all demands in a random order.
func arrivals(t *rapid.T, demands []int) []int {
	var flows []int
	for flow, n := range demands {
		flows = append(flows, slices.Repeat([]int{flow}, n)...)
	}
	return rapid.Permutation(flows).Draw(t, "order")
}

// TestTurnsAreMaxMinFair answers a flood of one flow beside modest ones: of any number of
// turns, each flow gets its max-min share, in whatever order the values came.
func TestTurnsAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := someDemands.Draw(t, "demands")
		q := NewFairQueue[int, int](1000, 2)
		for _, flow := range arrivals(t, demands) {
			q.Push(0, flow, flow)
		}
		turns := rapid.IntRange(0, q.Len()).Draw(t, "turns")
		got := make([]int, len(demands))
		for range turns {
			flow, _ := q.Pop()
			// A value that is dropped instead of served costs its flow no turn.
			if rapid.Bool().Draw(t, "dropped") {
				q.Push(1, flow, flow)
				demands[flow]--
				continue
			}
			q.Charge()
			got[flow]++
		}
		served := 0
		for _, n := range got {
			served += n
		}
		checkShares(t, "turns", got, fill(served, demands))
	})
}

// TestPlacesAreMaxMinFair answers a flood that finds the queue full of others, or fills it
// before them: each flow holds its max-min share of the places.
func TestPlacesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := someDemands.Draw(t, "demands")
		capacity := rapid.IntRange(1, 60).Draw(t, "capacity")
		q := NewFairQueue[int, int](capacity, 1)
		got := make([]int, len(demands))
		for _, flow := range arrivals(t, demands) {
			canPush := q.CanPush(0, flow)
			got[flow]++
			if evicted, full := q.Push(0, flow, flow); full {
				got[evicted]--
				if canPush == (evicted == flow) {
					t.Fatalf("CanPush is %v, but Push evicted a value of flow %d", canPush, evicted)
				}
			}
			if q.Len() > capacity {
				t.Fatalf("queue holds %d values, its capacity is %d", q.Len(), capacity)
			}
		}
		checkShares(t, "places", got, fill(capacity, demands))
	})
}

// TestAheadIsExact checks Ahead against the number of pops after which a new value leaves.
func TestAheadIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int, int](1000, 3)
		for _, flow := range arrivals(t, someDemands.Draw(t, "demands")) {
			q.Push(rapid.IntRange(0, 2).Draw(t, "rank"), flow, 0)
			if rapid.IntRange(0, 3).Draw(t, "pop") == 0 {
				q.Pop()
				q.Charge()
			}
		}
		rank, flow := rapid.IntRange(0, 2).Draw(t, "rank"), rapid.IntRange(0, 9).Draw(t, "flow")
		want := q.Ahead(rank, flow)
		q.Push(rank, flow, 1)
		for got := 0; ; got++ {
			v, _ := q.Pop()
			q.Charge()
			if v == 1 {
				if got != want {
					t.Fatalf("%d values left before the new one, expected %d", got, want)
				}
				return
			}
		}
	})
}

// TestSparseFlowComesBeforeThoseThatHadTheirTurn answers a single value of a flow that comes
// while others always wait: it leaves before any value of a flow that had its turn in this
// round.
func TestSparseFlowComesBeforeThoseThatHadTheirTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flows := rapid.IntRange(2, 6).Draw(t, "flows")
		q := NewFairQueue[int, int](1000, 1)
		for range 20 {
			for flow := range flows {
				q.Push(0, flow, flow)
			}
		}
		hadTurn := rapid.IntRange(1, flows).Draw(t, "flows that had their turn")
		for range flows*rapid.IntRange(0, 3).Draw(t, "rounds") + hadTurn {
			q.Pop()
			q.Charge()
		}
		q.Push(0, flows, flows)
		for got := 0; ; got++ {
			flow, _ := q.Pop()
			q.Charge()
			if flow == flows {
				return
			}
			if flow < hadTurn && hadTurn < flows {
				t.Fatalf("flow %d, which had its turn, is before the sparse one", flow)
			}
			if got >= flows {
				t.Fatalf("%d values left before the sparse one", got)
			}
		}
	})
}

// TestAheadOfLowRank checks Ahead of a rank that waits behind more of higher ones than the
// floor lets pass.
func TestAheadOfLowRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[string, int](1000, 4)
		q.SetFloor(Floor{Share: 0.25, Ranks: 3})
		for range 200 {
			q.Push(0, "", 0)
		}
		for range rapid.IntRange(0, 10).Draw(t, "queued") {
			q.Push(1, "", 0)
		}
		want := q.Ahead(1, "")
		q.Push(1, "", 1)
		for got := 0; ; got++ {
			v, _ := q.Pop()
			q.Charge()
			if v == 1 {
				if got < want-1 || got > want+1 {
					t.Fatalf("%d values left before the new one, expected %d", got, want)
				}
				return
			}
		}
	})
}

// TestFloorKeepsLowRanksFromStarving answers high ranks that alone exceed the capacity:
// lower ones get their part of the turns and of the places, and no more than the floor
// beyond what the high rank leaves.
func TestFloorKeepsLowRanksFromStarving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 4).Draw(t, "ranks")
		const capacity, turns = 48, 400
		q := NewFairQueue[string, int](capacity, ranks+1)
		q.SetFloor(Floor{Share: 0.25, Ranks: ranks})
		served := make([]int, ranks+1)
		pushes := rapid.SliceOfN(rapid.IntRange(0, ranks-1), 1, 20).Draw(t, "ranks of the pushes")
		for range turns {
			// More arrive than are served, at first only of the highest rank.
			for range capacity {
				q.Push(0, "", 0)
			}
			for _, rank := range pushes {
				q.Push(rank, "", rank)
			}
			for rank := range ranks {
				q.Push(rank, "", rank)
			}
			rank, _ := q.Pop()
			q.Charge()
			served[rank]++
		}
		low := 0
		for rank := 1; rank < ranks; rank++ {
			low += served[rank]
			if share := float64(served[rank]+1) / turns; share < 0.25/float64(ranks-1) {
				t.Fatalf("rank %d got the share %.3f of the turns: %v", rank, share, served)
			}
		}
		if float64(low-ranks) > 0.25*turns {
			t.Fatalf("the low ranks got %d of %d turns, expected a quarter", low, turns)
		}
	})
}

// TestFlowsDoNotLeak checks that flows without values are forgotten: many tenants come
// once, beside one whose values always wait.
func TestFlowsDoNotLeak(t *testing.T) {
	q := NewFairQueue[int, int](64, 1)
	for flow := range 10_000 {
		q.Push(0, -1, 0)
		q.Push(0, flow, 0)
		q.Pop()
		q.Charge()
		q.Pop()
		q.Charge()
		q.Push(0, -1, 0)
		if n := len(q.levels[0].flows); n > 4*minSweep {
			t.Fatalf("%d flows are kept after %d flows of one value", n, flow)
		}
	}
	for q.Len() > 0 {
		q.Pop()
	}
	if n := len(q.levels[0].flows); n > 1 {
		t.Fatalf("an empty queue keeps %d flows", n)
	}
}
