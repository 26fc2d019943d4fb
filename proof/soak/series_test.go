package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/soak"
)

// series are disruptions beside one another that the users' rules allow. Each guards against
// the failure that it names.
var series = map[string][]soak.Step{
	"VMs that start without the store spend no allowance of others": {
		{At: 0, Fault: "lose-replies"},
		{At: time.Second, Fault: "kill-all-without-store"},
	},
	"VMs that restart together spend no allowance again": {
		{At: 0, Fault: "lose-replies"},
		{At: 4 * time.Second, Fault: "kill-all"},
		{At: 7 * time.Second, Fault: "kill-all"},
	},
	"a rollout spends no allowance again": {
		{At: 0, Fault: "lose-replies"},
		{At: 500 * time.Millisecond, Fault: "rollout"},
	},
	"changes are in force after the history was dropped": {
		{At: 0, Fault: "configure"},
		{At: 500 * time.Millisecond, Fault: "refuse-some"},
		{At: 13 * time.Second, Fault: "drop-history"},
		{At: 18 * time.Second, Fault: "refuse-some"},
		{At: 20 * time.Second, Fault: "hup"},
		{At: 30 * time.Second, Fault: "drop-history"},
	},
}

// TestSeries runs the real program under each series.
func TestSeries(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "carawaycross")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/carawaycross")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, steps := range series {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log []string
			report, err := soak.Run(context.Background(), soak.Config{
				Seed: 3, Series: steps, Binary: binary, Folder: t.TempDir(), VMs: 5,
				OnFault: func(line string) { log = append(log, line) },
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served, %d checks of changes, %.2f of the repeats allowed", report.Requests, report.Served, report.Checks, report.MostRepeats)
			t.Logf("%d requests judged, %d tell versions apart, greatest lag %v, older version last in force %v", report.Judged, report.Telling, report.GreatestLag, report.LatestOld)
			if !report.Checked() {
				t.Errorf("not run: %d checks of changes, %d requests that tell versions apart", report.Checks, report.Telling)
			}
			for _, broken := range report.Broken {
				t.Error(broken)
			}
			if t.Failed() {
				t.Log(log)
			}
		})
	}
}
