package vm

import (
	"fmt"

	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/node"
)

// One of every answerSampleInterval complete answers to routed requests within their
// goal is logged. All refused, late and partial ones are logged.
const answerSampleInterval = 200

// observe counts and logs an answer of the traffic loop. It runs in the goroutine of
// that loop.
func (v *VM) observe(a node.Arrival, answer *node.Answer) {
	v.gauges.Observe(a, answer)
	if a.Route == nil {
		return
	}
	late := a.Route.Goal > 0 && answer.Took > a.Route.Goal
	complete := answer.Refusal == nil && len(answer.Coverage.Missing) == 0
	if complete && !late {
		if v.completeAnswers++; v.completeAnswers%answerSampleInterval != 0 {
			return
		}
	}
	e := v.log.Info().Str("request", a.Message.ID).Str("route", string(a.Route.Name)).
		Dur("took-ms", answer.Took).Dur("goal-ms", a.Route.Goal).Int("attempts", answer.FirstAttempts+answer.ExtraAttempts).
		Int("again", answer.ExtraAttempts).Int("covered", len(answer.Coverage.Covered)).
		Int("missing", len(answer.Coverage.Missing)).Uint64("routes-version", uint64(v.views.Current().RoutesVersion))
	if a.Tenant != "" {
		e = e.Str("tenant", string(a.Tenant))
	}
	if len(answer.Coverage.Missing) > 0 {
		e = e.Interface("why-missing", countReasons(answer.Coverage.Missing))
	}
	if len(answer.FailedAttempts) > 0 {
		e = e.Strs("trail", formatTrail(answer.FailedAttempts))
	}
	switch r := answer.Refusal; {
	case r != nil:
		e.Str("outcome", string(r.Outcome)).Str("reason", string(r.Reason)).Str("detail", r.Detail).
			Dur("return-after-ms", r.RetryAfter).Msg("request-refused")
	case late:
		e.Msg("request-late")
	case !complete:
		e.Msg("request-partial")
	default:
		e.Int("sampled", answerSampleInterval).Msg("request-answered")
	}
}

// formatTrail formats each attempt as SERVICE REPLICA OUTCOME AFTER+TOOK: the time from
// the arrival of the request until the attempt was sent, and its duration, both in
// milliseconds.
func formatTrail(steps []node.FailedAttempt) []string {
	out := make([]string, len(steps))
	for i, s := range steps {
		out[i] = fmt.Sprintf("%s %s %v %d+%d", s.Service, s.Replica, s.Outcome, s.After.Milliseconds(), s.Took.Milliseconds())
	}
	return out
}

// countReasons returns the number of missing shards per reason.
func countReasons(missing []coverage.Missing) map[coverage.Reason]int {
	out := map[coverage.Reason]int{}
	for _, m := range missing {
		out[m.Reason]++
	}
	return out
}
