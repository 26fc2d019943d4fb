package node

import (
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
)

// Stop ends all queries with the results received so far and refuses later ones. It is
// called when the time for a graceful stop is nearly over, so that each caller gets an
// answer before its connection ends.
func (c *Core) Stop(now ident.Instant) {
	c.stopped = true
	for _, h := range c.queries.Handles() {
		if q := c.query(ident.QueryID(h)); q != nil && !q.answered {
			c.expire(now, q)
		}
	}
}

// expire ends a query with the results received so far: at its deadline, or early when the
// caller disconnects.
func (c *Core) expire(now ident.Instant, q *query) {
	switch {
	case q.answered:
		c.release(now, q)
	case q.capState == awaitsToken:
		c.refuseAwaiting(now, q)
	case q.arrival.Key != "":
		c.expireBooking(now, q)
	default:
		c.finishSearch(now, q)
	}
}

func (c *Core) refuse(now ident.Instant, q *query, o booking.Outcome, r admission.Reason, detail string) {
	a := &Answer{Refusal: &Refusal{Outcome: o, Reason: r, Detail: detail}}
	switch {
	case q.arrival.Route != nil:
		a.Refusal.RetryAfter = c.retryAfter(now, q, r)
	case q.svc != nil && (r == admission.TooMany || r == admission.CannotMeetDeadline):
		a.Refusal.RetryAfter = max(q.profile.latency.Median(now), time.Millisecond)
	}
	c.finish(now, q, a)
}

// finish emits the answer. It releases the query unless it is a booking with an attempt
// in flight.
func (c *Core) finish(now ident.Instant, q *query, a *Answer) {
	c.leaveFlow(q)
	a.Took = now.Sub(q.started)
	a.FirstAttempts, a.ExtraAttempts = q.firstAttempts, q.extraAttempts
	if q.preset != nil {
		a.Preset = q.preset.Name
	}
	if q.arrival.Route != nil && !q.callerGone {
		c.recent.count(now, a)
	}
	q.answered = true
	if q.admitted {
		c.inFlight--
	}
	c.returnToken(now, q, a)
	c.actions = append(c.actions, Action{Kind: Finish, Query: ident.QueryID(q.handle), Answer: a})
	if q.arrival.Key != "" && q.hasInFlight() {
		c.timers.Add(now.Add(bookingGracePeriod), timer{kind: deadlineTimer, query: q.handle})
		return
	}
	c.release(now, q)
}

// release aborts or detaches the attempts in flight and frees the query.
func (c *Core) release(now ident.Instant, q *query) {
	c.settleLedger(q)
	for i := range q.parts {
		c.detachAttempts(now, q, i)
	}
	c.queries.Free(q.handle)
	q.reset()
	c.freeQueries = append(c.freeQueries, q)
}
