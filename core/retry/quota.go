package retry

import (
	"time"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// QuotaLimits are what all VMs together may send beyond the first attempts at one
// service, in any window of Span. The zero value sets no terms.
type QuotaLimits struct {
	// Ratio of the first attempts in the span, and Allowance on top.
	Ratio     ident.Share
	Allowance int
	Span      time.Duration
}

// Set reports whether there are terms.
func (t QuotaLimits) Set() bool { return t.Span > 0 }

const (
	// ratioUsed of the ratio is spent: the first attempts are counted over the
	// part of the span that the window's resolution is sure of, and requests
	// that never reached this VM's count are left to the others.
	ratioUsed = 0.85
	// hedgeShare of the quota may go to hedges; the rest is kept for attempts
	// that failed.
	hedgeShare = 0.7
	// countedSpans is how much longer than the span spent attempts are counted, so
	// that every window of the span lies within what was counted.
	countedSpans = 8.0 / 7
)

// A Quota is one VM's part of the terms of a service. It needs no word from the
// other VMs: the parts sum to the terms whichever VMs are cut off. The zero
// value has no terms and refuses.
type Quota struct {
	limits        QuotaLimits
	vms           int
	firsts, extra container.Window[int]
}

// SetLimits sets the terms and the number of VMs that share them.
func (q *Quota) SetLimits(t QuotaLimits, vms int) {
	if q.limits.Span != t.Span {
		q.firsts = container.Window[int]{Span: t.Span}
		q.extra = container.Window[int]{Span: time.Duration(float64(t.Span) * countedSpans)}
	}
	q.limits, q.vms = t, max(vms, 1)
}

// First counts a first attempt.
func (q *Quota) First(now ident.Instant) {
	if q.limits.Set() {
		q.firsts.Add(now, 1)
	}
}

// Remaining returns how many more attempts may be sent now.
func (q *Quota) Remaining(now ident.Instant) float64 {
	return q.allowed(now) - float64(q.extra.Sum(now))
}

func (q *Quota) allowed(now ident.Instant) float64 {
	// One part of the allowance is left for a VM that starts anew and does not
	// know what it spent.
	part := float64(q.limits.Allowance) / float64(q.vms+1)
	return ratioUsed*float64(q.limits.Ratio)*float64(q.firsts.Sum(now)) + part
}

// BelowReserve reports whether no more than the reserve is left of the quota: attempts
// that can wait should then leave it to those that decide whether a request is
// served.
func (q *Quota) BelowReserve(now ident.Instant, reserve ident.Share) bool {
	return q.limits.Set() && q.Remaining(now) < float64(reserve)*q.allowed(now)
}

// Spend takes one attempt and reports whether it may be sent.
func (q *Quota) Spend(now ident.Instant, hedge bool) bool {
	if !q.limits.Set() {
		return false
	}
	total := q.allowed(now)
	if hedge {
		total *= hedgeShare
	}
	if float64(q.extra.Sum(now))+1 > total {
		return false
	}
	q.extra.Add(now, 1)
	return true
}

// Refund takes back an attempt that reached no upstream.
func (q *Quota) Refund(now ident.Instant) {
	if q.limits.Set() && q.extra.Sum(now) > 0 {
		q.extra.Add(now, -1)
	}
}
