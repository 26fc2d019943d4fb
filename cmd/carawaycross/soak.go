package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/proof/soak"
)

// soakCommand implements the subcommand that runs entry VMs under random faults and
// checks their guarantees.
type soakCommand struct {
	seed          int
	seeds         int
	faultDuration time.Duration
	vms           int
	// folder is where settings and logs are written.
	folder string
	// binary is the path of the program that is run; empty for this one.
	binary string
}

func (c *soakCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("soak", "Run entry VMs under random faults and check the promises.", "carawaycross soak --seed 1 --seeds 5 --for 20s")
	c.seed, c.seeds, c.faultDuration, c.vms, c.folder = 1, 1, 20*time.Second, 3, filepath.Join(os.TempDir(), "carawaycross-soak")
	s.Int(&c.seed, "", "seed", "The first seed.")
	s.Int(&c.seeds, "", "seeds", "How many seeds to run, one after the other.")
	s.Duration(&c.faultDuration, "", "for", "How long faults are injected, for each seed.")
	s.Int(&c.vms, "", "vms", "The number of entry VMs.")
	s.String(&c.folder, "", "folder", "Where settings and logs are kept, a folder a seed.")
	s.String(&c.binary, "", "binary", "The program to run instead of this one, such as another build of it.")
	return s
}

func (c *soakCommand) run(ctx context.Context) error {
	binary := c.binary
	if binary == "" {
		var err error
		if binary, err = os.Executable(); err != nil {
			return err
		}
	}
	failed, notRun := 0, 0
	for i := range c.seeds {
		seed := uint64(c.seed + i)
		folder := filepath.Join(c.folder, fmt.Sprint("seed-", seed))
		var faultLog []string
		report, err := soak.Run(ctx, soak.Config{
			Seed: seed, Duration: c.faultDuration, Binary: binary, Folder: folder, VMs: c.vms,
			OnFault: func(line string) { faultLog = append(faultLog, line) },
		})
		if err != nil {
			return err
		}
		printReport(&report)
		if !report.Checked() {
			notRun++
		}
		if len(report.Broken) > 0 {
			failed++
			for _, line := range append(faultLog, report.Broken...) {
				fmt.Println("  " + line)
			}
			fmt.Println("  logs in", folder)
		}
	}
	if notRun > 0 {
		fmt.Printf("%d of %d seeds not run: they checked no change\n", notRun, c.seeds)
	}
	switch {
	case failed > 0:
		return fmt.Errorf("%d of %d seeds broke a promise", failed, c.seeds)
	case notRun == c.seeds:
		return fmt.Errorf("all %d seeds were not run", c.seeds)
	}
	return nil
}

func printReport(r *soak.Report) {
	fmt.Printf("seed %d: %d requests, %d served, %d faults, %d checks of changes, %.2f of the repeats allowed, %d promises broken\n",
		r.Seed, r.Requests, r.Served, r.Faults, r.Checks, r.MostRepeats, len(r.Broken))
	if !r.Checked() {
		fmt.Printf("seed %d: not run\n", r.Seed)
	}
	fmt.Printf("  %d requests judged, %d tell versions apart; greatest of %d lags %v; older version last in force %v\n",
		r.Judged, r.Telling, r.Lags, r.GreatestLag, r.LatestOld)
}
