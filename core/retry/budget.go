// Package retry bounds and times the extra attempts of a query: hedges, and
// retries of attempts that failed.
package retry

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

const (
	// budgetCap bounds the attempts saved up in either part of a budget.
	budgetCap = 50
	// overloadShare of sheds stops every extra attempt.
	overloadShare = 0.2
	shedSpan      = 2 * time.Second
)

// The standing retries may be spent whatever the traffic: a share of little
// traffic would be no retry at all.
const (
	// MinRetries is their number.
	MinRetries = 10
	// MinRetryRate is how fast they come back.
	MinRetryRate ident.Rate = 2
)

// A Budget bounds extra attempts to a share of the first ones. The zero value
// has only its standing retries. Hedges and retries spend the same part; retries
// of failed attempts may spend a second part and the standing retries, which
// hedges cannot.
type Budget struct {
	// Shared and retryOnly are saved attempts, from 0 to budgetCap.
	shared, retryOnly float64
	// Spent counts the standing retries that have not come back by refilled.
	minRetriesSpent float64
	refilled        ident.Instant
	firsts, sheds   container.Window[float64]
}

// First earns for one first attempt.
func (b *Budget) First(now ident.Instant, share, faultShare ident.Share) {
	b.firsts.Span, b.sheds.Span = shedSpan, shedSpan
	b.firsts.Add(now, 1)
	room := 1 - b.Overload(now)
	b.shared = min(b.shared+float64(share)*room, budgetCap)
	b.retryOnly = min(b.retryOnly+float64(faultShare-share)*room, budgetCap)
}

// Shed counts an attempt that an upstream refused for load.
func (b *Budget) Shed(now ident.Instant) {
	b.sheds.Span = shedSpan
	b.sheds.Add(now, 1)
}

// Lost earns the retry of an attempt whose upstream was lost with it: the retry
// takes the place of work that the upstream no longer does, so that searches
// which lose an upstream together need no new first attempts to go on.
func (b *Budget) Lost() { b.retryOnly = min(b.retryOnly+1, budgetCap) }

// Overload returns how far sheds have shrunk the budget: 0 for not at all, 1
// for no extra attempts.
func (b *Budget) Overload(now ident.Instant) float64 {
	firsts := b.firsts.Sum(now)
	if firsts == 0 {
		return 0
	}
	return min(b.sheds.Sum(now)/firsts/overloadShare, 1)
}

// Hedge spends for a hedge and reports whether it may start.
func (b *Budget) Hedge(now ident.Instant) bool {
	return b.Overload(now) < 1 && take(&b.shared)
}

// Retry spends for a retry of a failed attempt and reports whether it may
// start.
func (b *Budget) Retry(now ident.Instant) bool {
	return b.Overload(now) < 1 && (take(&b.retryOnly) || take(&b.shared) || b.takeMinRetry(now))
}

func (b *Budget) takeMinRetry(now ident.Instant) bool {
	back := now.Sub(b.refilled).Seconds() * float64(MinRetryRate)
	b.minRetriesSpent, b.refilled = max(b.minRetriesSpent-back, 0), now
	if b.minRetriesSpent+1 > MinRetries {
		return false
	}
	b.minRetriesSpent++
	return true
}

func take(part *float64) bool {
	if *part < 1 {
		return false
	}
	*part--
	return true
}
