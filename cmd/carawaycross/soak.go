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

type soakCommand struct {
	seed  int
	seeds int
	span  time.Duration
	vms   int
	// folder keeps settings and logs.
	folder string
}

func (c *soakCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("soak", "Run entry VMs under random faults and check the promises.", "carawaycross soak --seed 1 --seeds 5 --for 20s")
	c.seed, c.seeds, c.span, c.vms, c.folder = 1, 1, 20*time.Second, 3, filepath.Join(os.TempDir(), "carawaycross-soak")
	s.Int(&c.seed, "", "seed", "The first seed.")
	s.Int(&c.seeds, "", "seeds", "How many seeds to run, one after the other.")
	s.Duration(&c.span, "", "for", "How long faults are injected, for each seed.")
	s.Int(&c.vms, "", "vms", "The number of entry VMs.")
	s.String(&c.folder, "", "folder", "Where settings and logs are kept, a folder a seed.")
	return s
}

func (c *soakCommand) run(ctx context.Context) error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	broken := 0
	for n := range c.seeds {
		seed := uint64(c.seed + n)
		folder := filepath.Join(c.folder, fmt.Sprint("seed-", seed))
		var log []string
		report, err := soak.Run(ctx, soak.Config{
			Seed: seed, For: c.span, Binary: binary, Folder: folder, VMs: c.vms,
			Tell: func(line string) { log = append(log, line) },
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d faults, %d promises broken\n",
			seed, report.Asked, report.Served, report.Faults, len(report.Broken))
		if len(report.Broken) > 0 {
			broken++
			for _, line := range append(log, report.Broken...) {
				fmt.Println("  " + line)
			}
			fmt.Println("  logs in", folder)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, c.seeds)
	}
	return nil
}
