// Package demo runs a whole deployment in one process: stand-ins, entry VMs and
// the steps that an operator takes.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/vm"
)

const (
	searchesPerStep = 60
	concurrency     = 6
	readyWithin     = 5 * time.Second
	inForceWithin   = 2 * time.Second
	pollInterval    = 20 * time.Millisecond
	searchDeadline  = 400 * time.Millisecond
)

// A demo is one run of the demonstration. See Run.
type demo struct {
	out        io.Writer
	fleet      *fleet.Fleet
	vms        []*vm.VM
	clients    []*client.Client
	step       int
	mismatches []error
}

// Run runs the Association's deployment and writes each step to out. It returns
// an error if the coverage that an answer states differs from what the stand-ins
// served, or if a change is not in force in time.
func Run(ctx context.Context, out io.Writer) error {
	d := &demo{out: out}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"searches on an ordinary day", d.noChange},
		{"switch to preset peak", d.change(config.SwitchPreset, "peak")},
		{"take zone windhoek-south out", d.change(config.ZoneOut, "windhoek-south")},
		{"bring zone windhoek-south back", d.change(config.ZoneIn, "windhoek-south")},
		{"stop one upstream", d.stopUpstream},
		{"switch to preset ordinary", d.change(config.SwitchPreset, "ordinary")},
	}
	for _, s := range steps {
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if err := d.measure(ctx, s.name); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	if err := d.bookTwice(ctx); err != nil {
		return err
	}
	return errors.Join(d.mismatches...)
}

func (d *demo) start(ctx context.Context) error {
	f, err := fleet.Start(fleet.Association())
	if err != nil {
		return err
	}
	d.fleet = f
	fmt.Fprintf(d.out, "%d stand-in upstreams and the platform's stand-in run on loopback\n", len(f.Upstreams))
	for i := range f.Settings {
		s, err := f.Checked(i)
		if err != nil {
			return err
		}
		v, err := vm.Start(s, vm.Options{Log: zerolog.Nop()})
		if err != nil {
			return err
		}
		d.vms = append(d.vms, v)
		d.clients = append(d.clients, &client.Client{Address: v.Address()})
		fmt.Fprintf(d.out, "entry VM %s in %s at http://%s\n", s.Message.Vm.Name, s.Message.Vm.Zone, v.Address())
	}
	return d.await(ctx, readyWithin, func(s *schema.Status) bool { return s.Ready && len(s.Vms) == len(d.vms) })
}

// await waits until every VM's status satisfies ok.
func (d *demo) await(ctx context.Context, within time.Duration, ok func(*schema.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, c := range d.clients {
		for {
			s, err := c.Status(ctx)
			if err == nil && ok(s) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("not in force on %s within %v", c.Address, within)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// noChange is the step that measures the initial configuration.
func (d *demo) noChange(context.Context) error { return nil }

func (d *demo) change(kind config.ChangeKind, subject string) func(context.Context) error {
	return func(ctx context.Context) error {
		before, err := d.clients[0].Configuration(ctx)
		if err != nil {
			return err
		}
		began := time.Now()
		answer, err := d.clients[0].Change(ctx, &schema.ChangeRequest{
			BasedOn: before.Version,
			Change: &schema.Change{
				Id: fmt.Sprintf("demo-%d", d.step), Kind: string(kind), Subject: subject, Who: "demo", Why: "to show it",
			},
		})
		if err != nil {
			return err
		}
		d.step++
		err = d.await(ctx, inForceWithin, func(s *schema.Status) bool { return s.Version >= answer.Version })
		fmt.Fprintf(d.out, "\n%s %s: version %d in force on all VMs after %v\n",
			kind, subject, answer.Version, time.Since(began).Round(time.Millisecond))
		for _, difference := range answer.Differences {
			fmt.Fprintf(d.out, "  %s: %s -> %s\n", difference.Field, difference.Old, difference.New)
		}
		return err
	}
}

func (d *demo) stopUpstream(context.Context) error {
	return d.fleet.Upstream("route-planner-3-0").Close()
}

type searchResult struct {
	latency time.Duration
	answer  *schema.SearchAnswer
	err     error
}

// measure runs searches through all ready VMs, prints their latency, coverage,
// snapshots and extra attempts, and checks each answer.
func (d *demo) measure(ctx context.Context, name string) error {
	before := d.attemptsByUpstream()
	var ready []*client.Client
	for _, c := range d.clients {
		if s, err := c.Status(ctx); err == nil && s.Ready {
			ready = append(ready, c)
		}
	}
	searchResults := d.runSearches(ctx, ready)
	after := d.attemptsByUpstream()
	var latencies []time.Duration
	var covered, wanted, extra, attempts, refused int
	snapshots := map[uint32]int{}
	for _, o := range searchResults {
		if o.err != nil {
			refused++
			continue
		}
		latencies = append(latencies, o.latency)
		covered += len(o.answer.ShardsCovered)
		wanted += int(o.answer.ShardsWanted)
		extra += int(o.answer.ExtraAttempts)
		snapshots[o.answer.Snapshot]++
		if err := checkAnswer(o.answer); err != nil {
			d.mismatches = append(d.mismatches, fmt.Errorf("%s: %w", name, err))
		}
	}
	for upstream, n := range after {
		attempts += n - before[upstream]
	}
	if len(latencies) == 0 {
		return errors.New("no search was answered")
	}
	if attempts < covered {
		d.mismatches = append(d.mismatches, fmt.Errorf("%s: %d shards were claimed as covered, the stand-ins ran %d attempts", name, covered, attempts))
	}
	slices.Sort(latencies)
	fmt.Fprintf(d.out, "%s: %d answered, %d refused, p50 %v, p99 %v, coverage %.2f%%, snapshots %v, %.3f extra attempts a query\n",
		name, len(latencies), refused, quantile(latencies, 0.5), quantile(latencies, 0.99),
		100*float64(covered)/float64(max(wanted, 1)), snapshots, float64(extra)/float64(len(latencies)))
	return nil
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}

func (d *demo) runSearches(ctx context.Context, clients []*client.Client) []searchResult {
	if len(clients) == 0 {
		return nil
	}
	work, results := make(chan int), make(chan searchResult)
	for range concurrency {
		go func() {
			for i := range work {
				began := time.Now()
				answer, err := clients[i%len(clients)].Search(ctx, &schema.SearchRequest{
					Service: "route-planner", Query: []byte("allergy nuts"), Tenant: "allergy-desk",
					Class: "urgent", Deadline: durationpb.New(searchDeadline),
				})
				results <- searchResult{time.Since(began), answer, err}
			}
		}()
	}
	go func() {
		for i := range searchesPerStep {
			work <- i
		}
		close(work)
	}()
	var out []searchResult
	for range searchesPerStep {
		out = append(out, <-results)
	}
	return out
}

// attemptsByUpstream returns the number of attempts that each stand-in upstream ran.
func (d *demo) attemptsByUpstream() map[string]int {
	attempts := map[string]int{}
	for _, u := range d.fleet.Upstreams {
		attempts[u.Name()] = u.Totals().Ran
	}
	return attempts
}

// checkAnswer compares what an answer states with its parts: each part must be
// what the stand-in of that shard returns at the stated snapshot, and covered and
// missing shards together must be as many as the service has.
func checkAnswer(a *schema.SearchAnswer) error {
	if int(a.ShardsWanted) != len(a.ShardsCovered)+len(a.ShardsMissing) || len(a.Parts) != len(a.ShardsCovered) {
		return fmt.Errorf("%d shards wanted, %d covered, %d missing, %d parts",
			a.ShardsWanted, len(a.ShardsCovered), len(a.ShardsMissing), len(a.Parts))
	}
	seen := map[uint32]bool{}
	for i, p := range a.Parts {
		want := fmt.Sprintf("route-planner/%d@%d", p.Shard, a.Snapshot)
		if string(p.Result) != want || a.ShardsCovered[i] != p.Shard || seen[p.Shard] {
			return fmt.Errorf("shard %d: found %q, expected %q", p.Shard, p.Result, want)
		}
		seen[p.Shard] = true
	}
	return nil
}

// bookTwice sends one booking twice and checks that it ran once.
func (d *demo) bookTwice(ctx context.Context) error {
	key, err := d.clients[0].Ticket(ctx)
	if err != nil {
		return err
	}
	request := &schema.BookingRequest{
		Service: "kitchen-desk", Body: []byte("two lunches"), Tenant: "kitchens", Class: "interactive", RequestKey: key,
	}
	runCount := 0
	for _, c := range []*client.Client{d.clients[0], d.clients[1]} {
		answer, err := c.Book(ctx, request)
		if err != nil {
			return err
		}
		fmt.Fprintf(d.out, "\nbooking %s through %s: ran, repeated answer %v", key, answer.Vm, answer.Repeated)
	}
	for _, u := range d.fleet.Upstreams {
		runCount += u.Runs(key)
	}
	fmt.Fprintf(d.out, "\nthe stand-ins ran it %d time(s)\n", runCount)
	if runCount != 1 {
		return fmt.Errorf("booking %s ran %d times", key, runCount)
	}
	return nil
}

func (d *demo) close() {
	for _, v := range d.vms {
		if err := v.Close(); err != nil {
			fmt.Fprintln(d.out, err)
		}
	}
	if d.fleet != nil {
		if err := d.fleet.Close(); err != nil {
			fmt.Fprintln(d.out, err)
		}
	}
}
