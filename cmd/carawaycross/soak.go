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
}

func (c *soakCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("soak", "Run entry VMs under random faults and check the promises.", "carawaycross soak --seed 1 --seeds 5 --for 20s")
	c.seed, c.seeds, c.faultDuration, c.vms, c.folder = 1, 1, 20*time.Second, 3, filepath.Join(os.TempDir(), "carawaycross-soak")
	s.Int(&c.seed, "", "seed", "The first seed.")
	s.Int(&c.seeds, "", "seeds", "How many seeds to run, one after the other.")
	s.Duration(&c.faultDuration, "", "for", "How long faults are injected, for each seed.")
	s.Int(&c.vms, "", "vms", "The number of entry VMs.")
	s.String(&c.folder, "", "folder", "Where settings and logs are kept, a folder a seed.")
	return s
}

func (c *soakCommand) run(ctx context.Context) error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	failedSeeds := 0
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
		fmt.Printf("seed %d: %d requests, %d served, %d faults, %d checks of changes, %.2f of the repeats allowed, %d promises broken\n",
			seed, report.Requests, report.Served, report.Faults, report.Checks, report.MostRepeats, len(report.Broken))
		if len(report.Broken) > 0 {
			failedSeeds++
			for _, line := range append(faultLog, report.Broken...) {
				fmt.Println("  " + line)
			}
			fmt.Println("  logs in", folder)
		}
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", failedSeeds, c.seeds)
	}
	return nil
}
