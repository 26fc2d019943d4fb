package node_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

const (
	simulations        = 100
	stepsPerSimulation = 10_000
)

// TestMillionSteps runs 100 seeded simulations of 10,000 random steps. They check that no
// answer mixes snapshots, no booking runs twice or is refused as not run although it ran,
// each query gets exactly one answer, and no replica gets an attempt from a VM to which
// it was reported as leaving or out.
func TestMillionSteps(t *testing.T) {
	answers, covered := 0, 0
	for seed := range uint64(simulations) {
		sim := newSimulation(rand.New(rand.NewPCG(seed, 1)))
		for i := range stepsPerSimulation {
			sim.step()
			if len(sim.failures) > 0 {
				t.Fatalf("seed %d step %d: %s", seed, i, sim.failures[0])
			}
		}
		sim.checkCompletion()
		if len(sim.failures) > 0 {
			t.Fatalf("seed %d after the last step: %s", seed, sim.failures[0])
		}
		answers += sim.answers
		covered += sim.covered
	}
	if answers == 0 || covered == 0 {
		t.Fatalf("%d answers with %d shards covered: the simulations answered or covered nothing", answers, covered)
	}
	t.Logf("%d answers, %d shards covered", answers, covered)
}

// rapidSource draws from a rapid generator, so that rapid can shrink a failure.
type rapidSource struct{ t *rapid.T }

func (c rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// TestSimulationProperties runs short simulations in which rapid makes the random choices,
// so that it can shrink a failure.
func TestSimulationProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapidSource{t})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			sim.step()
			if len(sim.failures) > 0 {
				t.Fatal(sim.failures[0])
			}
		}
		sim.checkCompletion()
		if len(sim.failures) > 0 {
			t.Fatal(sim.failures[0])
		}
	})
}

// TestSameSeedSameActions checks that a core returns the same actions for the same events,
// times and random source.
func TestSameSeedSameActions(t *testing.T) {
	trace := func() []string {
		sim := newSimulation(rand.New(rand.NewPCG(42, 1)))
		sim.trace = []string{}
		for range 5_000 {
			sim.step()
		}
		return sim.trace
	}
	first, second := trace(), trace()
	if len(first) == 0 || !slices.Equal(first, second) {
		for i := range first {
			if i >= len(second) || first[i] != second[i] {
				t.Fatalf("action %d of the first run differs: %s", i, first[i])
			}
		}
		t.Fatalf("the runs returned %d and %d actions", len(first), len(second))
	}
}
