package model_test

import (
	"context"
	"testing"

	"carawaycross.example/carawaycross/proof/model"
)

// TestHistories explores all short histories and random ones beyond.
func TestHistories(t *testing.T) {
	for _, c := range []model.Config{
		{VMs: 3, Depth: 3, MaxStates: 10_000, Walks: 200, WalkLength: 12, Seed: 1},
		{VMs: 4, Depth: 2, MaxStates: 10_000, Walks: 4000, WalkLength: 25, Seed: 2},
	} {
		if testing.Short() {
			c.Depth, c.Walks = 2, 200
		}
		r := model.Explore(context.Background(), c)
		if len(r.Broken) > 0 {
			t.Fatalf("%v: %v", r.History, r.Broken)
		}
		t.Logf("%d VMs: %d states, %d walks, at most %d rounds", c.VMs, r.States, r.Walks, r.MaxRounds)
		if !r.Complete || r.States < 100 {
			t.Fatalf("%d states, complete %v", r.States, r.Complete)
		}
	}
}
