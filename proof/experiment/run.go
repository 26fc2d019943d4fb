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

// Spans are the times of one run.
type Spans struct {
	WarmUp, Measure time.Duration
}

// Run measures one scenario under one contender.
func Run(ctx context.Context, sc Scenario, c PolicySet, spans Spans) (Result, error) {
	f, err := fleet.Start(spec(sc.SlowShare))
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if sc.Prepare != nil {
		if err := sc.Prepare(f); err != nil {
			return Result{}, err
		}
	}
	vms, doors, err := startVMs(f, c)
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
	warm := *load
	warm.Rate = min(load.Rate, ordinaryLoad*capacity)
	warm.run(ctx, doors, spans.WarmUp)
	if sc.Act != nil {
		if err := sc.Act(f); err != nil {
			return Result{}, err
		}
		time.Sleep(sc.Settle)
	}
	before := ran(f)
	samples := load.run(ctx, doors, spans.Measure)
	r := summarize(samples, spans.Measure, queryDeadline)
	r.Scenario, r.Policy = sc.Name, c.Name
	r.AttemptsPerQuery = float64(ran(f)-before) / float64(max(r.Answered, 1))
	for _, u := range f.Upstreams {
		t := u.Totals()
		r.MostCold, r.MostOpen = max(r.MostCold, t.MaxColdRunning), max(r.MostOpen, t.MaxOpen)
	}
	return r, nil
}

func ran(f *fleet.Fleet) int {
	n := 0
	for _, u := range f.Upstreams {
		n += u.Totals().Ran
	}
	return n
}

func startVMs(f *fleet.Fleet, c PolicySet) ([]*vm.VM, []string, error) {
	var vms []*vm.VM
	var doors []string
	for i := range f.Settings {
		s, err := f.Checked(i)
		if err != nil {
			return vms, doors, err
		}
		v, err := vm.Start(s, vm.Options{Policies: c.Policies, Log: zerolog.Nop()})
		if err != nil {
			return vms, doors, err
		}
		vms = append(vms, v)
		doors = append(doors, v.Address())
	}
	return vms, doors, nil
}

func closeVMs(vms []*vm.VM) {
	for _, v := range vms {
		// The run is over; what a VM says on closing changes nothing.
		_ = v.Close()
	}
}

const (
	readyWithin = 10 * time.Second
	lookPeriod  = 20 * time.Millisecond
)

func awaitReady(ctx context.Context, vms []*vm.VM) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, v := range vms {
		for !v.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("experiment: %s was not ready within %v", v.Address(), readyWithin)
			case <-time.After(lookPeriod):
			}
		}
	}
	return nil
}

// RunAll measures the scenarios under the contenders and writes one table row
// for each, in Markdown.
func RunAll(ctx context.Context, out io.Writer, scenarios []Scenario, contenders []PolicySet, spans Spans) error {
	fmt.Fprintln(out, "| scenario | policy | queries | answered | p50 ms | p99 ms | p99.9 ms | coverage % | extra % | goodput/s | urgent/s | most cold at once | refusals | missing shards |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, sc := range scenarios {
		for _, c := range contenders {
			r, err := Run(ctx, sc, c, spans)
			if err != nil {
				return fmt.Errorf("%s under %s: %w", sc.Name, c.Name, err)
			}
			fmt.Fprintf(out, "| %s | %s | %d | %d | %.1f | %.1f | %.1f | %.3f | %.2f | %.0f | %.0f | %d | %v | %v |\n",
				r.Scenario, r.Policy, r.Queries, r.Answered, ms(r.P50), ms(r.P99), ms(r.P999),
				100*r.Coverage, 100*r.ExtraShare, r.Goodput, r.UrgentGoodput, r.MostCold, r.Reasons, r.Missing)
		}
	}
	return ctx.Err()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
