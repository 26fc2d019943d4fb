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

// TestMillionSteps runs 100 seeded worlds of 10,000 random steps against the
// oracle: no mixed snapshot, no booking run twice, no false not-run, no query
// without exactly one answer, no new work to a replica that is known to leave.
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
		t.Fatalf("%d answers with %d shards covered: the worlds did not serve", answers, covered)
	}
	t.Logf("%d answers, %d shards covered", answers, covered)
}

type rapidSource struct{ t *rapid.T }

func (c rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// TestSimulationProperties runs shorter worlds whose failures shrink.
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

// TestSameSeedSameActions: with the same events, times and random source the
// core returns the same actions.
func TestSameSeedSameActions(t *testing.T) {
	trace := func() []string {
		sim := newSimulation(rand.New(rand.NewPCG(42, 1)))
		sim.trace = []string{}
		for range 5_000 {
			sim.step()
		}
		return sim.trace
	}
	a, b := trace(), trace()
	if len(a) == 0 || !slices.Equal(a, b) {
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("action %d differs: %s", i, a[i])
			}
		}
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
}
