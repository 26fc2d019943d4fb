package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/proof/experiment"
)

// measureCommand implements the subcommand that compares policies.
type measureCommand struct {
	scenarios, policies string
	warmUp, measure     time.Duration
}

func (c *measureCommand) bind() *flaggy.Subcommand {
	c.warmUp, c.measure = 3*time.Second, 6*time.Second
	s := newSubcommand("measure", "Compare policies under load and faults on loopback.",
		"carawaycross measure --scenarios calm,straggler --policies baseline,product")
	s.String(&c.scenarios, "", "scenarios", "Scenarios, separated by commas; all without it.")
	s.String(&c.policies, "", "policies", "Policies, separated by commas; all without it.")
	s.Duration(&c.warmUp, "", "warm-up", "Time under load before the measured span.")
	s.Duration(&c.measure, "", "measure", "The measured span.")
	return s
}

func (c *measureCommand) run(ctx context.Context) error {
	scenarios := experiment.Select(experiment.Scenarios(), c.scenarios, func(s experiment.Scenario) string { return s.Name })
	policySets := experiment.Select(experiment.PolicySets(), c.policies, func(s experiment.PolicySet) string { return s.Name })
	if len(scenarios) == 0 || len(policySets) == 0 {
		return usageError(fmt.Errorf("measure: no scenario or policy of these names: %q, %q", c.scenarios, c.policies))
	}
	fmt.Printf("%d processors, %s, one process with 3 entry VMs and all stand-ins, seed 1\n\n", runtime.NumCPU(), runtime.Version())
	return experiment.RunAll(ctx, os.Stdout, scenarios, policySets, experiment.Spans{WarmUp: c.warmUp, Measure: c.measure})
}
