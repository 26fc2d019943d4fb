package soak_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/soak"
)

// usualVMs and usualDuration are the size of a run, unless a seed needs another one.
const (
	usualVMs      = 3
	usualDuration = 8 * time.Second
)

// seeds are run in each test: a first one, and each one that ever reported a broken
// promise, with its cause.
var seeds = []struct {
	seed     uint64
	vms      int
	duration time.Duration
	cause    string
}{
	{3, usualVMs, usualDuration, "short run of the usual faults"},
	{2, usualVMs, usualDuration, "the checker ended a fault early and reported a stop as late"},
	{318, usualVMs, usualDuration, "a restarted VM found its port in use: it was from the range for outgoing connections"},
	{606, usualVMs, usualDuration, "a stop cut off a request that waited at a replica that hangs"},
	{13, usualVMs, usualDuration, "the checker mistook the process started after a kill for the one that got SIGTERM"},
	{92021, 4, 12 * time.Second, "a VM that restarted while the store was down entered the list seconds after the store was back"},
	{85006, 5, 12 * time.Second, "a watch that ended while the store withheld a change led past it"},
}

// TestSoak runs the real program under a short series of faults.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "carawaycross")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/carawaycross")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			t.Parallel()
			var log []string
			report, err := soak.Run(context.Background(), soak.Config{
				Seed: s.seed, Duration: s.duration, Binary: binary, Folder: t.TempDir(), VMs: s.vms,
				OnFault: func(line string) { log = append(log, line) },
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, broken := range report.Broken {
				t.Errorf("%s: %s", s.cause, broken)
			}
			if report.Requests == 0 || report.Faults == 0 {
				t.Errorf("%d requests, %d faults", report.Requests, report.Faults)
			}
			if !report.Checked() {
				t.Errorf("not run: %d checks of changes, %d requests that tell versions apart", report.Checks, report.Telling)
			}
			t.Logf("%d checks of changes, %d requests judged, %d tell versions apart, greatest lag %v, older version last in force %v",
				report.Checks, report.Judged, report.Telling, report.GreatestLag, report.LatestOld)
			if t.Failed() {
				t.Log(log)
			}
		})
	}
}
