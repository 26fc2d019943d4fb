package rollout

import (
	"cmp"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

const (
	// slowFactor is the multiple of the other versions' median latency from which an
	// answer is slow.
	slowFactor = 2.5
	// abortedFactor is that for attempts that were cancelled: their answers would have
	// come later still.
	abortedFactor = 1.5
	// maxCells bounds the memory of a Tally.
	maxCells = 4096
)

// A Cell is what counts are kept for: requests of one route at one replica.
type Cell struct {
	Route   ident.RouteID
	Replica ident.ReplicaID
}

// Counts are cumulative counts of answers.
type Counts struct {
	// Answers includes Failures.
	Answers, Failures uint64
	// Timed counts the answers whose latency could be compared; it includes Slow.
	Timed, Slow uint64
}

// Plus returns the sum of both.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failures + o.Failures, c.Timed + o.Timed, c.Slow + o.Slow}
}

// since returns the counts after an earlier state. A state that is not earlier yields all
// counts.
func (c Counts) since(o Counts) Counts {
	if c.Answers < o.Answers || c.Failures < o.Failures || c.Timed < o.Timed || c.Slow < o.Slow {
		return c
	}
	return Counts{c.Answers - o.Answers, c.Failures - o.Failures, c.Timed - o.Timed, c.Slow - o.Slow}
}

// CellCounts are the counts of one cell.
type CellCounts struct {
	Cell
	Zone ident.ZoneID
	// Target is true for a replica of the version that the order names.
	Target bool
	Counts
}

// A Result is the end of one attempt.
type Result struct {
	Cell
	Zone   ident.ZoneID
	Target bool
	// Failed is true for an error reply, Aborted for an attempt that was cancelled.
	Failed, Aborted bool
	Took            time.Duration
	// Settling is true while the replica is expected to be slower than it will be.
	Settling bool
}

// A Tally counts the results of one VM's attempts while an order is in progress. An answer
// is slow if it took several times the median of the other versions, on the same route in
// the last seconds. The zero value is empty.
type Tally struct {
	cells     map[Cell]*CellCounts
	baselines map[ident.RouteID]*baseline
}

// Record counts a result.
func (t *Tally) Record(r Result) {
	if t.cells == nil {
		t.cells, t.baselines = map[Cell]*CellCounts{}, map[ident.RouteID]*baseline{}
	}
	cell := t.cells[r.Cell]
	if cell == nil {
		if len(t.cells) >= maxCells {
			return
		}
		cell = &CellCounts{Cell: r.Cell, Zone: r.Zone, Target: r.Target}
		t.cells[r.Cell] = cell
	}
	base := t.baselines[r.Route]
	if base == nil {
		base = &baseline{}
		t.baselines[r.Route] = base
	}
	median := base.median()
	switch {
	case r.Aborted:
		if median > 0 && !r.Settling && r.Took > scale(median, abortedFactor) {
			cell.Answers++
			cell.Timed++
			cell.Slow++
		}
		return
	case r.Failed:
		cell.Answers++
		cell.Failures++
		return
	}
	cell.Answers++
	if median > 0 && !r.Settling {
		cell.Timed++
		if r.Took > scale(median, slowFactor) {
			cell.Slow++
		}
	}
	if !r.Target && !r.Settling {
		base.add(r.Took)
	}
}

// Cells returns the counts of all cells in a fixed order.
func (t *Tally) Cells() []CellCounts {
	out := make([]CellCounts, 0, len(t.cells))
	for _, c := range t.cells {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b CellCounts) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Route, b.Route))
	})
	return out
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// baselineSize is the number of latencies in a baseline, minBaseline the number from which
// it has a median.
const (
	baselineSize = 32
	minBaseline  = 8
)

// A baseline holds the latest latencies of the other versions on one route.
type baseline struct {
	latest [baselineSize]time.Duration
	n      int
}

func (b *baseline) add(d time.Duration) {
	b.latest[b.n%baselineSize] = d
	b.n++
}

// median returns the median, or 0 while there are too few latencies.
func (b *baseline) median() time.Duration {
	n := min(b.n, baselineSize)
	if n < minBaseline {
		return 0
	}
	sorted := b.latest
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// Evidence is what the traffic of one VM reports about an order. Its counts are cumulative,
// so that a lost report does no harm.
type Evidence struct {
	Service ident.ServiceID
	Order   OrderID
	// Step is the step that the traffic follows.
	Step  Step
	Cells []CellCounts
	// OthersInFlight is the number of attempts in flight at replicas of other versions.
	OthersInFlight int
	// First counts the requests of the service, Sent all attempts at the target.
	First, Sent uint64
}
