package fairness

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

const (
	// minOfLowRanks is the part of the hedges that the ranks below the first may send,
	// whatever the first wants.
	minOfLowRanks = 0.25
	// lowestRankLeaves is the part of the retries that the lowest rank leaves to the first.
	lowestRankLeaves = 0.25
)

// A Claim is an extra attempt that a tenant wants.
type Claim[K comparable] struct {
	Tenant K
	// Rank is the priority of the request, from 0, the highest, to Ranks-1.
	Rank, Ranks int
}

// extraUse sums over a window. What was wanted predicts what will be.
type extraUse struct{ wanted, spent container.Window[int] }

func (u *extraUse) idle(now ident.Instant) bool {
	return u.wanted.Sum(now) <= 0 && u.spent.Sum(now) <= 0
}

// Extras shares the hedges or the retries to one service: by rank first, then by max-min
// among tenants. The zero value has a window of one second.
type Extras[K comparable] struct {
	// span is the length of the windows.
	span time.Duration
	// ofTenants has the tenants that wanted an extra attempt in the last span, and others
	// until they are swept.
	ofTenants map[K]*extraUse
	ofRanks   []extraUse
	swept     ident.Instant
	buf       []float64
}

// SetSpan sets the length of the window. If it differs from the present one, what was
// counted is forgotten.
func (e *Extras[K]) SetSpan(span time.Duration) {
	if e.span != span {
		*e = Extras[K]{span: span}
	}
}

func (e *Extras[K]) uses(now ident.Instant, c Claim[K]) (tenant, rank *extraUse) {
	if e.ofTenants == nil {
		e.ofTenants = map[K]*extraUse{}
	}
	if now.Sub(e.swept) > e.span {
		e.swept = now
		for k, u := range e.ofTenants {
			if u.idle(now) {
				delete(e.ofTenants, k)
			}
		}
	}
	tenant = e.ofTenants[c.Tenant]
	if tenant == nil {
		u := e.newUse()
		tenant = &u
		e.ofTenants[c.Tenant] = tenant
	}
	for len(e.ofRanks) <= c.Rank {
		e.ofRanks = append(e.ofRanks, e.newUse())
	}
	return tenant, &e.ofRanks[c.Rank]
}

func (e *Extras[K]) newUse() extraUse {
	return extraUse{wanted: container.Window[int]{Span: e.span}, spent: container.Window[int]{Span: e.span}}
}

// Want records an extra attempt that a tenant wants, whether or not it gets it.
func (e *Extras[K]) Want(now ident.Instant, c Claim[K]) {
	tenant, rank := e.uses(now, c)
	tenant.wanted.Add(now, 1)
	rank.wanted.Add(now, 1)
}

// Spend records an extra attempt that is sent.
func (e *Extras[K]) Spend(now ident.Instant, c Claim[K]) { e.add(now, c, 1) }

// Refund takes back an extra attempt that reached no upstream.
func (e *Extras[K]) Refund(now ident.Instant, c Claim[K]) { e.add(now, c, -1) }

func (e *Extras[K]) add(now ident.Instant, c Claim[K], n int) {
	tenant, rank := e.uses(now, c)
	if tenant.spent.Sum(now)+n >= 0 && rank.spent.Sum(now)+n >= 0 {
		tenant.spent.Add(now, n)
		rank.spent.Add(now, n)
	}
}

// Spent returns the number of extra attempts in the window.
func (e *Extras[K]) Spent(now ident.Instant) int {
	n := 0
	for rank := range e.ofRanks {
		n += e.ofRanks[rank].spent.Sum(now)
	}
	return n
}

// OverWanted reports whether a hedge exceeds what other claims, which are expected to be
// as many as in the last window, leave of the allowed ones to its rank or to its tenant.
// Hedges are short most of the time, so none is held back for a tenant that wants none.
func (e *Extras[K]) OverWanted(now ident.Instant, c Claim[K], allowed float64) bool {
	if float64(e.Spent(now)+1) <= allowed*float64(1-Reserve) {
		return false
	}
	higher, low := 0, 0
	for rank := range e.ofRanks {
		if rank < c.Rank {
			higher += e.ofRanks[rank].wanted.Sum(now)
		} else {
			low += e.ofRanks[rank].spent.Sum(now)
		}
	}
	if float64(low+1) > max(allowed-float64(higher), allowed*minOfLowRanks) {
		return true
	}
	return e.exceeds(now, c.Tenant, allowed, func(u *extraUse) int { return u.wanted.Sum(now) })
}

// OverReserve reports whether a retry exceeds what the others have spent of the allowed
// ones, less the part for higher ranks and the Reserve. A request without a retry fails,
// so that some are held back for tenants that need them later.
func (e *Extras[K]) OverReserve(now ident.Instant, c Claim[K], allowed float64) bool {
	if c.Ranks > 1 {
		allowed *= 1 - lowestRankLeaves*float64(c.Rank)/float64(c.Ranks-1)
	}
	return e.exceeds(now, c.Tenant, allowed*float64(1-Reserve), func(u *extraUse) int { return u.spent.Sum(now) })
}

// exceeds reports whether one more extra attempt exceeds the share of a tenant beside the
// demands of the others.
func (e *Extras[K]) exceeds(now ident.Instant, k K, capacity float64, demand func(*extraUse) int) bool {
	own := 0
	e.buf = e.buf[:0]
	for other, u := range e.ofTenants {
		if other == k {
			own = u.spent.Sum(now)
		} else if n := demand(u); n > 0 {
			e.buf = append(e.buf, float64(n))
		}
	}
	return float64(own+1) > Share(capacity, e.buf)
}
