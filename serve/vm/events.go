package vm

import (
	"fmt"

	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/node"
)

// sampledAnswers is one in how many whole answers within their goal are logged;
// every other answer is.
const sampledAnswers = 200

// observe takes each answer of the lane, in the lane's goroutine.
func (v *VM) observe(a node.Arrival, answer *node.Answer) {
	v.gauges.Observe(a, answer)
	if a.Route == nil {
		return
	}
	late := a.Route.Goal > 0 && answer.Took > a.Route.Goal
	whole := answer.Refusal == nil && len(answer.Coverage.Missing) == 0
	if whole && !late {
		if v.answered++; v.answered%sampledAnswers != 0 {
			return
		}
	}
	e := v.log.Info().Str("request", a.Message.ID).Str("route", string(a.Route.Name)).
		Dur("took-ms", answer.Took).Dur("goal-ms", a.Route.Goal).Int("attempts", answer.FirstAttempts+answer.ExtraAttempts).
		Int("again", answer.ExtraAttempts).Int("covered", len(answer.Coverage.Covered)).
		Int("missing", len(answer.Coverage.Missing)).Uint64("routes-version", uint64(v.board.Current().RoutesVersion))
	if len(answer.Coverage.Missing) > 0 {
		e = e.Interface("why-missing", reasons(answer.Coverage.Missing))
	}
	if len(answer.Trail) > 0 {
		e = e.Strs("trail", trail(answer.Trail))
	}
	switch r := answer.Refusal; {
	case r != nil:
		e.Str("outcome", string(r.Outcome)).Str("reason", string(r.Reason)).Str("detail", r.Detail).
			Dur("return-after-ms", r.RetryAfter).Msg("request-refused")
	case late:
		e.Msg("request-late")
	case !whole:
		e.Msg("request-partial")
	default:
		e.Int("sampled", sampledAnswers).Msg("request-answered")
	}
}

// trail writes each attempt as SERVICE REPLICA OUTCOME AFTER+TOOK, in
// milliseconds from the arrival of the request.
func trail(steps []node.FailedAttempt) []string {
	out := make([]string, len(steps))
	for i, s := range steps {
		out[i] = fmt.Sprintf("%s %s %v %d+%d", s.Service, s.Replica, s.Outcome, s.After.Milliseconds(), s.Took.Milliseconds())
	}
	return out
}

// reasons counts why shards are missing.
func reasons(missing []coverage.Missing) map[coverage.Reason]int {
	out := map[coverage.Reason]int{}
	for _, m := range missing {
		out[m.Reason]++
	}
	return out
}
