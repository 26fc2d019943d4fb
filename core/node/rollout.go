package node

import (
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
	"carawaycross.example/carawaycross/core/rollout"
)

const (
	// rolloutReportInterval is the time between two reports of evidence to control.
	rolloutReportInterval = 200 * time.Millisecond
	// settleTime is how long a replica that this VM did not know may be slower than usual.
	settleTime = 3 * time.Second
)

// A serviceRollout is the state of a service's traffic while an order moves it to another
// version.
type serviceRollout struct {
	plan     *rollout.Plan
	exposure rollout.Exposure
	tally    rollout.Tally
	// listedAt holds when this VM first knew each replica of the target.
	listedAt map[*replica.State]ident.Instant
}

// installRollout updates the service to the plan of a view; nil ends the rollout. A new
// order begins with new counts.
func (s *service) installRollout(plan *rollout.Plan) {
	switch {
	case plan == nil:
		s.rollout = nil
	case s.rollout == nil || s.rollout.plan.Order != plan.Order:
		s.rollout = &serviceRollout{
			plan: plan, exposure: rollout.NewExposure(plan), listedAt: map[*replica.State]ident.Instant{},
		}
	default:
		s.rollout.plan = plan
	}
}

// markTarget sets whether a replica runs the version to which an order moves the service.
func (s *service) markTarget(now ident.Instant, r *replica.State, software ident.Software) {
	r.Target = s.rollout != nil && software == s.rollout.plan.Order.Target
	if !r.Target {
		return
	}
	if _, ok := s.rollout.listedAt[r]; !ok {
		s.rollout.listedAt[r] = now
	}
}

// decide picks a replica. While an order moves the service to another version, it picks one
// of the version whose turn it is. At Takeover, the other versions get attempts only while no
// replica of the target is usable; before, the target gets none beyond its part.
func (c *Core) decide(in *replica.Selection, svc *service) *replica.State {
	ro := svc.rollout
	if ro == nil {
		return c.policies.Choice.Decide(in)
	}
	if ro.exposure.Prefers(ro.plan) {
		in.Versions = replica.OnlyTarget
		if r := c.policies.Choice.Decide(in); r != nil {
			return r
		}
		if ro.plan.Step == rollout.Takeover && targetUsable(in) {
			return nil
		}
	}
	in.Versions = replica.OnlyOthers
	return c.policies.Choice.Decide(in)
}

func targetUsable(in *replica.Selection) bool {
	for _, r := range in.Shard.Replicas {
		if r.Target && r.Usable(in.Now) {
			return true
		}
	}
	return false
}

// queueVersions returns the versions to which the next queued part may go, as decide would
// choose: a part that leaves the queue for a version that decide does not pick would lose
// its place.
func (s *service) queueVersions(in *replica.Selection) replica.Versions {
	switch ro := s.rollout; {
	case ro == nil:
		return replica.AnyVersion
	case !ro.exposure.Prefers(ro.plan):
		return replica.OnlyOthers
	case ro.plan.Step == rollout.Takeover && targetUsable(in):
		return replica.OnlyTarget
	}
	return replica.AnyVersion
}

func (s *service) countFirst() {
	if s.rollout != nil {
		s.rollout.exposure.CountFirst(s.rollout.plan)
	}
}

func (s *service) countSent(r *replica.State) {
	if s.rollout != nil && r.Target {
		s.rollout.exposure.CountTarget()
	}
}

// recordRollout counts the end of an attempt as evidence about the version of its replica.
// Only answers count, and attempts that were cancelled when an answer was overdue: a lost
// replica does not convict its version.
func (a *attempt) recordRollout(now ident.Instant, o replica.Outcome) {
	ro := a.svc.rollout
	if ro == nil || (o != replica.OK && o != replica.Failed && o != replica.Aborted) {
		return
	}
	r := a.replica
	ro.tally.Record(rollout.Result{
		Cell: rollout.Cell{Route: a.route, Replica: r.ID}, Zone: r.Zone, Target: r.Target,
		Failed: o == replica.Failed, Aborted: o == replica.Aborted, Took: now.Sub(a.sent),
		Settling: now < r.ColdUntil || r.Condition(now) == replica.Cold || (r.Target && now.Sub(ro.listedAt[r]) < settleTime),
	})
}

// scheduleRollout sets a timer for the next report of a service whose order is in progress.
func (c *Core) scheduleRollout(now ident.Instant, svc *service) {
	if svc.rollout == nil || svc.rolloutTimerPending {
		return
	}
	svc.rolloutTimerPending = true
	c.timers.Add(now.Add(rolloutReportInterval), timer{kind: rolloutTimer, svc: svc})
}

// reportRollout reports the evidence of a service to control.
func (c *Core) reportRollout(now ident.Instant, svc *service) {
	svc.rolloutTimerPending = false
	ro := svc.rollout
	if ro == nil {
		return
	}
	first, sent := ro.exposure.Sent()
	e := &rollout.Evidence{
		Service: svc.id, Order: ro.plan.Order, Step: ro.plan.Step, Cells: ro.tally.Cells(), First: first, Sent: sent,
	}
	for _, sh := range svc.shards {
		for _, r := range sh.Replicas {
			if !r.Target {
				e.OthersInFlight += r.InFlight
			}
		}
	}
	c.notify(News{Kind: Rollout, Rollout: e})
	c.scheduleRollout(now, svc)
}

// routeName returns the name of the query's route; empty for a search or booking.
func (q *query) routeName() ident.RouteID {
	if q.arrival.Route == nil {
		return ""
	}
	return q.arrival.Route.Name
}
