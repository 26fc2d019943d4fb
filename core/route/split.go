package route

import (
	"strconv"
	"strings"

	"carawaycross.example/carawaycross/core/ident"
)

// A Split distributes requests over the targets of a route by smooth weighted round
// robin: after any number of requests, each target is within about one request of
// its share, and the sum over several VMs is within about one request per VM. The
// zero value is ready for use.
type Split struct {
	// targetsKey identifies the targets and weights that credits belong to.
	targetsKey string
	// credits holds the current weight of each target; the sum is 0 after each
	// Next.
	credits []float64
}

// Next returns the index of the target of the next request. The offset, from 0 to
// 1, shifts the sequence of a new split, so that different VMs do not select the
// same targets at the same time.
func (s *Split) Next(targets []Target, offset float64) int {
	if len(targets) < 2 {
		return 0
	}
	if key := keyOf(targets); key != s.targetsKey {
		s.targetsKey, s.credits = key, make([]float64, len(targets))
		s.advance(targets, offset)
	}
	return s.pick(targets)
}

// advance skips the part of the sequence given by offset; 1 skips four picks per
// target.
func (s *Split) advance(targets []Target, offset float64) {
	for range int(offset * float64(4*len(targets))) {
		s.pick(targets)
	}
}

// pick returns the target with the highest credit and reduces its credit by the sum
// of the weights.
func (s *Split) pick(targets []Target) int {
	best, sum := 0, 0.0
	for i, t := range targets {
		s.credits[i] += t.Weight
		sum += t.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= sum
	return best
}

// keyOf returns a string that identifies the targets and their weights.
func keyOf(targets []Target) string {
	var b strings.Builder
	for _, t := range targets {
		for _, id := range t.Services {
			b.WriteString(string(id))
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatFloat(t.Weight, 'g', -1, 64))
		b.WriteByte(';')
	}
	return b.String()
}

// Splits holds the Split of each route. The zero value is ready for use.
type Splits struct {
	splits map[ident.RouteID]*Split
}

// maxSplits limits the number of stored splits. When it is reached, all of them are
// discarded.
const maxSplits = 10_000

// Next returns the target of the route's next request.
func (s *Splits) Next(r *Route, offset float64) *Target {
	if len(r.Targets) == 1 {
		return &r.Targets[0]
	}
	if s.splits == nil || len(s.splits) >= maxSplits {
		s.splits = map[ident.RouteID]*Split{}
	}
	split := s.splits[r.Name]
	if split == nil {
		split = &Split{}
		s.splits[r.Name] = split
	}
	return &r.Targets[split.Next(r.Targets, offset)]
}
