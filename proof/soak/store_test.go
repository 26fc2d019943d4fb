package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/soak"
)

// TestChangeIsReadPastDeadWatch guards against a change that is late because the watch waits
// on a dead connection while stale reads on others confirm that there are no changes.
func TestChangeIsReadPastDeadWatch(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	runOnStore(t, soak.Config{Seed: 101, VMs: 4, Staleness: time.Second, Series: []soak.Step{
		{At: time.Second, Fault: "configure"},
		{At: 3 * time.Second, Fault: "stall-store-watches"},
		{At: 7200 * time.Millisecond, Fault: "configure"},
		{At: 11 * time.Second, Fault: "configure"},
		{At: 14 * time.Second, Fault: "stall-store-watches"},
		{At: 18300 * time.Millisecond, Fault: "configure"},
	}})
}

// TestRefusedVMsReadThroughRestartedVM guards against old routes on VMs that the store refuses
// while the only VM that it serves has restarted: its new certificate is in the store's list
// of VMs, which they cannot read.
func TestRefusedVMsReadThroughRestartedVM(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	runOnStore(t, soak.Config{Seed: 101, VMs: 4, Series: []soak.Step{{At: 12 * time.Second, Fault: "restart-served"}}})
}

// TestRefusedVMsAskFrozenVMAgain guards against old routes on VMs that the store refuses, because
// they leave out the only VM that it serves for seconds after that one froze.
func TestRefusedVMsAskFrozenVMAgain(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	runOnStore(t, soak.Config{Seed: 101, VMs: 4, Series: []soak.Step{{At: 10 * time.Second, Fault: "freeze-served"}}})
}

// runOnStore runs the real program and reports the promises that it breaks.
func runOnStore(t *testing.T, c soak.Config) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "carawaycross")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/carawaycross")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	var log []string
	c.Binary, c.Folder, c.OnFault = binary, t.TempDir(), func(line string) { log = append(log, line) }
	report, err := soak.Run(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	if !report.Checked() {
		t.Error("no change was checked")
	}
	t.Logf("%d requests judged, %d tell versions apart; greatest lag %v; older version last in force %v",
		report.Judged, report.Telling, report.GreatestLag, report.LatestOld)
	for _, broken := range report.Broken {
		t.Error(broken)
	}
	if t.Failed() {
		t.Log(log)
	}
}
