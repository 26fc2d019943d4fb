package node

import (
	"fmt"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/view"
)

// minLowRankShare is the share of the slots that ranks below the first get at least while
// they wait. With it, a class with up to two thirds of the requests is served at least a
// quarter as often as all.
const minLowRankShare ident.Share = 1.0 / 6

// queueFloor returns the floor of the low ranks in the queues of a view: none without
// tenants.
func queueFloor(v *view.View) container.Floor {
	if v.Tenants == nil {
		return container.Floor{}
	}
	return container.Floor{Share: minLowRankShare, Ranks: len(v.Preset.Classes)}
}

// fair reports whether the configuration has tenants, among which capacity is shared.
func (c *Core) fair() bool { return c.view != nil && c.view.Tenants != nil }

// joinFlow assigns a new query to the flow of its tenant. Only a tenant that holds the
// caller's key counts: a name that the caller chose would let it claim many shares.
func (c *Core) joinFlow(now ident.Instant, q *query) {
	if !c.fair() {
		return
	}
	if q.arrival.Account != nil {
		q.flow = q.arrival.Account.ID
	}
	c.tenants.See(now, q.flow)
}

// exceedsPlaces reports whether the tenant of a new query holds its share of the places
// for queries in flight while few are left.
func (c *Core) exceedsPlaces(now ident.Instant, q *query) bool {
	if !c.fair() {
		return false
	}
	_, over := c.tenants.Over(now, q.flow, q.preset.QueriesInFlight)
	return over
}

// exceedsExtras reports whether the tenant of a query has spent its share of the extra
// attempts to a service while few are left.
func (c *Core) exceedsExtras(now ident.Instant, q *query, svc *service, hedge bool) bool {
	if !c.fair() || !svc.hasQuota || !c.tenants.Contended(now, q.flow) {
		return false
	}
	return svc.extras.Over(now, q.flow, svc.quota.Allowed(now, hedge))
}

// countExtra counts n extra attempts of the tenant of a query.
func (c *Core) countExtra(now ident.Instant, q *query, svc *service, n int) {
	if c.fair() && svc.hasQuota {
		svc.extras.Count(now, q.flow, svc.quota.CountedSpan(), n)
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
	share, _ := c.tenants.Over(now, q.flow, q.preset.QueriesInFlight)
	return fmt.Sprintf("; tenant %q, rank %d of %d, holds %d places of a share of %.0f, %d queued before its turn",
		q.flow, q.rank, len(q.preset.Classes), c.tenants.Held(q.flow), share, ahead)
}
