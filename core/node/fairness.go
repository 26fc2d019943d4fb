package node

import (
	"fmt"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/fairness"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/core/view"
)

// minLowRankShare is the share of the slots that ranks below the first get at least while
// they wait. With it, a class is served at least a quarter as often as all: however many of
// the requests it has if it is the only one that waits, half of them if two do.
const minLowRankShare ident.Share = 0.25

// queueFloor returns the floor of the low ranks in the queues of a view: none without
// tenants.
func queueFloor(v *view.View) container.Floor {
	if v.Tenants == nil {
		return container.Floor{}
	}
	return container.Floor{Share: minLowRankShare, Ranks: len(v.Preset.Classes)}
}

// A flowID identifies the requests that take turns in a queue as one flow. Without a rank
// of its own, a tenant has one flow in each rank; with one, its classes have separate flows
// there, so that its urgent requests do not wait behind its others.
type flowID struct {
	// tenant is empty for requests without a key.
	tenant ident.TenantID
	// class is the rank of the route, within the ranks of the preset.
	class int
}

// fair reports whether the configuration has tenants, among which capacity is shared.
func (c *Core) fair() bool { return c.view != nil && c.view.Tenants != nil }

// joinFlow assigns a new query to the flow of its tenant. Only a tenant that holds the
// caller's key counts: a name that the caller chose would let it claim many shares.
func (c *Core) joinFlow(now ident.Instant, q *query) {
	if !c.fair() {
		return
	}
	q.flow.class = clampRank(q.preset, q.arrival.Route.Rank)
	if q.arrival.Account != nil {
		q.flow.tenant = q.arrival.Account.ID
	}
	c.tenants.See(now, q.flow.tenant)
}

// leaveFlow gives back the place of a query that is answered.
func (c *Core) leaveFlow(q *query) {
	if q.admitted && q.arrival.Route != nil {
		c.tenants.Release(q.flow.tenant)
	}
}

func clampRank(p *preset.Preset, rank int) int {
	return min(max(rank, 0), max(len(p.Classes)-1, 0))
}

// exceedsPlaces reports whether the tenant of a new query holds its share of the places
// for queries in flight while few are left.
func (c *Core) exceedsPlaces(now ident.Instant, q *query) bool {
	if !c.fair() {
		return false
	}
	_, over := c.tenants.Over(now, q.flow.tenant, q.preset.QueriesInFlight)
	return over
}

// sharesExtras reports whether the tenants share the extra attempts to a service.
func (c *Core) sharesExtras(svc *service) bool { return c.fair() && svc.hasQuota }

func (q *query) claim() fairness.Claim[ident.TenantID] {
	return fairness.Claim[ident.TenantID]{Tenant: q.flow.tenant, Rank: q.rank, Ranks: len(q.preset.Classes)}
}

// exceedsExtras reports whether another attempt of a part exceeds what the rank and the
// tenant of the query get of the extra attempts to the service.
func (c *Core) exceedsExtras(now ident.Instant, q *query, p *part, hedge bool) bool {
	svc := p.svc
	if !c.sharesExtras(svc) {
		return false
	}
	svc.hedges.SetSpan(svc.quota.CountedSpan())
	svc.retries.SetSpan(svc.quota.CountedSpan())
	allowed := svc.quota.Allowed(now, hedge)
	if !hedge {
		return c.tenants.Contended(now, q.flow.tenant) &&
			svc.retries.OverReserve(now, q.claim(), allowed-float64(svc.hedges.Spent(now)))
	}
	if p.hedgeWantedAfter < p.attemptCount {
		p.hedgeWantedAfter = p.attemptCount
		svc.hedges.Want(now, q.claim())
	}
	return svc.hedges.OverWanted(now, q.claim(), allowed-float64(svc.retries.Spent(now)))
}

// countExtra records an extra attempt that is sent.
func (c *Core) countExtra(now ident.Instant, q *query, svc *service, hedge bool) {
	switch {
	case !c.sharesExtras(svc):
	case hedge:
		svc.hedges.Spend(now, q.claim())
	default:
		svc.retries.Spend(now, q.claim())
	}
}

// refundExtra takes back an attempt that reached no replica.
func (c *Core) refundExtra(now ident.Instant, q *query, svc *service) {
	if c.sharesExtras(svc) {
		svc.retries.Refund(now, q.claim())
	}
}

// shareDetail returns the part of a refusal's detail that says whose turn it was; empty
// without tenants.
func (c *Core) shareDetail(now ident.Instant, q *query) string {
	if !c.fair() {
		return ""
	}
	ahead := 0
	for i := range q.parts {
		if sh := q.parts[i].shard; sh != nil {
			ahead = max(ahead, sh.queue.Ahead(q.rank, q.flow))
		}
	}
	share, _ := c.tenants.Over(now, q.flow.tenant, q.preset.QueriesInFlight)
	return fmt.Sprintf("; tenant %q, rank %d of %d, holds %d places of a share of %.0f, %d queued before its turn",
		q.flow.tenant, q.rank, len(q.preset.Classes), c.tenants.Held(q.flow.tenant), share, ahead)
}
