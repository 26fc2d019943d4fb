package main

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/proof/model"
)

// modelCommand implements the subcommand that explores how versions of the store reach
// the VMs.
type modelCommand struct {
	config model.Config
	seed   int
}

func (c *modelCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("model", "Explore how versions of the store reach the VMs under cuts, losses, pauses and restarts.",
		"carawaycross model --vms 4 --depth 4 --walks 20000")
	c.config = model.Config{VMs: 4, Depth: 3, MaxStates: 1_000_000, Walks: 20_000, WalkLength: 25}
	c.seed = 1
	s.Int(&c.config.VMs, "", "vms", "The number of VMs, in three availability zones.")
	s.Int(&c.config.Depth, "", "depth", "The length of the histories that are explored completely.")
	s.Int(&c.config.MaxStates, "", "states", "The most states that are visited.")
	s.Int(&c.config.Walks, "", "walks", "The number of random histories.")
	s.Int(&c.config.WalkLength, "", "length", "The length of each random history.")
	s.Int(&c.seed, "", "seed", "The seed of the random histories.")
	return s
}

func (c *modelCommand) run(ctx context.Context) error {
	if c.config.VMs < 2 {
		return usageError(fmt.Errorf("--vms: found %d, allowed: 2 or more", c.config.VMs))
	}
	c.config.Seed = uint64(c.seed)
	began := time.Now()
	r := model.Explore(ctx, c.config)
	fmt.Printf("%d states, complete to depth %d: %v, %d random histories, at most %d rounds of reads, %v\n",
		r.States, c.config.Depth, r.Complete, r.Walks, r.MaxRounds, time.Since(began).Round(time.Millisecond))
	if len(r.Broken) == 0 {
		return nil
	}
	for _, a := range r.History {
		fmt.Println("  " + a.String())
	}
	for _, b := range r.Broken {
		fmt.Println("  broken: " + b)
	}
	return fmt.Errorf("a history of %d actions breaks an invariant", len(r.History))
}
