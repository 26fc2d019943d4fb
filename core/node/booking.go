package node

import (
	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/coverage"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/replica"
)

// Reasons for refusing a booking.
const (
	badKey            admission.Reason = "bad-request-key"
	outcomeUnknown    admission.Reason = "outcome-unknown"
	issuerUnreachable admission.Reason = "issuing-vm-unreachable"
	noUpstream        admission.Reason = "no-upstream"
)

func (c *Core) startBooking(now ident.Instant, q *query) {
	verdict, vm := c.ledger.Begin(now, q.arrival.Key)
	if verdict == booking.Forward && q.arrival.Relayed {
		verdict = booking.Unknown
	}
	switch verdict {
	case booking.Forward:
		c.forward(now, q, vm)
	case booking.Claim:
		c.runningBookings[q.arrival.Key] = q.handle
		c.actions = append(c.actions, Action{
			Kind: Claim, Query: ident.QueryID(q.handle), Key: q.arrival.Key, Deadline: q.deadline,
		})
	default:
		c.applyVerdict(now, q, verdict)
	}
}

func (c *Core) forward(now ident.Instant, q *query, vm ident.VMID) {
	if _, known := c.view.Members.Get(vm); !known {
		c.refuse(now, q, booking.MayHaveRun, issuerUnreachable, "the ticket's VM "+string(vm)+" is not known here")
		return
	}
	c.actions = append(c.actions, Action{
		Kind: Forward, Query: ident.QueryID(q.handle), VM: vm, Deadline: q.deadline,
	})
}

// applyVerdict acts on a verdict of the ledger.
func (c *Core) applyVerdict(now ident.Instant, q *query, verdict booking.Verdict) {
	switch verdict {
	case booking.Dispatch:
		c.dispatchBooking(now, q)
	case booking.Repeat:
		c.finish(now, q, &Answer{
			Repeated: true, Parts: []Part{{Result: c.ledger.Result(q.arrival.Key)}},
		})
	case booking.Join:
		c.joinRunning(now, q)
	case booking.Invalid:
		c.refuse(now, q, booking.NotRun, badKey,
			"allowed: a ticket of this deployment, or MILLISECONDS-TEXT with the time of now")
	default:
		c.refuse(now, q, booking.MayHaveRun, outcomeUnknown, "an earlier send of this key may have run")
	}
}

func (c *Core) joinRunning(now ident.Instant, q *query) {
	if running := c.query(ident.QueryID(c.runningBookings[q.arrival.Key])); running != nil && running != q {
		running.joinedQueries = append(running.joinedQueries, ident.QueryID(q.handle))
		return
	}
	c.refuse(now, q, booking.MayHaveRun, outcomeUnknown, "an earlier send of this key is running")
}

// dispatchBooking sends the first attempt of a booking. The key determines the shard.
func (c *Core) dispatchBooking(now ident.Instant, q *query) {
	q.dispatched = true
	c.runningBookings[q.arrival.Key] = q.handle
	m := q.svc.maps.Newest()
	if m == nil || len(m.Shards) == 0 {
		c.bookingNotRun(now, q, coverage.NoReplica)
		return
	}
	id := m.Shards[int(booking.RangeOf(q.arrival.Key))%len(m.Shards)]
	q.snapshot, q.shardMap = 0, *m
	q.parts = append(q.parts[:0], part{svc: q.svc, shard: q.svc.shards[id]})
	q.unsettledCount = 1
	c.startPart(now, q, 0)
	if h := q.handle; h != 0 && !q.answered && len(q.parts) > 0 && q.parts[0].state == partMissing {
		c.bookingNotRun(now, q, q.parts[0].reason)
	}
}

// handleBookingReply ends a booking, or retries it if the replica certainly did not run it.
func (c *Core) handleBookingReply(now ident.Instant, q *query, a *attempt, reply *Reply) {
	switch {
	case reply.Outcome == replica.OK || reply.Outcome == replica.Failed:
		c.bookingRan(now, q, a, reply)
	case reply.Outcome.NotRun() && !q.answered:
		c.retry(now, q, a.part, coverage.Overload)
	case reply.Outcome.NotRun():
		c.bookingNotRun(now, q, coverage.Overload)
	default:
		if reply.Outcome == replica.Broken {
			q.crashRounds = 1
			c.reportCrashes(now, q)
		}
		c.bookingUnknown(now, q, "the upstream was lost while it ran")
	}
}

func (c *Core) bookingRan(now ident.Instant, q *query, a *attempt, reply *Reply) {
	answer := func() *Answer {
		if reply.Outcome == replica.Failed {
			return &Answer{Refusal: &Refusal{Outcome: booking.Ran, Reason: "upstream-error", Detail: string(reply.Result)}}
		}
		return &Answer{Parts: []Part{{Shard: reply.Shard, Replica: a.replica.ID, Result: reply.Result}}}
	}
	if reply.Outcome == replica.OK {
		c.ledger.Finish(q.arrival.Key, booking.Ran, reply.Result)
	} else {
		c.ledger.Finish(q.arrival.Key, booking.MayHaveRun, nil)
	}
	c.answerBooking(now, q, answer)
}

func (c *Core) bookingNotRun(now ident.Instant, q *query, reason coverage.Reason) {
	c.ledger.Finish(q.arrival.Key, booking.NotRun, nil)
	c.answerBooking(now, q, func() *Answer {
		return &Answer{Refusal: &Refusal{Outcome: booking.NotRun, Reason: noUpstream, Detail: string(reason)}}
	})
}

func (c *Core) bookingUnknown(now ident.Instant, q *query, detail string) {
	c.ledger.Finish(q.arrival.Key, booking.MayHaveRun, nil)
	c.answerBooking(now, q, func() *Answer {
		return &Answer{Refusal: &Refusal{Outcome: booking.MayHaveRun, Reason: outcomeUnknown, Detail: detail}}
	})
}

// answerBooking answers the query and the duplicate sends that wait for it, and removes
// the key from the running bookings.
func (c *Core) answerBooking(now ident.Instant, q *query, answer func() *Answer) {
	delete(c.runningBookings, q.arrival.Key)
	q.dispatched = false
	for _, id := range q.joinedQueries {
		if j := c.query(id); j != nil && !j.answered {
			c.finish(now, j, answer())
		}
	}
	q.joinedQueries = q.joinedQueries[:0]
	if q.answered {
		c.release(now, q)
		return
	}
	c.finish(now, q, answer())
}

// settleLedger records the outcome of a dispatched booking that is released without
// one; it may have run if an attempt is in flight.
func (c *Core) settleLedger(q *query) {
	if !q.dispatched {
		return
	}
	q.dispatched = false
	outcome := booking.NotRun
	if q.hasInFlight() {
		outcome = booking.MayHaveRun
	}
	c.ledger.Finish(q.arrival.Key, outcome, nil)
	delete(c.runningBookings, q.arrival.Key)
}

// expireBooking answers a booking at its deadline. A dispatched booking without an attempt
// in flight has certainly not run. An attempt in flight continues, so that a resend of the
// key can receive its result.
func (c *Core) expireBooking(now ident.Instant, q *query) {
	if q.dispatched && !q.hasInFlight() {
		c.bookingNotRun(now, q, coverage.DeadlineExceeded)
		return
	}
	c.refuse(now, q, booking.MayHaveRun, outcomeUnknown, "no result before the deadline")
}

// Claimed handles the result of a Claim action.
func (c *Core) Claimed(now ident.Instant, id ident.QueryID, key ident.RequestKey, result booking.ClaimResult) {
	verdict := c.ledger.Claimed(key, result)
	q := c.query(id)
	if q == nil || q.answered || q.arrival.Key != key {
		// The query has been answered: release the key for a later send.
		if verdict == booking.Dispatch {
			c.ledger.Finish(key, booking.NotRun, nil)
		}
		if c.runningBookings[key] == container.Handle(id) {
			delete(c.runningBookings, key)
		}
		return
	}
	if verdict == booking.Dispatch {
		c.dispatchBooking(now, q)
		return
	}
	detail := "another VM holds this key"
	if result == booking.Unavailable {
		detail = "the key could not be claimed; an earlier send may have run"
	}
	c.answerBooking(now, q, func() *Answer {
		return &Answer{Refusal: &Refusal{Outcome: booking.MayHaveRun, Reason: outcomeUnknown, Detail: detail}}
	})
}

// Forwarded handles the answer of the VM to which a request was forwarded; answer is nil
// when that VM could not be reached.
func (c *Core) Forwarded(now ident.Instant, id ident.QueryID, answer *Answer) {
	q := c.query(id)
	if q == nil || q.answered {
		return
	}
	if answer == nil {
		c.refuse(now, q, booking.MayHaveRun, issuerUnreachable, "the VM that issued the ticket did not answer")
		return
	}
	c.finish(now, q, answer)
}
