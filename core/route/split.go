package route

import (
	"strconv"
	"strings"

	"carawaycross.example/carawaycross/core/ident"
)

// A Split deals requests out to the targets of a route by smooth weighted round
// robin: after any number of requests each target is within one request of its
// share, so that the sum over several VMs stays within one request a VM.
// The zero value is ready.
type Split struct {
	// shape identifies the targets and weights that credits belong to.
	shape string
	// credits sum to 0 after each Next.
	credits []float64
}

// Next returns the index of the target that takes the next request. Start, from
// 0 to 1, shifts the order of a new split, so that VMs do not deal in step.
func (s *Split) Next(targets []Target, start float64) int {
	if len(targets) < 2 {
		return 0
	}
	if shape := shapeOf(targets); shape != s.shape {
		s.shape, s.credits = shape, make([]float64, len(targets))
		s.advance(targets, start)
	}
	return s.deal(targets)
}

func (s *Split) advance(targets []Target, start float64) {
	for range int(start * float64(4*len(targets))) {
		s.deal(targets)
	}
}

func (s *Split) deal(targets []Target) int {
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

func shapeOf(targets []Target) string {
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

// Splits holds the Split of each route. The zero value is ready.
type Splits struct {
	splits map[ident.RouteID]*Split
}

// mostSplits bounds the routes remembered; beyond it, all begin anew.
const mostSplits = 10_000

// Next returns the target that takes the next request of the route.
func (s *Splits) Next(r *Route, start float64) *Target {
	if len(r.Targets) == 1 {
		return &r.Targets[0]
	}
	if s.splits == nil || len(s.splits) >= mostSplits {
		s.splits = map[ident.RouteID]*Split{}
	}
	one := s.splits[r.Name]
	if one == nil {
		one = &Split{}
		s.splits[r.Name] = one
	}
	return &r.Targets[one.Next(r.Targets, start)]
}
