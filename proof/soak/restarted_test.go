package soak_test

import (
	"fmt"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/soak"
)

// TestChangeIsReadThroughRestartedVM guards against VMs that lack changes while the store
// serves only one that has restarted since they read the list of VMs.
func TestChangeIsReadThroughRestartedVM(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	// With these seeds, the VM that restarts is the one that the store then serves.
	for _, seed := range []uint64{188, 231} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runOnStore(t, soak.Config{Seed: seed, VMs: 4, Series: []soak.Step{
				{At: 500 * time.Millisecond, Fault: "restart-refused"},
				{At: 800 * time.Millisecond, Fault: "refuse-then-move"},
			}})
		})
	}
}
