package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/core/view"
)

// OverCap is the reason for refusing a request that is over its tenant's usage cap.
const OverCap admission.Reason = "over-usage-cap"

// A capState is the state of a query regarding the usage cap of its tenant.
type capState uint8

const (
	// uncapped queries need no token.
	uncapped capState = iota
	// awaitsToken queries are not admitted yet.
	awaitsToken
	// hasToken queries have taken a token.
	hasToken
)

// installUsage passes the tenants and VMs of a view to the ledger of usage caps.
func (c *Core) installUsage(now ident.Instant, v *view.View) {
	tenants := v.Tenants.All()
	if !v.Ready || (len(tenants) == 0 && c.usage.Idle()) {
		return
	}
	peers := make([]usage.Peer, 0, v.Members.Len())
	for vm, m := range v.Members.All {
		if m.State == roster.Alive.String() {
			peers = append(peers, usage.Peer{VM: vm, Address: m.Address, Started: ident.Instant(m.Incarnation)})
		}
	}
	slices.SortFunc(peers, func(a, b usage.Peer) int { return cmp.Compare(a.VM, b.VM) })
	c.usage.Install(now, tenants, peers, v.VMs, c.config.UsageBounds)
}

// capAdmits takes a token for a query whose tenant has a cap. It returns false if the query
// was refused or waits for a token.
func (c *Core) capAdmits(now ident.Instant, q *query) bool {
	t := q.arrival.Account
	if t == nil || !t.Capped() || c.usage.Idle() {
		return true
	}
	verdict, refusal := c.usage.Admit(now, t.ID, ident.QueryID(q.handle))
	switch verdict {
	case usage.Admitted:
		q.capState, q.tokenAt = hasToken, now
		return true
	case usage.Waiting:
		q.capState = awaitsToken
		c.applyDecisions(now)
	case usage.Refused:
		c.refuseOverCap(now, q, refusal)
	}
	return false
}

// applyDecisions continues or refuses the queries that waited for a token.
func (c *Core) applyDecisions(now ident.Instant) {
	for {
		c.decisions = c.usage.Decisions(c.decisions[:0])
		if len(c.decisions) == 0 {
			return
		}
		for _, d := range c.decisions {
			q := c.query(d.Query)
			if q == nil || q.capState != awaitsToken {
				continue
			}
			if !d.Admitted {
				c.refuseOverCap(now, q, d.Refusal)
				continue
			}
			q.capState, q.tokenAt = hasToken, now
			if left := q.arrival.Deadline; left > 0 {
				q.arrival.Deadline = max(left-now.Sub(q.started), time.Nanosecond)
			}
			c.begin(now, q)
		}
	}
}

func (c *Core) refuseOverCap(now ident.Instant, q *query, r usage.Refusal) {
	q.capState = uncapped
	age := "never asked"
	if r.Age >= 0 {
		age = r.Age.Round(time.Millisecond).String() + " old"
	}
	c.finish(now, q, &Answer{Refusal: &Refusal{
		Outcome: booking.NotRun, Reason: OverCap, RetryAfter: r.RetryAfter,
		Detail: fmt.Sprintf("tenant %s, cap %g/s and a burst of %g, %.1f tokens here, answer of %s %s",
			q.arrival.Tenant, float64(q.arrival.Account.Rate), float64(q.arrival.Account.Burst), float64(r.Tokens), r.Grantor, age),
	}})
}

// refuseAwaiting ends a query that waits for a token.
func (c *Core) refuseAwaiting(now ident.Instant, q *query) {
	q.capState = uncapped
	c.usage.Forget(q.arrival.Tenant, ident.QueryID(q.handle))
	c.refuse(now, q, booking.NotRun, admission.NotReady, "waited for the usage cap of tenant "+string(q.arrival.Tenant))
}

// returnToken gives the token of a query back that was refused on admission.
func (c *Core) returnToken(now ident.Instant, q *query, a *Answer) {
	if q.capState == hasToken && a.Refusal != nil && a.Refusal.Outcome == booking.NotRun {
		c.usage.Return(now, q.tokenAt, q.arrival.Tenant)
	}
	q.capState = uncapped
}

// tickUsage does what is due for the usage caps.
func (c *Core) tickUsage(now ident.Instant) {
	if c.usage.Idle() {
		return
	}
	if c.stopsAt > 0 {
		c.usage.Leave(now)
	}
	c.usage.Tick(now)
	c.applyDecisions(now)
	c.exchanges = c.usage.Exchanges(now, c.exchanges[:0])
	for i := range c.exchanges {
		e := c.exchanges[i]
		c.actions = append(c.actions, Action{Kind: ShareUsage, VM: e.To, Usage: &e})
	}
}

// ReceiveUsage answers another VM's question about usage caps.
func (c *Core) ReceiveUsage(now ident.Instant, from ident.VMID, m usage.Message) usage.Message {
	return c.usage.Receive(now, from, m)
}

// UsageShared applies the answer to a question about usage caps; ok is false if there is
// none.
func (c *Core) UsageShared(now ident.Instant, e usage.Exchange, answer usage.Message, ok bool) {
	c.usage.Complete(now, e, answer, ok)
}

// SharesUsage reports whether any tenant has a usage cap.
func (c *Core) SharesUsage() bool { return !c.usage.Idle() }

// DiscardUsage drops the tokens of all tenants, since the VM cannot say how much time has
// passed.
func (c *Core) DiscardUsage(now ident.Instant) { c.usage.Discard(now) }
