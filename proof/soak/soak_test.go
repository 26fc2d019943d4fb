package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/soak"
)

// seeds are run in each test: the first one for the start, and each one that ever
// broke a promise, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{3, "short run of the usual faults"},
	{2, "the checker ended a fault before its time and called a stop late"},
	{318, "a VM that was started again found its port taken by another connection: ports of outgoing connections were used"},
	{13, "the checker took the process after a kill for the one that was told to stop"},
}

// TestSoak runs the real program under a short series of faults.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "carawaycross")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/carawaycross")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		var log []string
		report, err := soak.Run(context.Background(), soak.Config{
			Seed: s.seed, Duration: 8 * time.Second, Binary: binary, Folder: t.TempDir(), VMs: 3,
			OnFault: func(line string) { log = append(log, line) },
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, broken := range report.Broken {
			t.Errorf("seed %d (%s): %s", s.seed, s.cause, broken)
		}
		if report.Requests == 0 || report.Faults == 0 {
			t.Errorf("seed %d: %d requests, %d faults", s.seed, report.Requests, report.Faults)
		}
		if t.Failed() {
			t.Log(log)
		}
	}
}
