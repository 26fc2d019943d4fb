// Package retry limits the extra attempts of a query, which are hedges and retries
// of failed attempts, and tracks the latencies that their timing depends on.
package retry

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

const (
	// budgetCap limits the attempts that each part of a budget can accumulate.
	budgetCap = 50
	// overloadShare is the share of first attempts that were shed, over shedSpan,
	// from which no extra attempt may start.
	overloadShare = 0.2
	shedSpan      = 2 * time.Second
)

// Some retries are allowed whatever the traffic, since a share of little traffic
// would allow none.
const (
	// MinRetries is the number of these retries that may start at once.
	MinRetries = 10
	// MinRetryRate is the rate at which they are restored.
	MinRetryRate ident.Rate = 2
)

// A Budget limits extra attempts to a share of the first ones. The zero value
// allows only MinRetries. Hedges and retries spend from the shared part. Retries of
// failed attempts may also spend from the retryOnly part and from MinRetries.
type Budget struct {
	// shared and retryOnly are the attempts available, from 0 to budgetCap.
	shared, retryOnly float64
	// minRetriesSpent counts the retries spent from MinRetries and not restored by
	// refilled.
	minRetriesSpent float64
	refilled        ident.Instant
	firsts, sheds   container.Window[float64]
}

// CountFirst counts a first attempt and adds its shares to the budget: share to the
// shared part, and faultShare-share to the part for retries only, both reduced by
// Overload.
func (b *Budget) CountFirst(now ident.Instant, share, faultShare ident.Share) {
	b.firsts.Span, b.sheds.Span = shedSpan, shedSpan
	b.firsts.Add(now, 1)
	factor := 1 - b.Overload(now)
	b.shared = min(b.shared+float64(share)*factor, budgetCap)
	b.retryOnly = min(b.retryOnly+float64(faultShare-share)*factor, budgetCap)
}

// CountShed counts an attempt that an upstream refused because of load.
func (b *Budget) CountShed(now ident.Instant) {
	b.sheds.Span = shedSpan
	b.sheds.Add(now, 1)
}

// CountLost adds one retry for an attempt whose upstream was lost. The retry replaces
// work that the upstream no longer does. Without it, searches that lose an upstream
// at the same time could not continue until new first attempts arrive.
func (b *Budget) CountLost() { b.retryOnly = min(b.retryOnly+1, budgetCap) }

// Overload returns by how much sheds reduce the budget: 0 for not at all, 1 if no
// extra attempt may start.
func (b *Budget) Overload(now ident.Instant) float64 {
	firsts := b.firsts.Sum(now)
	if firsts == 0 {
		return 0
	}
	return min(b.sheds.Sum(now)/firsts/overloadShare, 1)
}

// SpendHedge reports whether a hedge may start, and takes it from the budget if so.
func (b *Budget) SpendHedge(now ident.Instant) bool {
	return b.Overload(now) < 1 && take(&b.shared)
}

// SpendRetry reports whether a retry of a failed attempt may start, and takes it from
// the budget if so.
func (b *Budget) SpendRetry(now ident.Instant) bool {
	return b.Overload(now) < 1 && (take(&b.retryOnly) || take(&b.shared) || b.takeMinRetry(now))
}

// takeMinRetry takes one of MinRetries and reports whether one was left.
func (b *Budget) takeMinRetry(now ident.Instant) bool {
	restored := now.Sub(b.refilled).Seconds() * float64(MinRetryRate)
	b.minRetriesSpent, b.refilled = max(b.minRetriesSpent-restored, 0), now
	if b.minRetriesSpent+1 > MinRetries {
		return false
	}
	b.minRetriesSpent++
	return true
}

// take takes one attempt from a part and reports whether one was left.
func take(part *float64) bool {
	if *part < 1 {
		return false
	}
	*part--
	return true
}
