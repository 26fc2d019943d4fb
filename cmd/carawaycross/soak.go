package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/proof/soak"
)

// soakCommand implements the subcommand that runs entry VMs under random faults and
// checks their guarantees.
type soakCommand struct {
	seed          int
	seeds         int
	jobs          int
	faultDuration time.Duration
	vms           int
	// series holds steps in place of random faults, such as "0s:refuse-most,9s:configure".
	series string
	// share is the part of the time in which VMs run.
	share     float64
	staleness time.Duration
	// folder is where settings and logs are written.
	folder string
	// binary is the path of the program that is run; empty for this one.
	binary string
}

func (c *soakCommand) bind() *flaggy.Subcommand {
	s := newSubcommand("soak", "Run entry VMs under random faults and check the promises.", "carawaycross soak --seed 1 --seeds 5 --for 20s")
	c.seed, c.seeds, c.jobs, c.faultDuration, c.vms, c.folder = 1, 1, 1, 20*time.Second, 3, filepath.Join(os.TempDir(), "carawaycross-soak")
	s.Int(&c.seed, "", "seed", "The first seed.")
	s.Int(&c.seeds, "", "seeds", "How many seeds to run.")
	s.Int(&c.jobs, "", "jobs", "How many seeds to run at the same time.")
	s.Duration(&c.faultDuration, "", "for", "How long faults are injected, for each seed.")
	s.Int(&c.vms, "", "vms", "The number of entry VMs.")
	s.String(&c.series, "", "series", "Faults in place of random ones, as AFTER:FAULT,AFTER:FAULT.")
	s.Float64(&c.share, "", "share", "The part of each tenth of a second in which a VM runs; 0 for all of it.")
	s.Duration(&c.staleness, "", "staleness", "The age of the store's answers to reads that allow stale data.")
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
	steps, err := parseSeries(c.series)
	if err != nil {
		return err
	}
	base := soak.Config{
		Duration: c.faultDuration, Series: steps, Binary: binary, VMs: c.vms, Share: ident.Share(c.share), Staleness: c.staleness,
	}
	var printing sync.Mutex
	ended, slots := make(chan seedResult, c.seeds), make(chan struct{}, max(c.jobs, 1))
	for i := range c.seeds {
		slots <- struct{}{}
		go func() {
			r := c.runSeed(ctx, base, uint64(c.seed+i), &printing)
			<-slots
			ended <- r
		}()
	}
	failed, notRun := 0, 0
	var errs error
	for range c.seeds {
		r := <-ended
		errs = errors.Join(errs, r.err)
		if r.broken {
			failed++
		}
		if r.notRun {
			notRun++
		}
	}
	if notRun > 0 {
		fmt.Printf("%d of %d seeds not run: they checked no change\n", notRun, c.seeds)
	}
	switch {
	case errs != nil:
		return errs
	case failed > 0:
		return fmt.Errorf("%d of %d seeds broke a promise", failed, c.seeds)
	case notRun == c.seeds:
		return fmt.Errorf("all %d seeds were not run", c.seeds)
	}
	return nil
}

// A seedResult is how the soak of one seed ended.
type seedResult struct {
	// broken is true if it broke a promise, notRun if it checked no change.
	broken, notRun bool
	err            error
}

// runSeed runs one seed and prints its report.
func (c *soakCommand) runSeed(ctx context.Context, config soak.Config, seed uint64, printing *sync.Mutex) seedResult {
	var faultLog []string
	config.Seed, config.Folder = seed, filepath.Join(c.folder, fmt.Sprint("seed-", seed))
	config.OnFault = func(line string) {
		faultLog = append(faultLog, time.Now().UTC().Format("15:04:05.000 ")+line)
	}
	report, err := soak.Run(ctx, config)
	if err == nil {
		err = os.WriteFile(filepath.Join(config.Folder, "faults.log"), []byte(strings.Join(faultLog, "\n")+"\n"), 0o600)
	}
	if err != nil {
		return seedResult{err: err}
	}
	printing.Lock()
	defer printing.Unlock()
	printReport(&report)
	if len(report.Broken) > 0 {
		for _, line := range append(faultLog, report.Broken...) {
			fmt.Println("  " + line)
		}
		fmt.Println("  logs in", config.Folder)
	}
	return seedResult{broken: len(report.Broken) > 0, notRun: !report.Checked()}
}

// parseSeries parses steps such as "0s:refuse-most,9s:configure".
func parseSeries(text string) ([]soak.Step, error) {
	if text == "" {
		return nil, nil
	}
	var steps []soak.Step
	for _, one := range strings.Split(text, ",") {
		after, fault, ok := strings.Cut(one, ":")
		at, err := time.ParseDuration(after)
		if err != nil || !ok {
			return nil, fmt.Errorf("the step %q is not of the form 9s:FAULT", one)
		}
		steps = append(steps, soak.Step{At: at, Fault: fault})
	}
	return steps, nil
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
