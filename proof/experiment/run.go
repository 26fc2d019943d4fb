package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/serve/vm"
)

// Spans are the durations of the phases of one run.
type Spans struct {
	WarmUp, Measure time.Duration
}

// Run measures one scenario under one set of policies.
func Run(ctx context.Context, sc Scenario, c PolicySet, spans Spans) (Result, error) {
	f, err := fleet.Start(deployment(sc.SlowShare))
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if sc.BeforeWarmUp != nil {
		if err := sc.BeforeWarmUp(f); err != nil {
			return Result{}, err
		}
	}
	vms, addresses, err := startVMs(f, c)
	defer closeVMs(vms)
	if err != nil {
		return Result{}, err
	}
	if err := awaitReady(ctx, vms); err != nil {
		return Result{}, err
	}
	load := &Load{
		Service: service, Rate: sc.Load * capacity, Deadline: queryDeadline,
		Classes: []string{"urgent", "interactive", "report"}, Seed: 1,
	}
	warmUpLoad := *load
	warmUpLoad.Rate = min(load.Rate, ordinaryLoad*capacity)
	warmUpLoad.run(ctx, addresses, spans.WarmUp)
	if sc.AfterWarmUp != nil {
		if err := sc.AfterWarmUp(f); err != nil {
			return Result{}, err
		}
		time.Sleep(sc.Settle)
	}
	before := totalAttempts(f)
	samples := load.run(ctx, addresses, spans.Measure)
	r := summarize(samples, spans.Measure, queryDeadline)
	r.Scenario, r.Policy = sc.Name, c.Name
	r.AttemptsPerQuery = float64(totalAttempts(f)-before) / float64(max(r.Answered, 1))
	for _, u := range f.Upstreams {
		t := u.Totals()
		r.MaxColdRunning, r.MaxOpen = max(r.MaxColdRunning, t.MaxColdRunning), max(r.MaxOpen, t.MaxOpen)
	}
	return r, nil
}

// totalAttempts returns the number of attempts that all upstreams ran.
func totalAttempts(f *fleet.Fleet) int {
	n := 0
	for _, u := range f.Upstreams {
		n += u.Totals().Ran
	}
	return n
}

func startVMs(f *fleet.Fleet, c PolicySet) ([]*vm.VM, []string, error) {
	var vms []*vm.VM
	var addresses []string
	for i := range f.Settings {
		s, err := f.Checked(i)
		if err != nil {
			return vms, addresses, err
		}
		v, err := vm.Start(s, vm.Options{Policies: c.Policies, Log: zerolog.Nop()})
		if err != nil {
			return vms, addresses, err
		}
		vms = append(vms, v)
		addresses = append(addresses, v.Address())
	}
	return vms, addresses, nil
}

func closeVMs(vms []*vm.VM) {
	for _, v := range vms {
		// The measurement is complete, so errors of Close are ignored.
		_ = v.Close()
	}
}

const (
	readyWithin  = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

func awaitReady(ctx context.Context, vms []*vm.VM) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, v := range vms {
		for !v.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("experiment: %s was not ready within %v", v.Address(), readyWithin)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// RunAll measures each scenario under each set of policies and writes a Markdown
// table with one row for each measurement.
func RunAll(ctx context.Context, out io.Writer, scenarios []Scenario, policySets []PolicySet, spans Spans) error {
	fmt.Fprintln(out, "| scenario | policy | queries | answered | p50 ms | p99 ms | p99.9 ms | coverage % | extra % | goodput/s | urgent/s | most cold at once | refusals | missing shards |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, sc := range scenarios {
		for _, c := range policySets {
			r, err := Run(ctx, sc, c, spans)
			if err != nil {
				return fmt.Errorf("%s under %s: %w", sc.Name, c.Name, err)
			}
			fmt.Fprintf(out, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.3f | %.2f | %.0f | %.0f | %d | %v | %v |\n",
				r.Scenario, r.Policy, r.Queries, r.Answered, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999),
				100*r.Coverage, 100*r.ExtraShare, r.Goodput, r.UrgentGoodput, r.MaxColdRunning, r.Reasons, r.Missing)
		}
	}
	return ctx.Err()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
