package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
)

// A signal is a kind of bad answer and the evidence that convicts a version by it.
type signal struct {
	name string
	// tolerance is the part of the answers that may be bad beyond those of the other
	// versions.
	tolerance float64
	// least is the number of bad answers, beyond expectation and tolerance, that
	// convicts.
	least float64
	// dispersion is how much more the number of bad answers varies than that of
	// independent ones: pauses make several answers slow at once.
	dispersion float64
	// decay is the weight of the other versions' answers after one more slot.
	decay float64
	// lasting is true if the latest answers of the other versions stay a reference while
	// there are no new ones. Latencies change too fast for that.
	lasting bool
	count   func(c Counts) (bad, all float64)
}

// The indices of signals.
const (
	failures = iota
	slowAnswers
)

var signals = [...]signal{
	failures:    {"failures", 0.08, 6, 2, 0.75, true, func(c Counts) (bad, all float64) { return float64(c.Failures), float64(c.Answers) }},
	slowAnswers: {"slow answers", 0.12, 9, 3, 0.5, false, func(c Counts) (bad, all float64) { return float64(c.Slow), float64(c.Timed) }},
}

// A severity is how much evidence against the target is needed.
type severity struct {
	// part of signal.least is needed, and bad answers beyond the expected ones by this
	// number of standard deviations.
	part, deviations float64
}

var (
	// conviction rolls an order back; suspicion keeps it from advancing.
	conviction = severity{1, 3}
	suspicion  = severity{0.25, 2}
)

// A reference counts the latest answers of the other versions in one stratum, by signal.
type reference struct{ bad, all [len(signals)]float64 }

// rate returns the expected part of bad answers, which is never 0.
func (r *reference) rate(s int) float64 { return (r.bad[s] + 0.5) / (r.all[s] + 1) }

// A comparison compares answers of one replica of the target with those of the other
// versions in the same stratum and slot.
type comparison struct {
	Cell
	// all and bad count the answers by signal; expected is the number of bad answers if
	// the target were like the others, variance that of bad answers.
	all, bad, expected, variance [len(signals)]float64
}

// A slot holds the comparisons of one slot.
type slot []comparison

// compare updates the references from the current slot and compares the target with them.
// Answers without enough recent answers of the other versions are not compared.
func (j *Judge) compare() slot {
	j.updateReferences()
	var out slot
	for _, c := range j.current {
		if !c.Target {
			continue
		}
		x := comparison{Cell: c.Cell}
		for s := range signals {
			bad, all := signals[s].count(c.Counts)
			r := j.reference(s, c.Cell, c.Zone)
			if r.all[s] < minReference || all == 0 {
				continue
			}
			p := r.rate(s)
			x.bad[s], x.all[s], x.expected[s] = bad, all, all*p
			x.variance[s] = all * p * (1 - p) * (1 + all/r.all[s])
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b comparison) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Route, b.Route))
	})
	return out
}

// updateReferences adds the other versions' answers in the current slot to the references,
// and lets the earlier ones fade.
func (j *Judge) updateReferences() {
	fresh := map[stratum]reference{}
	for at := range j.references {
		fresh[at] = reference{}
	}
	for _, c := range j.current {
		if c.Target {
			continue
		}
		for _, at := range strataOf(c.Cell, c.Zone) {
			r := fresh[at]
			for s := range signals {
				bad, all := signals[s].count(c.Counts)
				r.bad[s] += bad
				r.all[s] += all
			}
			fresh[at] = r
		}
	}
	for at, r := range fresh {
		old := j.references[at]
		for s := range signals {
			decay := signals[s].decay
			if r.all[s] == 0 {
				decay = 0
				if signals[s].lasting {
					decay = 1
				}
			}
			r.bad[s] += decay * old.bad[s]
			r.all[s] += decay * old.all[s]
		}
		j.references[at] = r
	}
}

// strataOf returns the strata of a cell from the narrowest on: the route and the zone, the
// zone, and all.
func strataOf(c Cell, zone ident.ZoneID) [3]stratum {
	return [...]stratum{{c.Route, zone}, {"", zone}, {"", ""}}
}

// reference returns the narrowest reference with enough answers for a signal.
func (j *Judge) reference(s int, c Cell, zone ident.ZoneID) reference {
	var r reference
	for _, at := range strataOf(c, zone) {
		if r = j.references[at]; r.all[s] >= minReference {
			break
		}
	}
	return r
}

// minReference is the number of the other versions' answers from which the target is
// compared with them.
const minReference = 5

// sums accumulates comparisons.
type sums struct{ all, bad, expected, variance float64 }

func (t *sums) add(c *comparison, s int) {
	t.all += c.all[s]
	t.bad += c.bad[s]
	t.expected += c.expected[s]
	t.variance += c.variance[s]
}

// excess returns the bad answers beyond those expected and tolerated.
func (t *sums) excess(s int) float64 { return t.bad - t.expected - signals[s].tolerance*t.all }

// convict reports whether there is the given evidence that the target is bad, over all routes or on one, in any span of time
// that ends with the last slot. The latest span counts, since a version may turn bad late
// or only under load. At least two replicas must be bad if the target has three or more: a
// replica of its own may be at fault.
func convict(slots []slot, need severity) (found string, bad bool) {
	routes := map[ident.RouteID]bool{}
	for _, s := range slots {
		for i := range s {
			routes[s[i].Route] = true
		}
	}
	for s := range signals {
		if found, bad := convictBy(slots, s, need, func(ident.RouteID) bool { return true }); bad {
			return found + " on all routes", true
		}
		for _, route := range sorted(routes) {
			if found, bad := convictBy(slots, s, need, func(r ident.RouteID) bool { return r == route }); bad {
				return found + " on route " + string(route), true
			}
		}
	}
	return "", false
}

func convictBy(slots []slot, s int, need severity, includes func(ident.RouteID) bool) (string, bool) {
	total := sums{}
	byReplica := map[ident.ReplicaID]*sums{}
	for i := len(slots) - 1; i >= 0; i-- {
		for k := range slots[i] {
			c := &slots[i][k]
			if !includes(c.Route) {
				continue
			}
			r := byReplica[c.Replica]
			if r == nil {
				r = &sums{}
				byReplica[c.Replica] = r
			}
			total.add(c, s)
			r.add(c, s)
		}
		if exceeds(total, byReplica, s, need) {
			return fmt.Sprintf("%.0f %s of %.0f, %.1f expected from the other versions, over %v", total.bad, signals[s].name, total.all,
				total.expected, time.Duration(len(slots)-i)*slotLength), true
		}
	}
	return "", false
}

// exceeds reports whether the sums convict the target without its worst replica.
func exceeds(total sums, byReplica map[ident.ReplicaID]*sums, s int, need severity) bool {
	if len(byReplica) >= 3 {
		var worst *sums
		for _, r := range byReplica {
			if worst == nil || r.excess(s) > worst.excess(s) {
				worst = r
			}
		}
		if worst.excess(s) > 0 {
			total.all -= worst.all
			total.bad -= worst.bad
			total.expected -= worst.expected
			total.variance -= worst.variance
		}
	}
	return total.excess(s) >= need.part*signals[s].least &&
		total.bad-total.expected >= need.deviations*math.Sqrt(signals[s].dispersion*max(total.variance, 0))
}

func sorted(routes map[ident.RouteID]bool) []ident.RouteID {
	out := make([]ident.RouteID, 0, len(routes))
	for r := range routes {
		out = append(out, r)
	}
	slices.Sort(out)
	return out
}
