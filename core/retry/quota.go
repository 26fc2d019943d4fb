package retry

import (
	"math"
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// QuotaLimits limit the extra attempts that all VMs together may send to one
// service in any window of Span. The zero value sets no limits.
type QuotaLimits struct {
	// Ratio of the first attempts in the window, plus Allowance, may be sent.
	Ratio     ident.Share
	Allowance int
	Span      time.Duration
}

// Set reports whether limits are set.
func (l QuotaLimits) Set() bool { return l.Span > 0 }

const (
	// ratioUsed is the part of the ratio that is spent. The rest is a margin for the
	// resolution of the window, which counts first attempts over slightly less than
	// the span, and for requests that this VM did not count.
	ratioUsed = 0.85
	// hedgeShare is the share of the quota that hedges may spend; the rest is
	// reserved for retries of failed attempts.
	hedgeShare = 0.7
	// countedSpans is the time over which extra attempts are counted, in spans. The
	// container.Window covers at least 7/8 of its own span, and 7/8 of 8/7 spans is
	// one whole span.
	countedSpans = 8.0 / 7
)

// A Quota is one VM's share of the QuotaLimits of a service. It needs no messages
// from other VMs: the shares sum to at most the limits, whichever VMs are
// unreachable. The zero value has no limits and allows no attempt.
type Quota struct {
	limits        QuotaLimits
	vms           int
	firsts, extra container.Window[int]
	// withheldUntil is when the VM gets its share of the allowance.
	withheldUntil ident.Instant
}

// SetLimits sets the limits and the number of VMs that share them.
func (q *Quota) SetLimits(l QuotaLimits, vms int) {
	if q.limits.Span != l.Span {
		q.firsts = container.Window[int]{Span: l.Span}
		q.extra = container.Window[int]{Span: time.Duration(float64(l.Span) * countedSpans)}
	}
	q.limits, q.vms = l, max(vms, 1)
}

// Withhold keeps the VM's share of the allowance back until one span after the start of its
// process. An earlier process of the VM may have spent it, of which there is no record.
func (q *Quota) Withhold(started ident.Instant) {
	q.withheldUntil = started.Add(time.Duration(float64(q.limits.Span) * countedSpans))
}

// CountFirst counts a first attempt.
func (q *Quota) CountFirst(now ident.Instant) {
	if q.limits.Set() {
		q.firsts.Add(now, 1)
	}
}

// Remaining returns how many more extra attempts may be sent now.
func (q *Quota) Remaining(now ident.Instant) float64 {
	return q.allowed(now) - float64(q.extra.Sum(now))
}

// allowed returns how many extra attempts the VM may send in the current window.
func (q *Quota) allowed(now ident.Instant) float64 {
	// One share of the allowance is reserved for a VM that is not listed yet.
	allowanceShare := float64(q.limits.Allowance) / float64(q.vms+1)
	if now < q.withheldUntil {
		allowanceShare = 0
	}
	return ratioUsed*float64(q.limits.Ratio)*float64(q.firsts.Sum(now)) + allowanceShare
}

// Allowed returns how many extra attempts, or only hedges, the VM may send in the window
// of length CountedSpan that ends now.
func (q *Quota) Allowed(now ident.Instant, hedge bool) float64 {
	allowed := q.allowed(now)
	if hedge {
		// Whole attempts are reserved for retries: where many VMs share a small allowance, a
		// fraction of one would keep back most of what hedges may use.
		allowed -= math.Floor((1 - hedgeShare) * allowed)
	}
	return allowed
}

// CountedSpan returns the time over which extra attempts are counted.
func (q *Quota) CountedSpan() time.Duration {
	return time.Duration(float64(q.limits.Span) * countedSpans)
}

// BelowReserve reports whether less than the share reserve of the quota remains.
// What remains is then for attempts on which the success of a request depends; other
// attempts should be delayed.
func (q *Quota) BelowReserve(now ident.Instant, reserve ident.Share) bool {
	return q.limits.Set() && q.Remaining(now) < float64(reserve)*q.allowed(now)
}

// Spend reports whether one more extra attempt may be sent, and counts it if so.
func (q *Quota) Spend(now ident.Instant, hedge bool) bool {
	if !q.limits.Set() {
		return false
	}
	if float64(q.extra.Sum(now))+1 > q.Allowed(now, hedge) {
		return false
	}
	q.extra.Add(now, 1)
	return true
}

// Refund subtracts an attempt that reached no upstream.
func (q *Quota) Refund(now ident.Instant) {
	if q.limits.Set() && q.extra.Sum(now) > 0 {
		q.extra.Add(now, -1)
	}
}
