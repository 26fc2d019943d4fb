package control_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/internal/proptest"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/roster"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

const (
	simulations        = 1_000
	shortSimulations   = 40
	stepsPerSimulation = 1_000
	shards             = 8
)

// TestWorlds runs a million steps in seeded simulations with random operators, VMs
// that start, pause and stop, lost, delayed and duplicated messages, partitions and
// platform faults. With -short it runs some of the same seeds.
func TestWorlds(t *testing.T) {
	n := simulations
	if testing.Short() {
		n = shortSimulations
	}
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < n; seed += shards {
				runSimulation(t, uint64(seed))
			}
		})
	}
}

func runSimulation(t *testing.T, seed uint64) {
	t.Helper()
	sim := newSimulation(rand.New(rand.NewPCG(seed, 2)), 5)
	for i := range stepsPerSimulation {
		sim.step()
		if len(sim.failures) > 0 {
			t.Fatalf("seed %d step %d: %s", seed, i, sim.failures[0])
		}
	}
	sim.checkConvergence()
	if len(sim.failures) > 0 {
		t.Fatalf("seed %d after the last step: %s", seed, sim.failures[0])
	}
}

// TestInForceEverywhere checks that a change is in force on all VMs after 2 s, with
// up to 20% of the messages lost.
func TestInForceEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 40).Draw(t, "VMs")
		seed := rapid.Uint64().Draw(t, "seed")
		sim := newSimulation(rand.New(rand.NewPCG(seed, 2)), size)
		sim.loss = rapid.IntRange(0, 20).Draw(t, "loss")
		first := sim.acceptedByVersion[1]
		sim.vms[0].core.ConfigurationRead(sim.now, first)
		sim.executeActions(sim.vms[0])
		sim.advance(5 * time.Second)
		at := sim.vms[rapid.IntRange(0, size-1).Draw(t, "at")]
		change := config.Change{ID: "out", Kind: config.ZoneOut, Subject: string(zones[0]), Who: "operator"}
		if _, err := sim.applyChange(at, change, at.core.Configuration().Version); err != nil {
			t.Fatal(err)
		}
		sim.advance(2 * time.Second)
		for _, vm := range sim.vms {
			if vm.version != 2 || !vm.view.Services[0].Replicas[0].Out {
				t.Fatalf("%s of %d has version %d after 2 s", vm.member.VM, size, vm.version)
			}
		}
		if len(sim.failures) > 0 {
			t.Fatal(sim.failures[0])
		}
	})
}

// TestPausedVMIsNotDead pauses one VM for less than SuspicionTimeout. The others may
// suspect it but must not declare it dead.
func TestPausedVMIsNotDead(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(rand.New(rand.NewPCG(seed, 2)), 5)
		sim.advance(3 * time.Second)
		paused := sim.vms[0]
		paused.pausedUntil = sim.now.Add(roster.SuspicionTimeout - time.Second)
		for range 100 {
			sim.advance(100 * time.Millisecond)
			for _, vm := range sim.vms[1:] {
				for _, m := range vm.core.Status().Members {
					if m.State == roster.Dead {
						t.Fatalf("seed %d: on %s the state of %s is dead", seed, vm.member.VM, m.VM)
					}
				}
			}
		}
	}
}

// TestStoppedVMIsDead checks that all VMs declare a stopped VM dead, so that
// TestPausedVMIsNotDead can fail.
func TestStoppedVMIsDead(t *testing.T) {
	sim := newSimulation(rand.New(rand.NewPCG(1, 2)), 5)
	sim.advance(3 * time.Second)
	sim.vms[0].alive = false
	sim.advance(roster.SuspicionTimeout + 10*time.Second)
	for _, vm := range sim.vms[1:] {
		for _, m := range vm.core.Status().Members {
			if m.VM == sim.vms[0].member.VM && m.State != roster.Dead {
				t.Fatalf("on %s the state of the stopped VM is %s", vm.member.VM, m.State)
			}
		}
	}
}

// TestColdMarkIsStable checks that successive views carry the same mark for the same
// news. Otherwise one observation would start several ramps.
func TestColdMarkIsStable(t *testing.T) {
	sim := newSimulation(rand.New(rand.NewPCG(1, 2)), 5)
	for _, vm := range sim.vms[:3] {
		vm.core.Report(sim.now, node.News{Kind: node.Cold, Replica: "slotfinder-0-0"})
		sim.executeActions(vm)
	}
	sim.advance(2 * time.Second)
	mark := sim.vms[4].view.Services[0].Replicas[0].ColdMark
	if mark == 0 {
		t.Fatal("the news was not received")
	}
	for range 50 {
		sim.vms[4].core.VMsListed(sim.now, nil)
		sim.executeActions(sim.vms[4])
		if got := sim.vms[4].view.Services[0].Replicas[0].ColdMark; got != mark {
			t.Fatalf("the mark changed from %d to %d without news", mark, got)
		}
	}
}
